//! Instances: runs of the backend server beside a daemon, as they report themselves.
//!
//! An instance that said that it leaves never takes new work again, whoever heard it and however
//! late an earlier report arrives. So a change of state is acknowledged only once the replicated
//! log holds it, and [`register`] lets no state go back.

use cherrystream_schema::messages::{Instance, InstanceRecord, ServerState};

/// Earlier instances of one host that are remembered.
const RETIRED_KEPT: usize = 16;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum InstanceReport {
    /// It runs.
    Runs(Instance),
    /// It ends, and takes no new work.
    Ends {
        /// Its identifier.
        id: String,
    },
}

/// What becomes of a report.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is acknowledged; nothing changes.
    Acknowledge,
    /// It is acknowledged once [`Keeper::is_registered`] holds.
    AwaitRegistration,
    /// It is not acknowledged, for it is not known what was acknowledged before.
    NotYet,
}

/// Returns how far a state is on the way to the end of an instance.
fn stage(state: ServerState) -> u8 {
    match state {
        ServerState::Starting => 0,
        ServerState::Live => 1,
        ServerState::Draining => 2,
        ServerState::Down => 3,
    }
}

/// Returns what is registered after an instance's word, or `None` when it changes nothing.
pub fn register(known: Option<&InstanceRecord>, word: &Instance) -> Option<InstanceRecord> {
    let Some(known) = known else {
        return Some(InstanceRecord { instance: word.clone(), retired: Vec::new() });
    };
    if known.retired.contains(&word.id) {
        return None;
    }
    if known.instance.id != word.id {
        let mut retired = known.retired.clone();
        retired.push(known.instance.id.clone());
        let excess = retired.len().saturating_sub(RETIRED_KEPT);
        retired.drain(..excess);
        return Some(InstanceRecord { instance: word.clone(), retired });
    }
    // A state that lies further on holds whatever the sequence says: no instance goes back.
    let (said, held) = (stage(word.state), stage(known.instance.state));
    let older = said == held && word.sequence < known.instance.sequence;
    if said < held || older || *word == known.instance {
        return None;
    }
    Some(InstanceRecord { instance: word.clone(), retired: known.retired.clone() })
}

/// What a daemon knows of the instance beside it.
#[derive(Debug, Default)]
pub struct Keeper {
    /// Set once it is known what was registered before this process started.
    confirmed: bool,
    /// Instance that was registered before this process started, where there was one.
    found: Option<String>,
    registered: Option<InstanceRecord>,
    /// What is to be registered.
    wanted: Option<Instance>,
    /// Instances that ended before they were registered.
    ended: Vec<String>,
}

impl Keeper {
    /// Takes what is registered for this host by a confirmed word of control; returns whether that
    /// changes anything here.
    pub fn on_registered(&mut self, record: Option<&InstanceRecord>) -> bool {
        let known = self.confirmed && self.registered.as_ref() == record;
        if !self.confirmed {
            self.found = record.map(|record| record.instance.id.clone());
        }
        self.confirmed = true;
        self.registered = record.cloned();
        let settled = self.wanted.as_ref().is_some_and(|w| register(record, w).is_none());
        if settled {
            self.wanted = None;
        }
        settled || !known
    }

    /// Takes a report.
    pub fn on_report(&mut self, report: InstanceReport) -> Verdict {
        if !self.confirmed {
            return Verdict::NotYet;
        }
        match report {
            InstanceReport::Runs(instance) => self.on_runs(instance),
            InstanceReport::Ends { id } => self.on_ends(id),
        }
    }

    fn on_runs(&mut self, mut word: Instance) -> Verdict {
        if self.ended.contains(&word.id) {
            return Verdict::Acknowledge;
        }
        // What was heard last counts, although it may not be registered yet.
        if let Some(wanted) = self.wanted.as_ref().filter(|w| w.id == word.id)
            && stage(word.state) <= stage(wanted.state)
        {
            return Verdict::AwaitRegistration;
        }
        if let Some(known) = self.registered.as_ref().map(|r| &r.instance)
            && known.id == word.id
            && known.state == word.state
            && known.service == word.service
            && known.address == word.address
            && known.slots == word.slots
        {
            // Only the sequence moves on, which nobody else needs to know.
            word.sequence = known.sequence;
        }
        match register(self.registered.as_ref(), &word) {
            None => Verdict::Acknowledge,
            Some(_) => {
                self.wanted = Some(word);
                Verdict::AwaitRegistration
            }
        }
    }

    fn on_ends(&mut self, id: String) -> Verdict {
        let wanted = self.wanted.as_ref().filter(|w| w.id == id);
        let registered = self.registered.as_ref().map(|r| &r.instance).filter(|i| i.id == id);
        let Some(instance) = wanted.or(registered) else {
            self.note_ended(id);
            return Verdict::Acknowledge;
        };
        if instance.state == ServerState::Down {
            return match wanted {
                Some(_) => Verdict::AwaitRegistration,
                None => Verdict::Acknowledge,
            };
        }
        self.wanted = Some(Instance { state: ServerState::Down, ..instance.clone() });
        Verdict::AwaitRegistration
    }

    fn note_ended(&mut self, id: String) {
        self.ended.push(id);
        let excess = self.ended.len().saturating_sub(RETIRED_KEPT);
        self.ended.drain(..excess);
    }

    /// Returns whether it is known what was registered before this process started.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether an instance was first heard of by this process: no other one has sent it anything.
    pub fn is_new(&self, id: &str) -> bool {
        self.confirmed && self.found.as_deref() != Some(id)
    }

    /// Returns whether everything that was reported is registered.
    pub fn is_registered(&self) -> bool {
        self.wanted.is_none()
    }

    /// Returns the instance to be registered.
    pub fn wanted(&self) -> Option<&Instance> {
        self.wanted.as_ref()
    }

    /// Returns the instance beside this daemon by the latest word.
    pub fn current(&self) -> Option<&Instance> {
        self.wanted.as_ref().or(self.registered.as_ref().map(|r| &r.instance))
    }
}
