//! Operators, their commands under way, and the replicas.

use super::raft_cluster::Cluster;
use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use cherrystream_core::state::{Applied, ControlState, IntentOutcome};
use cherrystream_core::units::Revision;
use cherrystream_schema::messages::{Change, Command, Entry, HostRecord, Intent};
use std::collections::BTreeMap;

/// Rounds without faults after which a waiting command must be acknowledged.
const SETTLE_ROUNDS: usize = 400;
/// Maximum number of messages in flight.
const MAX_IN_FLIGHT: usize = 200;

/// What commands are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bases {
    /// The last command that a replica had applied when it received the command.
    AtReceipt,
    /// A revision that no command supersedes.
    Newest,
}

/// Counts of commands.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Commands that were acknowledged.
    pub acknowledged: usize,
    /// Committed commands that newer ones superseded.
    pub superseded: usize,
    /// Commands that operators gave up.
    pub given_up: usize,
}

impl Counts {
    pub fn add(&mut self, other: Counts) {
        self.acknowledged += other.acknowledged;
        self.superseded += other.superseded;
        self.given_up += other.given_up;
    }
}

/// A command that a replica has received and sends to leaders.
struct Attempt {
    operator: usize,
    intent: Intent,
    base: Revision,
    /// Number of the operator's command.
    number: u64,
}

/// An operator with commands about one item, one after the other.
struct Operator {
    /// The two opposite commands of the item.
    intents: [Intent; 2],
    number: u64,
    /// The command that the operator waits for.
    waits: Option<Intent>,
    /// The last acknowledged command, unless a newer one was sent.
    acknowledged: Option<Intent>,
}

pub struct Site {
    cluster: Cluster,
    bases: Bases,
    operators: Vec<Operator>,
    attempts: Vec<Attempt>,
    /// Operators and numbers of proposed commands by term and index.
    proposed: BTreeMap<(u64, u64), (usize, u64)>,
    /// State after all committed entries, with the index of the last one.
    state: ControlState,
    applied: u64,
    pub counts: Counts,
}

fn operator(a: Intent, b: Intent) -> Operator {
    Operator { intents: [a, b], number: 0, waits: None, acknowledged: None }
}

fn operators() -> Vec<Operator> {
    let (workspace, key_digest) = ("mine".to_string(), "digest".to_string());
    let mut all: Vec<Operator> = ["zone-a", "zone-b"]
        .map(|domain| {
            operator(
                Intent::Evacuate { failure_domain: domain.into() },
                Intent::EndEvacuation { failure_domain: domain.into() },
            )
        })
        .into();
    all.push(operator(
        Intent::TakeOutHost { host: "host".into() },
        Intent::ReturnHost { host: "host".into() },
    ));
    all.push(operator(
        Intent::AddKey { workspace: workspace.clone(), key_digest: key_digest.clone() },
        Intent::RevokeKey { workspace, key_digest },
    ));
    all
}

/// Returns the initial state, which has the items of all commands.
fn initial_state() -> ControlState {
    let mut state = ControlState::default();
    let workspace = Intent::PutWorkspace {
        workspace: "mine".into(),
        priority: None,
        rate_milli_per_s: 0,
        burst_milli: 0,
    };
    let record = HostRecord {
        host: "host".into(),
        failure_domain: "zone-a".into(),
        region: "r".into(),
        peer_address: "127.0.0.1:1".into(),
        incarnation: 0,
        leaving: false,
    };
    let changes = vec![Change::Operator { intent: workspace }, Change::PutHost { record }];
    state.apply(&Entry { term: 0, index: 0, command: Command::ShareAll { changes } });
    state
}

/// Returns whether a command is in force.
fn is_in_force(state: &ControlState, intent: &Intent) -> bool {
    let config = &state.shared().config;
    let holds = |digest: &String| config.workspaces["mine"].key_digests.contains(digest);
    match intent {
        Intent::Evacuate { failure_domain } => config.failure_domains_out.contains(failure_domain),
        Intent::EndEvacuation { failure_domain } => {
            !config.failure_domains_out.contains(failure_domain)
        }
        Intent::TakeOutHost { host } => config.hosts_out.contains(host),
        Intent::ReturnHost { host } => !config.hosts_out.contains(host),
        Intent::AddKey { key_digest, .. } => holds(key_digest),
        Intent::RevokeKey { key_digest, .. } => !holds(key_digest),
        other => panic!("no operator sends {other:?}"),
    }
}

impl Site {
    pub fn new(bases: Bases) -> Site {
        Site {
            cluster: Cluster::new(),
            bases,
            operators: operators(),
            attempts: Vec::new(),
            proposed: BTreeMap::new(),
            state: initial_state(),
            applied: 0,
            counts: Counts::default(),
        }
    }

    /// Performs one step chosen by the random bytes.
    pub fn step(&mut self, u: &mut Unstructured) -> ArbResult<()> {
        let i = u.choose_index(self.cluster.replicas.len())?;
        match u.int_in_range(0..=99)? {
            0..=44 if !self.cluster.in_flight.is_empty() => {
                let at = u.choose_index(self.cluster.in_flight.len())?;
                self.cluster.deliver(at, u.ratio(1, 12)?);
            }
            45..=48 if !self.cluster.in_flight.is_empty() => {
                let at = u.choose_index(self.cluster.in_flight.len())?;
                self.cluster.in_flight.swap_remove(at);
            }
            49..=62 => self.cluster.tick_all(u.int_in_range(10_000..=200_000)?),
            63..=73 => self.send(u)?,
            74..=78 => self.give_up(u)?,
            79..=92 if !self.attempts.is_empty() => {
                let attempt = u.choose_index(self.attempts.len())?;
                self.propose(i, attempt);
                if u.ratio(1, 2)? {
                    self.attempts.swap_remove(attempt);
                }
            }
            93..=94 => self.cluster.replicas[i].raft = None,
            95..=97 => self.start(i),
            98 => self.cluster.compact(i),
            _ => self.transfer_leadership(i),
        }
        while self.cluster.in_flight.len() > MAX_IN_FLIGHT {
            self.cluster.in_flight.remove(0);
        }
        self.apply_committed();
        self.check();
        Ok(())
    }

