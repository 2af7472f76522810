//! Backend servers that send bytes without end that are no answer, or break off their answers, on
//! both interfaces.

mod answers;
mod raw;
mod rejections;
mod server;

use super::orders;
use super::support::client::{Answer, Ask};
use super::support::site::{Daemon, DaemonOptions, Site};
use super::support::{client, wait};
use answers::Odd;
use server::Server;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

#[path = "../../../../../platform/tests/support/requests.rs"]
mod requests;

const SERVICE: &str = "quotes";
/// Host name of the routes.
const HOST: &str = "quotes.test";
/// Status of a request whose answer is malformed.
const BAD_GATEWAY: u16 = 502;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Longest time beyond the deadline until a request has ended.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time until another request is served after one with an odd answer.
const SERVED_TIMEOUT: Duration = Duration::from_secs(6);
/// Callers at once of answers without end.
const CALLERS: usize = 64;
/// Longest growth of the peak memory of a daemon meanwhile, in bytes: the memory that a daemon may use
/// for control.
const MAX_GROWTH: u64 = 32 << 20;
/// Number of requests that are rejected, at each daemon.
const REJECTED: usize = 20;
/// Time between two reports of an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Protocol towards callers and backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interface {
    Own,
    Platform,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    Allowed,
    Forbidden,
}

impl Interface {
    fn answer_head(self) -> server::AnswerHead {
        match self {
            Interface::Own => |_| String::new(),
            Interface::Platform => requests::answer_head,
        }
    }

    /// Returns a request with an ordinary answer.
    fn even(self) -> Ask {
        self.complete(Ask::get("/even/x"))
    }

    /// Returns a request with an odd answer.
    fn odd(self, repeat: Repeat) -> Ask {
        let ask = match (self, repeat) {
            (_, Repeat::Allowed) => Ask::get("/odd/x"),
            (Interface::Own, Repeat::Forbidden) => {
                Ask::post("/odd-once/x", "").key(&format!("{:032x}", rand::random::<u128>()))
            }
            (Interface::Platform, Repeat::Forbidden) => Ask::post("/odd-once/x", ""),
        };
        self.complete(ask)
    }

    fn complete(self, ask: Ask) -> Ask {
        let deadline = DEADLINE.as_millis();
        match self {
            Interface::Own => ask.service(SERVICE).with("cherrystream-deadline-ms", deadline),
            Interface::Platform => ask
                .with("host", HOST)
                .with(requests::ATTEMPT_ID, format!("{:016x}", rand::random::<u64>()))
                .with(requests::TIMEOUT_MS, deadline),
        }
    }

    /// Returns whether an answer states that its request has not run.
    fn says_not_run(self, answer: &Answer) -> bool {
        match self {
            Interface::Own => answer.outcome() == "not-run",
            Interface::Platform => requests::NOT_RUN.contains(&answer.status.as_u16()),
        }
    }
}

/// A daemon beside the server, and another one.
struct Fleet {
    interface: Interface,
    site: Site,
    near: Daemon,
    far: Daemon,
    server: Server,
    reporting: JoinSet<()>,
}

impl Fleet {
    async fn start(interface: Interface) -> Fleet {
        let mut site = Site::new(1);
        if interface == Interface::Platform {
            site.top_lines.push("interface: platform".into());
        }
        site.start_control(1);
        site.leader().await;
        let instances = site.address(7_800);
        let opts = DaemonOptions {
            lines: vec![format!("instance_address: {instances}"), format!("service: {SERVICE}")],
            control: None,
        };
        let near = site.start_daemon_with("host-a", "a", 1, &opts);
        let far = site.start_daemon("host-b", "b", 2);
        let server = Server::start(&site.address(0), interface.answer_head()).await;
        let reporting = JoinSet::new();
        let mut fleet = Fleet { interface, site, near, far, server, reporting };
        match interface {
            Interface::Own => fleet.configure_services().await,
            Interface::Platform => fleet.configure_routes(instances).await,
        }
        for daemon in [&fleet.near, &fleet.far] {
            wait::until("a request is served", || async {
                (daemon.call(&interface.even()).await?.status == 200).then_some(())
            })
            .await;
        }
        fleet
    }

    async fn configure_services(&self) {
        self.site.put_service(SERVICE).await;
        self.site
            .accept(serde_json::json!({
                "intent": "put-backend-server", "service": SERVICE, "name": "odd",
                "host": "host-a", "address": self.server.address, "slots": 12
            }))
            .await;
        self.site
            .accept(serde_json::json!({
                "intent": "put-kind", "service": SERVICE, "kind": "order", "method": "POST",
                "path_prefix": "/odd-once", "repeatable": false, "weight": 5, "deadline_ms": 8_000
            }))
            .await;
    }

