//! Merges the crashes reported by all daemons and decides how a request is treated.

use super::identity::{CallerFingerprint, Fingerprint, Identity};
use super::record::{Audience, CrashId, CrashRecord, Record, Status};
use super::{Crash, SentRequest};
use crate::units::Timestamp;
use cherrystream_schema::messages::Suspect;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

/// Number of crashes without a response in between from which a request runs in isolation. A single
/// crash affects every request in flight, and the retry of a harmless one succeeds.
const ISOLATE_FROM_CRASHES: usize = 2;
/// Number of crashes, at least one of them in isolation, from which a request is quarantined. No
/// other suspect request was in flight at the crash in isolation.
const QUARANTINE_FROM_CRASHES: usize = 3;
/// Time from the last crash to the first trial of a quarantined request. A trial may crash a
/// backend server again. A service is repaired within minutes, and each trial may cost a backend
/// server some seconds.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Longest time between two trials. Limits the crashes caused by a service that is never repaired.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(3_600);
/// Time after which a suspect or cleared request expires.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);
/// Time after its last crash after which a quarantined request expires.
const QUARANTINE_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of requests in the table; bounds its memory.
pub const MAX_ENTRIES: usize = 1_024;
/// Largest number of crashes kept for a request. More would not change its status.
const MAX_CRASHES: usize = 32;

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// No restriction.
    Clear,
    /// Not hedged: no second attempt runs beside the first.
    Watched,
    /// Runs in isolation at the backend server selected for it, without a retry.
    Isolated,
    /// Quarantined: refused for the given time, then let through once as a trial.
    Quarantined(Duration),
}

/// Microseconds since the start of the process. Negative for crashes that other daemons recorded
/// before it started.
type Micros = i64;

#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    at: Micros,
    id: CrashId,
    isolated: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    caller: CallerFingerprint,
    generation: u32,
    wide: bool,
    changed: Micros,
    /// Sorted by identifier.
    crashes: Vec<CrashEntry>,
}

/// The suspect requests that a daemon has recorded.
#[derive(Default)]
pub struct Suspects {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspects {
    /// Returns how a request is treated.
    pub fn treatment(&self, now: Timestamp, request: Fingerprint) -> Treatment {
        let Some(entry) = self.entries.get(&request) else { return Treatment::Clear };
        if entry.is_expired(micros(now)) {
            return Treatment::Clear;
        }
        match entry.status() {
            Status::Clear => Treatment::Clear,
            Status::Watched => Treatment::Watched,
            Status::Isolated => Treatment::Isolated,
            Status::Quarantined => match entry.until_trial(micros(now)) {
                Duration::ZERO => Treatment::Isolated,
                left => Treatment::Quarantined(left),
            },
        }
    }

    /// Records a crash confirmed by this daemon; returns the records to send to other daemons.
    pub fn on_crash(&mut self, now: Timestamp, crash: &Crash) -> Vec<(Audience, Record)> {
        let now = micros(now);
        let suspects =
            crash.in_flight.iter().filter_map(|sent| self.add_crash(now, crash.id, sent));
        suspects.collect()
    }

    fn add_crash(
        &mut self,
        now: Micros,
        id: CrashId,
        sent: &SentRequest,
    ) -> Option<(Audience, Record)> {
        let Identity { request, caller } = sent.identity;
        self.evict(now, request, caller);
        let entry = self.entries.entry(request).or_insert_with(|| Entry::new(caller, now));
        if !entry.add(CrashEntry { at: now, id, isolated: sent.isolated }) {
            return None;
        }
        entry.changed = now;
        Some(entry.announcement(now, request))
    }

    /// Clears a request that was in flight here and got a complete response, so it crashed no
    /// backend server. Returns the record to send to other daemons.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        request: Fingerprint,
    ) -> Option<(Audience, Record)> {
        let now = micros(now);
        let entry = self.entries.get_mut(&request).filter(|entry| !entry.crashes.is_empty())?;
        entry.clear(now);
        Some(entry.announcement(now, request))
    }

    /// Clears a request on behalf of an operator; returns the record to send to other daemons.
    pub fn clear(&mut self, now: Timestamp, request: Fingerprint) -> Option<(Audience, Record)> {
        self.on_answer(now, request)
    }

