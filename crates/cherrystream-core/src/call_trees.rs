//! Which services the requests of a kind lead to, learned beside the backend servers that run them.
//!
//! A running request makes calls, and these may make further ones. A request that is let in at one service
//! so takes room at others, which knew nothing of it. A daemon sees the runs of the backend server beside
//! it begin and end, and the calls that begin meanwhile, but not which run makes which call. So the calls
//! that begin in a moment are taken for a sum over the kinds that run then, and the part of each kind is
//! the one that fits all moments best (least squares, no part below zero).

use crate::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Calls a run from which a kind counts as one that leads to a service.
const LEADS_FROM: f64 = 0.1;
/// Runs of a kind from which its calls tell something.
const ENOUGH_RUNS: f64 = 12.0;
/// Time after which half of what was seen is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Time for which an answer of [`CallTrees::leads_to`] is used again.
const SOLVED_FOR: Duration = Duration::from_millis(250);
/// Rounds in which the parts are fitted: each brings them closer to the best ones.
const ROUNDS: usize = 60;
/// Kinds of runs that are told apart; further ones are not looked at.
const KINDS_AT_MOST: usize = 16;
/// Kinds that the backend server calls that are remembered at most.
const CALLED_AT_MOST: usize = 64;
/// Services that are remembered at most.
const SERVICES_AT_MOST: usize = 32;

/// What is known of a kind that the backend server calls.
#[derive(Debug)]
struct Called {
    /// Services that its runs lead to in turn.
    leads_to: BTreeSet<Arc<str>>,
    heard: Timestamp,
}

/// Runs of one kind.
#[derive(Debug)]
struct Runs {
    kind: Arc<str>,
    running: u32,
    begun: f64,
    /// Seconds of work, summed over its runs.
    seconds: f64,
    /// Seconds, weighed by the numbers of its runs and of those of each other kind.
    together: Vec<f64>,
    /// Its running runs, summed over the calls to each service.
    at_calls: BTreeMap<Arc<str>, f64>,
}

/// What one daemon knows of the calls that begin beside it.
#[derive(Debug, Default)]
pub struct CallTrees {
    runs: Vec<Runs>,
    /// Kinds that the backend server here calls, by the word of those that answer.
    called: BTreeMap<Arc<str>, Called>,
    at: Timestamp,
    halved_at: Timestamp,
    /// Services by kind, as last solved.
    solved: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    solved_at: Option<Timestamp>,
}

impl CallTrees {
    /// Notes that a run begins at the backend server here.
    pub fn on_run(&mut self, now: Timestamp, kind: &Arc<str>) {
        self.advance(now);
        if let Some(runs) = self.runs.iter_mut().find(|runs| runs.kind == *kind) {
            runs.running += 1;
            runs.begun += 1.0;
            return;
        }
        if self.runs.len() >= KINDS_AT_MOST {
            return;
        }
        self.runs.iter_mut().for_each(|runs| runs.together.push(0.0));
        self.runs.push(Runs {
            kind: kind.clone(),
            running: 1,
            begun: 1.0,
            seconds: 0.0,
            together: vec![0.0; self.runs.len() + 1],
            at_calls: BTreeMap::new(),
        });
    }

    /// Notes that a run has ended.
    pub fn on_run_end(&mut self, now: Timestamp, kind: &str) {
        self.advance(now);
        if let Some(runs) = self.runs.iter_mut().find(|runs| *runs.kind == *kind) {
            runs.running = runs.running.saturating_sub(1);
        }
    }

    /// Notes the word of the daemon that answered a request which began here: that it is taken for a call
    /// by a run, whose own runs lead to these services.
    pub fn on_called(&mut self, now: Timestamp, kind: &Arc<str>, leads_to: &[Arc<str>]) {
        if !self.called.contains_key(kind) && self.called.len() >= CALLED_AT_MOST {
            return;
        }
        let leads_to = leads_to.iter().take(SERVICES_AT_MOST).cloned().collect();
        self.called.insert(kind.clone(), Called { leads_to, heard: now });
    }