    async fn configure_routes(&mut self, instances: String) {
        let route = |name: &str, repeatable| orders::RouteLine {
            name: name.into(),
            host: HOST.into(),
            path_prefix: format!("/{name}/"),
            repeatable,
            timeout_s: 8,
            attempts: 2,
        };
        let routes = [
            route("even", true),
            route("odd", true),
            route("odd-once", false),
            route("rejected-once", false),
        ];
        let replace = Ask::post(orders::REPLACE, orders::table(1, SERVICE, routes.into_iter()));
        let api = self.site.api(1);
        wait::until("the routes are accepted", || async {
            (client::send(&api, &replace).await?.status == 200).then_some(())
        })
        .await;
        let address = self.server.address.clone();
        self.reporting.spawn(async move {
            for seq in 1.. {
                let (path, body) = requests::heartbeat("i-odd", SERVICE, &address, seq);
                let _ = client::send(&instances, &Ask::post(&path, body)).await;
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        });
    }

    /// Returns how requests with an odd answer fail to end as they should, by daemon and request.
    async fn check(&self, odd: &Odd) -> Vec<String> {
        self.server.answer.send_replace(Some(odd.clone()));
        let mut wrong = Vec::new();
        for (daemon, place) in [(&self.near, "near"), (&self.far, "far")] {
            for repeat in [Repeat::Allowed, Repeat::Forbidden] {
                if let Some(what) = self.check_one(daemon, repeat).await {
                    let begin = String::from_utf8_lossy(&odd.begin[..odd.begin.len().min(80)]);
                    wrong.push(format!("{place} {repeat:?} {begin:?} {:?}: {what}", odd.rest));
                }
            }
        }
        wrong
    }

    async fn check_one(&self, daemon: &Daemon, repeat: Repeat) -> Option<String> {
        if !self.is_served(daemon).await {
            return Some("other requests are not served".into());
        }
        let start = Instant::now();
        let limit = DEADLINE + END_TIMEOUT;
        let ask = self.interface.odd(repeat);
        let Ok(answer) = tokio::time::timeout(limit * 2, daemon.call(&ask)).await else {
            return Some("no end".into());
        };
        let took = start.elapsed();
        if took > limit {
            return Some(format!("ended after {took:?}"));
        }
        if let Some(answer) = answer {
            if answer.status.is_success() {
                return Some(format!("{} with {} bytes", answer.status, answer.body.len()));
            }
            if self.interface.says_not_run(&answer) {
                return Some(format!("{} says that it has not run", answer.status));
            }
        }
        let mut open = self.server.open.subscribe();
        let closed = tokio::time::timeout(limit, open.wait_for(|n| *n == 0)).await;
        closed.is_err().then(|| "the daemon goes on reading".into())
    }

    /// Returns what callers receive in place of a failure when the answer is malformed, by daemon and
    /// request.
    async fn check_failed(&self, odd: &Odd) -> Vec<String> {
        self.server.answer.send_replace(Some(odd.clone()));
        let mut wrong = Vec::new();
        for (daemon, place) in [(&self.near, "near"), (&self.far, "far")] {
            for repeat in [Repeat::Allowed, Repeat::Forbidden] {
                assert!(self.is_served(daemon).await, "other requests are not served");
                let ask = self.interface.odd(repeat);
                let end = raw::status(&daemon.caller, &ask).await;
                if end != Ok(BAD_GATEWAY) {
                    let begin = String::from_utf8_lossy(&odd.begin[..odd.begin.len().min(90)]);
                    let status = odd.status;
                    wrong.push(format!("{place} {repeat:?} {status} {begin:?}: {end:?}"));
                }
                let mut open = self.server.open.subscribe();
                let closed = tokio::time::timeout(END_TIMEOUT, open.wait_for(|n| *n == 0)).await;
                if closed.is_err() {
                    wrong.push(format!("{place} {repeat:?}: the connection is used further"));
                }
            }
        }
        wrong
    }

    /// Returns whether an ordinary request is served soon. A server that fails is avoided for a
    /// while.
    async fn is_served(&self, daemon: &Daemon) -> bool {
        let ask = self.interface.even();
        let serving = wait::until("an ordinary request is served", || async {
            (daemon.call(&ask).await?.status == 200).then_some(())
        });
        tokio::time::timeout(SERVED_TIMEOUT, serving).await.is_ok()
    }
}

async fn assert_ends(interface: Interface, answers: Vec<Odd>) {
    let fleet = Fleet::start(interface).await;
    let mut wrong = Vec::new();
    for odd in &answers {
        wrong.extend(fleet.check(odd).await);
    }
    assert!(wrong.is_empty(), "{interface:?}: {wrong:#?}");
}

async fn assert_fails(interface: Interface, answers: Vec<Odd>) {
    let fleet = Fleet::start(interface).await;
    let mut wrong = Vec::new();
    for odd in &answers {
        wrong.extend(fleet.check_failed(odd).await);
    }
    assert!(wrong.is_empty(), "{interface:?}: {wrong:#?}");
}

/// Guards against answers that break off and are passed on as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_is_never_passed_on_as_whole() {
    assert_ends(Interface::Own, answers::cut()).await;
}

/// Guards against answers that break off and are passed on as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_is_never_passed_on_as_whole_on_the_platform() {
    assert_ends(Interface::Platform, answers::cut()).await;
}

/// Guards against answers of which callers take a part for the whole and the rest for their next
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_length_is_ambiguous_is_never_passed_on() {
    assert_fails(Interface::Own, answers::ambiguous()).await;
}