    /// Merges a record of another daemon; returns whether it changed anything.
    pub fn on_record(&mut self, now: Timestamp, record: &Record) -> bool {
        let now = micros(now);
        let other = Entry::from_record(now, record);
        if other.is_expired(now) {
            return false;
        }
        if !self.entries.contains_key(&record.request) {
            self.evict(now, record.request, record.caller);
            self.entries.insert(record.request, other);
            return true;
        }
        let known = self.entries.get_mut(&record.request);
        known.is_some_and(|known| known.merge(other))
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Timestamp) {
        let now = micros(now);
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// Returns a digest of all records that are sent to all daemons. Ages are left out, since they
    /// depend on the path of a message.
    pub fn digest(&self) -> u64 {
        let wide = self.entries.iter().filter(|(_, entry)| entry.wide);
        wide.fold(0, |sum, (request, entry)| sum ^ entry.digest(*request))
    }

    /// Returns whether there are records that are sent to all daemons.
    pub fn has_wide_records(&self) -> bool {
        self.entries.values().any(|entry| entry.wide)
    }

    /// Returns all records that are sent to all daemons.
    pub fn wide_records(&self, now: Timestamp) -> Vec<Record> {
        let wide = self.entries.iter().filter(|(_, entry)| entry.wide);
        wide.map(|(request, entry)| entry.record(micros(now), *request)).collect()
    }

    /// Returns the requests with recorded crashes for operators, the worst status first.
    pub fn list(&self, now: Timestamp) -> Vec<Suspect> {
        let known = self.entries.iter().filter(|(_, entry)| !entry.crashes.is_empty());
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|(request, entry)| (std::cmp::Reverse(entry.status()), **request));
        known.iter().map(|(request, entry)| entry.to_suspect(micros(now), **request)).collect()
    }

    /// Returns the number of requests with a status.
    pub fn count(&self, status: Status) -> usize {
        self.entries.values().filter(|entry| entry.status() == status).count()
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Evicts the least important entry of the caller with the most entries, if the table is full.
    /// A caller that sends many suspect requests evicts only its own.
    fn evict(&mut self, now: Micros, request: Fingerprint, caller: CallerFingerprint) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&request) {
            return;
        }
        self.entries.retain(|_, entry| !entry.is_expired(now));
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let mut counts: HashMap<CallerFingerprint, usize> = HashMap::from([(caller, 1)]);
        for entry in self.entries.values() {
            *counts.entry(entry.caller).or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(caller, counts)| (*counts, *caller));
        let Some((caller, _)) = most else { return };
        let of_caller = self.entries.iter().filter(|(_, entry)| entry.caller == caller);
        let weakest = of_caller.min_by_key(|(request, entry)| (entry.rank(), **request));
        if let Some(request) = weakest.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }
}

impl Entry {
    fn new(caller: CallerFingerprint, now: Micros) -> Entry {
        Entry { caller, generation: 0, wide: false, changed: now, crashes: Vec::new() }
    }

    /// Converts a record of another daemon.
    fn from_record(now: Micros, record: &Record) -> Entry {
        let mut entry = Entry {
            caller: record.caller,
            generation: record.generation,
            wide: record.wide,
            changed: at_age(now, record.age_ms),
            crashes: Vec::new(),
        };
        for crash in &record.ends {
            entry.add(CrashEntry {
                at: at_age(now, crash.age_ms),
                id: crash.id,
                isolated: crash.alone,
            });
        }
        entry
    }

    fn status(&self) -> Status {
        let isolated = self.crashes.iter().any(|crash| crash.isolated);
        match self.crashes.len() {
            0 => Status::Clear,
            1 => Status::Watched,
            ends if ends >= QUARANTINE_FROM_CRASHES && isolated => Status::Quarantined,
            ends if ends >= ISOLATE_FROM_CRASHES => Status::Isolated,
            _ => Status::Watched,
        }
    }

    fn last_crash(&self) -> Micros {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or(self.changed)
    }

    /// Returns the time until the next trial. Each crash in isolation after the first was a failed
    /// trial.
    fn until_trial(&self, now: Micros) -> Duration {
        let failed = self.crashes.iter().filter(|crash| crash.isolated).count().saturating_sub(1);
        let factor = 1_u32.checked_shl(failed as u32).unwrap_or(u32::MAX);
        let wait = FIRST_TRIAL_AFTER.saturating_mul(factor).min(MAX_TRIAL_INTERVAL);
        wait.saturating_sub(elapsed(self.last_crash(), now))
    }

