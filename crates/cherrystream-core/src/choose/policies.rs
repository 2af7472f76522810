//! Load balancing policies, each an implementation of [`Choose`].

use super::Server;
use crate::units::Timestamp;
use cherrystream_schema::settings::ChoicePolicy;
use rand::Rng;
use rand::rngs::SmallRng;

/// Chooses one of several backend servers.
pub trait Choose {
    /// Returns the index of the chosen server, or `None` if `from` is empty.
    fn choose(&mut self, now: Timestamp, rng: &mut SmallRng, from: &[&Server]) -> Option<usize>;
}

/// Creates the policy that the settings name.
pub fn policy(name: ChoicePolicy) -> Box<dyn Choose + Send> {
    match name {
        ChoicePolicy::RoundRobin => Box::new(RoundRobin { next: 0 }),
        ChoicePolicy::LeastInFlight => Box::new(LeastInFlight),
        ChoicePolicy::TwoChoices => Box::new(TwoChoices),
        ChoicePolicy::LowestLoad => Box::new(LowestLoad),
    }
}

struct RoundRobin {
    next: usize,
}

impl Choose for RoundRobin {
    fn choose(&mut self, _now: Timestamp, _rng: &mut SmallRng, from: &[&Server]) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        self.next.checked_rem(from.len())
    }
}

struct LeastInFlight;

impl Choose for LeastInFlight {
    fn choose(&mut self, _now: Timestamp, rng: &mut SmallRng, from: &[&Server]) -> Option<usize> {
        lowest(rng, from, |s| s.own_in_flight() as f64)
    }
}

struct TwoChoices;

impl Choose for TwoChoices {
    fn choose(&mut self, now: Timestamp, rng: &mut SmallRng, from: &[&Server]) -> Option<usize> {
        if from.len() < 2 {
            return (!from.is_empty()).then_some(0);
        }
        let first = rng.random_range(0..from.len());
        let second = (first + rng.random_range(1..from.len())) % from.len();
        let better = from[second].expected_latency(now) < from[first].expected_latency(now);
        Some(if better { second } else { first })
    }
}

struct LowestLoad;

impl Choose for LowestLoad {
    fn choose(&mut self, now: Timestamp, rng: &mut SmallRng, from: &[&Server]) -> Option<usize> {
        lowest(rng, from, |s| s.expected_latency(now))
    }
}

/// Returns the index of a server with the lowest score; ties are broken at random.
fn lowest(rng: &mut SmallRng, from: &[&Server], score: impl Fn(&Server) -> f64) -> Option<usize> {
    let scores: Vec<f64> = from.iter().map(|s| score(s)).collect();
    let lowest = scores.iter().copied().min_by(f64::total_cmp)?;
    let ties: Vec<usize> = (0..scores.len()).filter(|i| scores[*i] <= lowest).collect();
    ties.get(rng.random_range(0..ties.len())).copied()
}