/// Guards against answers of which callers take a part for the whole and the rest for their next
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_length_is_ambiguous_is_never_passed_on_on_the_platform() {
    assert_fails(Interface::Platform, answers::ambiguous()).await;
}

/// Guards against daemons that are kept busy, and requests that hang past their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_answer_end_the_request() {
    assert_ends(Interface::Own, answers::without_content()).await;
}

/// Guards against daemons that are kept busy, and requests that hang past their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_answer_end_the_request_on_the_platform() {
    assert_ends(Interface::Platform, answers::without_content()).await;
}

/// Guards against long answers that hang past the deadline once they have begun.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_ends_at_the_deadline() {
    assert_ends(Interface::Own, answers::without_end()).await;
}

/// Guards against long answers that hang past the deadline once they have begun.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_ends_at_the_deadline_on_the_platform() {
    assert_ends(Interface::Platform, answers::without_end()).await;
}

/// Guards against a slot and a connection that an unrepeatable request holds for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_server_falls_silent_in_its_answer_frees_its_slot() {
    assert_ends(Interface::Own, answers::silent()).await;
}

/// Guards against a slot and a connection that an unrepeatable request holds for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_server_falls_silent_in_its_answer_frees_its_slot_on_the_platform() {
    assert_ends(Interface::Platform, answers::silent()).await;
}

/// Guards against answers that callers receive with a status like 000 or 600.
#[tokio::test(flavor = "multi_thread")]
async fn no_status_outside_200_to_599_reaches_a_caller() {
    assert_fails(Interface::Own, answers::invalid_statuses()).await;
}

/// Guards against answers that callers receive with a status like 000 or 600.
#[tokio::test(flavor = "multi_thread")]
async fn no_status_outside_200_to_599_reaches_a_caller_on_the_platform() {
    assert_fails(Interface::Platform, answers::invalid_statuses()).await;
}

/// Guards against a late copy of a rejection that is taken for the answer to the same request, which
/// was sent again and is running.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_rejection_proves_nothing_about_a_request_that_is_sent_again() {
    let fleet = Fleet::start(Interface::Platform).await;
    for (daemon, place) in [(&fleet.near, "near"), (&fleet.far, "far")] {
        for n in 0..REJECTED {
            let ask = Interface::Platform.complete(Ask::post("/rejected-once/x", ""));
            let answer = daemon.call(&ask).await.expect("no answer");
            let runs = fleet.server.rejections.take_runs();
            let says_not_run = Interface::Platform.says_not_run(&answer);
            assert!(runs <= 1, "{place} {n}: ran {runs} times");
            assert!(runs == 0 || !says_not_run, "{place} {n}: {} while it runs", answer.status);
        }
    }
}

/// Guards against a daemon that keeps all bytes of an answer without end and runs out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_are_not_kept_in_memory() {
    let fleet = Fleet::start(Interface::Own).await;
    let peaks = || [&fleet.near, &fleet.far].map(|daemon| daemon.process.peak_memory());
    let before = peaks();
    let endless = answers::without_content().into_iter().chain(answers::without_end());
    for odd in endless.chain([answers::smallest_chunks()]) {
        fleet.server.answer.send_replace(Some(odd.clone()));
        let mut callers = JoinSet::new();
        for n in 0..CALLERS {
            let daemon = if n % 2 == 0 { &fleet.near } else { &fleet.far };
            let (address, ask) = (daemon.caller.clone(), Interface::Own.odd(Repeat::Allowed));
            callers.spawn(async move {
                match n % 4 < 2 {
                    true => drop(raw::status(&address, &ask).await),
                    false => drop(raw::send_without_reading(&address, &ask, DEADLINE).await),
                }
            });
        }
        callers.join_all().await;
        let begin = String::from_utf8_lossy(&odd.begin[..odd.begin.len().min(60)]).into_owned();
        let grown = std::array::from_fn::<u64, 2, _>(|n| peaks()[n] - before[n]);
        println!("{begin:?} {:?}: peaks have grown by {grown:?}", odd.rest);
        assert!(
            grown.iter().all(|grown| *grown < MAX_GROWTH),
            "{begin:?} {:?}: {grown:?}",
            odd.rest
        );
    }
}

/// Guards against an answer in the smallest chunks that keeps a daemon busy beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_chunks_of_one_byte_ends_at_the_deadline() {
    let fleet = Fleet::start(Interface::Own).await;
    fleet.server.answer.send_replace(Some(answers::smallest_chunks()));
    for (daemon, place) in [(&fleet.near, "near"), (&fleet.far, "far")] {
        for repeat in [Repeat::Allowed, Repeat::Forbidden] {
            assert!(fleet.is_served(daemon).await, "{place}: other requests are not served");
            let ask = Interface::Own.odd(repeat);
            let took = raw::time_to_end(&daemon.caller, &ask.with("connection", "close")).await;
            let took = took.unwrap();
            println!("{place} {repeat:?}: ended after {took:?}");
            assert!(took < DEADLINE + END_TIMEOUT, "{place} {repeat:?}: ended after {took:?}");
        }
    }
}