    /// Notes a request that begins here; if it is of a kind that the backend server calls, it is one of the
    /// calls of this moment, and so are those that it leads to.
    pub fn on_request(&mut self, now: Timestamp, kind: &str, service: &Arc<str>) {
        let Some(called) = self.called.get(kind) else { return };
        let mut services = called.leads_to.clone();
        services.insert(service.clone());
        self.advance(now);
        for runs in self.runs.iter_mut().filter(|runs| runs.running > 0) {
            for service in &services {
                let known = runs.at_calls.contains_key(service);
                if known || runs.at_calls.len() < SERVICES_AT_MOST {
                    let number = f64::from(runs.running);
                    *runs.at_calls.entry(service.clone()).or_default() += number;
                }
            }
        }
    }

    /// Returns whether the backend server here makes requests of a kind.
    pub fn is_called(&self, kind: &str) -> bool {
        self.called.contains_key(kind)
    }

    /// Returns the services that the runs of a kind lead to.
    pub fn leads_to(&mut self, now: Timestamp, kind: &str) -> Vec<Arc<str>> {
        let fresh = self.solved_at.is_some_and(|at| now.since(at) < SOLVED_FOR);
        if !fresh {
            self.solve();
            self.solved_at = Some(now);
        }
        self.solved.get(kind).cloned().unwrap_or_default()
    }

    fn solve(&mut self) {
        self.solved.clear();
        let services: BTreeSet<Arc<str>> =
            self.runs.iter().flat_map(|runs| runs.at_calls.keys().cloned()).collect();
        for service in services {
            let rates = self.calls_per_second(&service);
            for (runs, rate) in self.runs.iter().zip(rates) {
                let enough = runs.begun >= ENOUGH_RUNS;
                let calls_per_run = rate * runs.seconds / runs.begun.max(1.0);
                if enough && calls_per_run >= LEADS_FROM {
                    self.solved.entry(runs.kind.clone()).or_default().push(service.clone());
                }
            }
        }
    }

    /// Returns the calls to a service that a run of each kind makes in a second of its work: one part after
    /// the other is set to what fits best with the others as they are.
    fn calls_per_second(&self, service: &str) -> Vec<f64> {
        let mut rates = vec![0.0; self.runs.len()];
        for _ in 0..ROUNDS {
            for (i, runs) in self.runs.iter().enumerate() {
                let others: f64 = rates
                    .iter()
                    .zip(&runs.together)
                    .enumerate()
                    .filter(|(j, _)| *j != i)
                    .map(|(_, (rate, together))| rate * together)
                    .sum();
                let seen = runs.at_calls.get(service).copied().unwrap_or_default();
                let own = runs.together[i];
                rates[i] = if own > 0.0 { ((seen - others) / own).max(0.0) } else { 0.0 };
            }
        }
        rates
    }

    /// Counts the time since the last event, in which the numbers of runs were as they are.
    fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        let running: Vec<f64> = self.runs.iter().map(|runs| f64::from(runs.running)).collect();
        for runs in self.runs.iter_mut().filter(|runs| runs.running > 0) {
            let own = f64::from(runs.running) * passed;
            runs.seconds += own;
            for (together, other) in runs.together.iter_mut().zip(&running) {
                *together += own * other;
            }
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for runs in &mut self.runs {
            runs.begun /= 2.0;
            runs.seconds /= 2.0;
            runs.together.iter_mut().for_each(|together| *together /= 2.0);
            runs.at_calls.values_mut().for_each(|number| *number /= 2.0);
            runs.at_calls.retain(|_, number| *number >= 0.5);
        }
        while let Some(gone) = self.runs.iter().position(|r| r.running == 0 && r.begun < 0.5) {
            self.runs.remove(gone);
            for runs in &mut self.runs {
                runs.together.remove(gone);
            }
        }
        self.called.retain(|_, called| now.since(called.heard) < 4 * HALF_LIFE);
    }
}
