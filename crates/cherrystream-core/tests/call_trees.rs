//! Which services requests lead to, and who is turned down for whom.

use cherrystream_core::call_trees::CallTrees;
use cherrystream_core::fair_share::FairShare;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// A backend server that runs kinds of requests, of which one makes a call each time.
struct Host {
    trees: CallTrees,
    rng: SmallRng,
    running: Vec<&'static str>,
    now: u64,
}

impl Host {
    fn new() -> Host {
        let mut trees = CallTrees::default();
        trees.on_called(ms(0), &name("rights"), &[]);
        Host { trees, rng: SmallRng::seed_from_u64(3), running: Vec::new(), now: 0 }
    }

    fn leads_to(&mut self, kind: &str) -> Vec<Arc<str>> {
        self.trees.leads_to(ms(self.now + 1_000), kind)
    }

    /// Lets runs of both kinds begin and end at random; those of `caller` make a call to `licensing`.
    fn run(&mut self, steps: usize, caller: &str) {
        for _ in 0..steps {
            self.now += 10;
            let now = ms(self.now);
            if self.running.len() < 6 {
                let kind = if self.rng.random_bool(0.5) { "browse" } else { "search" };
                self.trees.on_run(now, &name(kind));
                self.running.push(kind);
            }
            if !self.running.is_empty() && self.rng.random_bool(0.6) {
                let at = self.rng.random_range(0..self.running.len());
                let kind = self.running.swap_remove(at);
                if kind == caller {
                    self.trees.on_called(now, &name("rights"), &[]);
                    self.trees.on_request(now, "rights", &name("licensing"));
                }
                self.trees.on_run_end(now, kind);
            }
        }
    }
}

#[test]
fn calls_are_credited_to_the_kind_that_makes_them() {
    let mut host = Host::new();
    host.run(4_000, "browse");
    assert_eq!(host.leads_to("browse"), [name("licensing")]);
    assert!(host.leads_to("search").is_empty());
}

/// A new version of the software makes other calls.
#[test]
fn what_a_kind_led_to_is_forgotten() {
    let mut host = Host::new();
    host.run(4_000, "browse");
    host.run(20_000, "search");
    assert_eq!(host.leads_to("search"), [name("licensing")]);
    assert!(host.leads_to("browse").is_empty());
}

/// Eight services in a row, each of which calls the next: the daemons learn from answers, from the last
/// service on, what a request at the first one leads to.
#[test]
fn the_whole_depth_of_a_tree_is_learned_from_answers() {
    const DEPTH: usize = 8;
    let kinds: Vec<Arc<str>> = (0..DEPTH).map(|i| name(&format!("kind-{i}"))).collect();
    let services: Vec<Arc<str>> = (0..DEPTH).map(|i| name(&format!("service-{i}"))).collect();
    let mut hosts: Vec<CallTrees> = (0..DEPTH).map(|_| CallTrees::default()).collect();
    for round in 0..40_u64 {
        for i in 0..DEPTH - 1 {
            let now = ms(round * 100);
            let told = hosts[i + 1].leads_to(now, &kinds[i + 1]);
            hosts[i].on_run(now, &kinds[i]);
            hosts[i].on_called(now, &kinds[i + 1], &told);
            hosts[i].on_request(now, &kinds[i + 1], &services[i + 1]);
            hosts[i].on_run_end(ms(round * 100 + 50), &kinds[i]);
        }
    }
    assert_eq!(hosts[0].leads_to(ms(10_000), &kinds[0]), services[1..]);
}

#[test]
fn memory_is_bounded() {
    let mut trees = CallTrees::default();
    for i in 0..10_000_u64 {
        let kind = name(&format!("kind-{i}"));
        trees.on_run(ms(i), &kind);
        trees.on_called(ms(i), &kind, &[name(&format!("service-{i}"))]);
        trees.on_request(ms(i), &kind, &name(&format!("service-{}", i + 1)));
        trees.on_run_end(ms(i), &kind);
    }
    assert!(size_of_val(&trees) < 1_024);
    assert!(format!("{trees:?}").len() < 64 * 1_024);
}

const BROWSE: u32 = 1;
const GRANT: u32 = 2;

/// What is turned down of `browse`, which leads to the service of `grant`, when both get in by these parts.
fn turned_down(browse_in: usize, grant_in: usize, leads_to: &[Arc<str>]) -> f64 {
    let mut shares = FairShare::default();
    let (browse, grant) = (name("browse"), name("grant"));
    let (catalogue, licensing) = (name("catalogue"), name("licensing"));
    for i in 0..20 {
        shares.on_outcome(ms(1_000), &browse, &catalogue, BROWSE, i < browse_in);
        shares.on_outcome(ms(1_000), &grant, &licensing, GRANT, i < grant_in);
    }
    shares.turned_down(ms(1_000), "browse", leads_to)
}

#[test]
fn a_less_urgent_kind_is_turned_down_where_it_takes_room_from_a_more_urgent_one() {
    let licensing = [name("licensing")];
    assert!(turned_down(18, 6, &licensing) > 0.5);
    assert_eq!(turned_down(18, 18, &licensing), 0.0, "both get in");
    assert_eq!(turned_down(6, 18, &licensing), 0.0, "the more urgent one gets in more often");
    assert_eq!(turned_down(18, 6, &[name("viewer")]), 0.0, "it leads elsewhere");
    assert_eq!(turned_down(18, 6, &[]), 0.0, "it leads nowhere");
}

#[test]
fn a_more_urgent_kind_is_not_turned_down_for_a_less_urgent_one() {
    let mut shares = FairShare::default();
    for _ in 0..20 {
        shares.on_outcome(ms(1_000), &name("grant"), &name("licensing"), GRANT, true);
        shares.on_outcome(ms(1_000), &name("browse"), &name("catalogue"), BROWSE, false);
    }
    assert_eq!(shares.turned_down(ms(1_000), "grant", &[name("catalogue")]), 0.0);
}

#[test]
fn few_or_old_outcomes_turn_nothing_down() {
    let mut shares = FairShare::default();
    for i in 0..4 {
        shares.on_outcome(ms(i), &name("browse"), &name("catalogue"), BROWSE, true);
        shares.on_outcome(ms(i), &name("grant"), &name("licensing"), GRANT, false);
    }
    assert_eq!(shares.turned_down(ms(10), "browse", &[name("licensing")]), 0.0);
    for i in 0..20 {
        shares.on_outcome(ms(i), &name("browse"), &name("catalogue"), BROWSE, true);
        shares.on_outcome(ms(i), &name("grant"), &name("licensing"), GRANT, false);
    }
    assert!(shares.turned_down(ms(20), "browse", &[name("licensing")]) > 0.0);
    assert_eq!(shares.turned_down(ms(20_000), "browse", &[name("licensing")]), 0.0);
}