    /// Asserts that commands are acknowledged once no more faults occur.
    pub fn settle(&mut self) {
        self.attempts.clear();
        for operator in 0..self.operators.len() {
            self.command(operator, 0);
        }
        for _ in 0..SETTLE_ROUNDS {
            for i in 0..self.cluster.replicas.len() {
                self.start(i);
            }
            self.cluster.run_fault_free();
            self.repeat_waiting();
            self.apply_committed();
            self.check();
            if self.operators.iter().all(|operator| operator.waits.is_none()) {
                return;
            }
        }
        panic!("a command is not acknowledged after all faults");
    }

    /// Sends the commands that operators wait for to all replicas, with new bases.
    fn repeat_waiting(&mut self) {
        for operator in 0..self.operators.len() {
            self.receive(operator, self.applied);
            for i in 0..self.cluster.replicas.len() {
                if !self.attempts.is_empty() {
                    self.propose(i, self.attempts.len() - 1);
                }
            }
            self.attempts.clear();
        }
    }

    fn start(&mut self, i: usize) {
        if self.cluster.replicas[i].raft.is_none() {
            self.cluster.start(i);
        }
    }

    fn transfer_leadership(&mut self, i: usize) {
        let now = self.cluster.now;
        if let Some(raft) = &mut self.cluster.replicas[i].raft {
            raft.transfer_leadership(now);
        }
        self.cluster.process_ready(i, None);
    }

    /// An operator sends a command, or one that it waits for to another replica.
    fn send(&mut self, u: &mut Unstructured) -> ArbResult<()> {
        let operator = u.choose_index(self.operators.len())?;
        if self.operators[operator].waits.is_none() {
            self.command(operator, u.choose_index(2)?);
        }
        // The replica that receives it, or the leader that it asks, may lag behind.
        let base = u.int_in_range(self.applied.saturating_sub(3)..=self.applied)?;
        self.receive(operator, base);
        Ok(())
    }

    fn command(&mut self, operator: usize, intent: usize) {
        let operator = &mut self.operators[operator];
        operator.number += 1;
        operator.waits = Some(operator.intents[intent].clone());
        operator.acknowledged = None;
    }

    /// A replica that has applied the log up to an index receives the command of an operator.
    fn receive(&mut self, operator: usize, applied: u64) {
        let Some(intent) = self.operators[operator].waits.clone() else { return };
        let base = match self.bases {
            Bases::AtReceipt => self.revision_at(applied),
            Bases::Newest => Revision { term: u64::MAX, index: u64::MAX },
        };
        let number = self.operators[operator].number;
        self.attempts.push(Attempt { operator, intent, base, number });
    }

    fn revision_at(&self, index: u64) -> Revision {
        let entry = self.cluster.committed.get(&index);
        let term = entry.map_or(0, |entry| super::recorded::term(&entry.name));
        Revision { term, index }
    }

    /// An operator leaves before its command is acknowledged.
    fn give_up(&mut self, u: &mut Unstructured) -> ArbResult<()> {
        let operator = u.choose_index(self.operators.len())?;
        if self.operators[operator].waits.take().is_some() {
            self.counts.given_up += 1;
        }
        Ok(())
    }

    /// Proposes an attempt at a replica, if it leads.
    fn propose(&mut self, i: usize, attempt: usize) {
        let Attempt { operator, intent, base, number } = &self.attempts[attempt];
        let now = self.cluster.now;
        let command = Command::ApplyIntent { intent: intent.clone(), base: *base };
        if let Some(raft) = &mut self.cluster.replicas[i].raft
            && let Ok(position) = raft.propose(command)
        {
            self.proposed.insert((position.term, position.index), (*operator, *number));
            raft.flush(now);
        }
        self.cluster.process_ready(i, None);
    }

    /// Applies newly committed entries, and acknowledges the commands that they carry out.
    fn apply_committed(&mut self) {
        while let Some(committed) = self.cluster.committed.get(&(self.applied + 1)) {
            self.applied += 1;
            let entry = super::recorded::entry(&committed.name, self.applied);
            let applied = self.state.apply(&entry);
            let proposed = self.proposed.get(&(entry.term, entry.index));
            let Some((operator, number)) = proposed.copied() else { continue };
            let operator = &mut self.operators[operator];
            if applied == Applied::Intended(IntentOutcome::Superseded) {
                self.counts.superseded += 1;
            }
            let in_force = matches!(applied, Applied::Intended(IntentOutcome::InForce(_)));
            if in_force && operator.number == number && operator.waits.is_some() {
                operator.acknowledged = operator.waits.take();
                self.counts.acknowledged += 1;
            }
        }
    }

    fn check(&self) {
        for operator in &self.operators {
            let Some(acknowledged) = &operator.acknowledged else { continue };
            assert!(
                is_in_force(&self.state, acknowledged),
                "{acknowledged:?} was acknowledged and is not in force"
            );
        }
    }
}