    fn is_expired(&self, now: Micros) -> bool {
        let lasts = match self.status() {
            Status::Quarantined => QUARANTINE_TTL,
            _ => SUSPECT_TTL,
        };
        elapsed(self.last_crash().max(self.changed), now) >= lasts
    }

    /// Adds a crash; returns whether it is new. A known crash keeps the time at which it was first
    /// recorded, which would otherwise shift with the delay of each message.
    fn add(&mut self, crash: CrashEntry) -> bool {
        let Err(index) = self.crashes.binary_search_by_key(&crash.id, |known| known.id) else {
            return false;
        };
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().map(|known| known.at).min();
            if oldest.is_some_and(|oldest| crash.at <= oldest) {
                return false;
            }
            let position = self.crashes.iter().position(|known| Some(known.at) == oldest);
            position.map(|index| self.crashes.remove(index));
            return self.add(crash);
        }
        self.crashes.insert(index, crash);
        self.wide |= self.crashes.len() >= ISOLATE_FROM_CRASHES;
        true
    }

    fn clear(&mut self, now: Micros) {
        self.generation = self.generation.saturating_add(1);
        self.crashes.clear();
        self.changed = now;
    }

    /// Merges an entry of another daemon; returns whether it changed anything.
    fn merge(&mut self, other: Entry) -> bool {
        // An outdated record also shows that it was sent to all daemons, so the newer one has to be.
        let mut is_new = other.wide && !self.wide;
        self.wide |= other.wide;
        if other.generation < self.generation {
            return is_new;
        }
        if other.generation > self.generation {
            let wide = self.wide;
            *self = Entry { wide, ..other };
            return true;
        }
        for crash in other.crashes {
            is_new |= self.add(crash);
        }
        if is_new {
            self.changed = self.changed.max(other.changed);
        }
        is_new
    }

    fn announcement(&self, now: Micros, request: Fingerprint) -> (Audience, Record) {
        let audience = if self.wide { Audience::All } else { Audience::Service };
        (audience, self.record(now, request))
    }

    fn record(&self, now: Micros, request: Fingerprint) -> Record {
        let ends = self.crashes.iter().map(|crash| CrashRecord {
            id: crash.id,
            age_ms: millis(elapsed(crash.at, now)),
            alone: crash.isolated,
        });
        Record {
            request,
            caller: self.caller,
            generation: self.generation,
            wide: self.wide,
            age_ms: millis(elapsed(self.changed, now)),
            ends: ends.collect(),
        }
    }

    fn digest(&self, request: Fingerprint) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(&request.0.to_le_bytes());
        hasher.write(&self.generation.to_le_bytes());
        for crash in &self.crashes {
            hasher.write(&crash.id.0.to_le_bytes());
        }
        hasher.finish()
    }

    fn to_suspect(&self, now: Micros, request: Fingerprint) -> Suspect {
        let status = self.status();
        let trial = || self.until_trial(now).as_secs();
        Suspect {
            mark: request.to_string(),
            caller: format!("{:016x}", self.caller.0),
            standing: status.as_str().into(),
            ends: self.crashes.len() as u64,
            ends_alone: self.crashes.iter().filter(|crash| crash.isolated).count() as u64,
            last_end_s: elapsed(self.last_crash(), now).as_secs(),
            next_trial_s: (status == Status::Quarantined).then(trial),
        }
    }

    /// Returns the importance of the entry; the entry with the lowest is evicted first.
    fn rank(&self) -> (Status, usize, Micros) {
        (self.status(), self.crashes.len(), self.changed)
    }
}

fn micros(now: Timestamp) -> Micros {
    Micros::try_from(now.0).unwrap_or(Micros::MAX)
}

fn at_age(now: Micros, age_ms: u64) -> Micros {
    let age = Micros::try_from(age_ms.saturating_mul(1_000)).unwrap_or(Micros::MAX);
    now.saturating_sub(age)
}

fn elapsed(earlier: Micros, now: Micros) -> Duration {
    Duration::from_micros(u64::try_from(now.saturating_sub(earlier)).unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
