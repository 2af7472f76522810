//! Joins the ends that all doors tell of, and decides what follows for a request.

use super::identity::{CallerMark, Fingerprint, Identity};
use super::record::{EndId, Reach, Record, SeenEnd, Standing};
use super::{Ended, Sent};
use crate::units::Timestamp;
use cherrystream_schema::messages::Suspect;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

/// Ends without a success between from which a request runs alone: one is what a crash or a mass kill gives to thousands of
/// innocents, and the retry that saves these is the second shot of a guilty one.
const ALONE_FROM: usize = 2;
/// Ends from which a request is held back, one of them while it ran alone: nothing else known for ends was there then.
const HELD_FROM: usize = 3;
/// Time from the last end to the first trial of a request that is held back: a service is mended in minutes, and each trial may cost
/// a backend server some seconds.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Longest time between trials: a service that is never mended loses some 30 servers for some seconds a day.
const TRIAL_AFTER_AT_MOST: Duration = Duration::from_secs(3_600);
/// Time after which a suspect, or one that was cleared, is forgotten.
const SUSPECT_FOR: Duration = Duration::from_secs(3_600);
/// Time after its last end after which a request that is held back is forgotten.
const HELD_FOR: Duration = Duration::from_secs(24 * 3_600);
/// Requests known at most: some 100 KB.
pub const ENTRIES_AT_MOST: usize = 1_024;
/// Ends of a request kept at most: more would change nothing.
const ENDS_AT_MOST: usize = 32;

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is treated as any other.
    Clear,
    /// As any other, but no second attempt runs beside the first.
    Watched,
    /// It runs alone, at the one backend server for it, without a retry.
    Alone,
    /// It is refused; the time is that until it is let through once.
    HeldBack(Duration),
}

/// A point in time that may lie before the start of the process, in microseconds since then: others tell of what happened before.
type Moment = i64;

#[derive(Clone, Copy, Debug)]
struct End {
    at: Moment,
    id: EndId,
    alone: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    caller: CallerMark,
    generation: u32,
    wide: bool,
    changed: Moment,
    /// In the order of their identifiers.
    ends: Vec<End>,
}

/// What a daemon knows of requests that end backend servers.
#[derive(Default)]
pub struct Suspects {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspects {
    /// Returns what is done with a request.
    pub fn judge(&self, now: Timestamp, request: Fingerprint) -> Verdict {
        let Some(entry) = self.entries.get(&request) else { return Verdict::Clear };
        if entry.is_over(moment(now)) {
            return Verdict::Clear;
        }
        match entry.standing() {
            Standing::Clear => Verdict::Clear,
            Standing::Watched => Verdict::Watched,
            Standing::Alone => Verdict::Alone,
            Standing::HeldBack => match entry.until_trial(moment(now)) {
                Duration::ZERO => Verdict::Alone,
                left => Verdict::HeldBack(left),
            },
        }
    }

    /// Takes an end that was proved here; returns what others are to be told.
    pub fn on_end(&mut self, now: Timestamp, ended: &Ended) -> Vec<(Reach, Record)> {
        let now = moment(now);
        let suspects = ended.at_work.iter().filter_map(|sent| self.add_end(now, ended.id, sent));
        suspects.collect()
    }

    fn add_end(&mut self, now: Moment, id: EndId, sent: &Sent) -> Option<(Reach, Record)> {
        let Identity { request, caller } = sent.identity;
        self.make_room(now, request, caller);
        let entry = self.entries.entry(request).or_insert_with(|| Entry::new(caller, now));
        if !entry.add(End { at: now, id, alone: sent.alone }) {
            return None;
        }
        entry.changed = now;
        Some(entry.news(now, request))
    }

    /// Takes the whole answer of a request that was at work here: it ends no backend server. Returns what others are to be told.
    pub fn on_answer(&mut self, now: Timestamp, request: Fingerprint) -> Option<(Reach, Record)> {
        let now = moment(now);
        let entry = self.entries.get_mut(&request).filter(|entry| !entry.ends.is_empty())?;
        entry.clear(now);
        Some(entry.news(now, request))
    }

    /// Clears a request, as an operator wants it; returns what others are to be told.
    pub fn lift(&mut self, now: Timestamp, request: Fingerprint) -> Option<(Reach, Record)> {
        self.on_answer(now, request)
    }

    /// Takes what another daemon tells; returns whether it is news.
    pub fn on_word(&mut self, now: Timestamp, word: &Record) -> bool {
        let now = moment(now);
        let told = Entry::told(now, word);
        if told.is_over(now) {
            return false;
        }
        if !self.entries.contains_key(&word.request) {
            self.make_room(now, word.request, word.caller);
            self.entries.insert(word.request, told);
            return true;
        }
        let known = self.entries.get_mut(&word.request);
        known.is_some_and(|known| known.join(told))
    }

    /// Forgets what is over.
    pub fn tick(&mut self, now: Timestamp) {
        let now = moment(now);
        self.entries.retain(|_, entry| !entry.is_over(now));
    }

    /// Returns a number that stands for all that all daemons are told of. Ages do not count: they differ by the way of a message.
    pub fn digest(&self) -> u64 {
        let wide = self.entries.iter().filter(|(_, entry)| entry.wide);
        wide.fold(0, |sum, (request, entry)| sum ^ entry.digest(*request))
    }

    /// Returns whether there is anything that all daemons are told of.
    pub fn has_wide(&self) -> bool {
        self.entries.values().any(|entry| entry.wide)
    }

    /// Returns all that all daemons are told of.
    pub fn wide(&self, now: Timestamp) -> Vec<Record> {
        let wide = self.entries.iter().filter(|(_, entry)| entry.wide);
        wide.map(|(request, entry)| entry.record(moment(now), *request)).collect()
    }

    /// Returns the requests whose standing is worse than clear, as operators see them, the worst first.
    pub fn list(&self, now: Timestamp) -> Vec<Suspect> {
        let known = self.entries.iter().filter(|(_, entry)| !entry.ends.is_empty());
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|(request, entry)| (std::cmp::Reverse(entry.standing()), **request));
        known.iter().map(|(request, entry)| entry.listed(moment(now), **request)).collect()
    }

    /// Returns how many requests have a standing.
    pub fn count(&self, standing: Standing) -> usize {
        self.entries.values().filter(|entry| entry.standing() == standing).count()
    }

    /// Returns how many requests are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Lets go of the weakest entry of the caller that has the most, if the table is full: whoever invents suspects displaces
    /// his own.
    fn make_room(&mut self, now: Moment, request: Fingerprint, caller: CallerMark) {
        if self.entries.len() < ENTRIES_AT_MOST || self.entries.contains_key(&request) {
            return;
        }
        self.entries.retain(|_, entry| !entry.is_over(now));
        if self.entries.len() < ENTRIES_AT_MOST {
            return;
        }
        let mut held: HashMap<CallerMark, usize> = HashMap::from([(caller, 1)]);
        for entry in self.entries.values() {
            *held.entry(entry.caller).or_default() += 1;
        }
        let most = held.into_iter().max_by_key(|(caller, held)| (*held, *caller));
        let Some((caller, _)) = most else { return };
        let of_caller = self.entries.iter().filter(|(_, entry)| entry.caller == caller);
        let weakest = of_caller.min_by_key(|(request, entry)| (entry.rank(), **request));
        if let Some(request) = weakest.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }
}

impl Entry {
    fn new(caller: CallerMark, now: Moment) -> Entry {
        Entry { caller, generation: 0, wide: false, changed: now, ends: Vec::new() }
    }

    /// Reads what another daemon tells.
    fn told(now: Moment, word: &Record) -> Entry {
        let mut entry = Entry {
            caller: word.caller,
            generation: word.generation,
            wide: word.wide,
            changed: before(now, word.age_ms),
            ends: Vec::new(),
        };
        for end in &word.ends {
            entry.add(End { at: before(now, end.age_ms), id: end.id, alone: end.alone });
        }
        entry
    }

    fn standing(&self) -> Standing {
        let alone = self.ends.iter().any(|end| end.alone);
        match self.ends.len() {
            0 => Standing::Clear,
            1 => Standing::Watched,
            ends if ends >= HELD_FROM && alone => Standing::HeldBack,
            ends if ends >= ALONE_FROM => Standing::Alone,
            _ => Standing::Watched,
        }
    }

    fn last_end(&self) -> Moment {
        self.ends.iter().map(|end| end.at).max().unwrap_or(self.changed)
    }

    /// Returns the time until it is let through once. Each end while it ran alone, but for the one that convicted it, was a trial
    /// that failed.
    fn until_trial(&self, now: Moment) -> Duration {
        let failed = self.ends.iter().filter(|end| end.alone).count().saturating_sub(1);
        let factor = 1_u32.checked_shl(failed as u32).unwrap_or(u32::MAX);
        let wait = FIRST_TRIAL_AFTER.saturating_mul(factor).min(TRIAL_AFTER_AT_MOST);
        wait.saturating_sub(between(self.last_end(), now))
    }

    fn is_over(&self, now: Moment) -> bool {
        let lasts = match self.standing() {
            Standing::HeldBack => HELD_FOR,
            _ => SUSPECT_FOR,
        };
        between(self.last_end().max(self.changed), now) >= lasts
    }

    /// Adds an end; returns whether it is news. Its time stays that at which it was first heard of: it would creep on with each
    /// message.
    fn add(&mut self, end: End) -> bool {
        let Err(place) = self.ends.binary_search_by_key(&end.id, |known| known.id) else {
            return false;
        };
        if self.ends.len() >= ENDS_AT_MOST {
            let oldest = self.ends.iter().map(|known| known.at).min();
            if oldest.is_some_and(|oldest| end.at <= oldest) {
                return false;
            }
            let at = self.ends.iter().position(|known| Some(known.at) == oldest);
            at.map(|at| self.ends.remove(at));
            return self.add(end);
        }
        self.ends.insert(place, end);
        self.wide |= self.ends.len() >= ALONE_FROM;
        true
    }

    fn clear(&mut self, now: Moment) {
        self.generation = self.generation.saturating_add(1);
        self.ends.clear();
        self.changed = now;
    }

    /// Takes what another daemon knows; returns whether it is news.
    fn join(&mut self, told: Entry) -> bool {
        // Also a late word shows that all were told of the request: they have to hear what became of it.
        let mut news = told.wide && !self.wide;
        self.wide |= told.wide;
        if told.generation < self.generation {
            return news;
        }
        if told.generation > self.generation {
            let wide = self.wide;
            *self = Entry { wide, ..told };
            return true;
        }
        for end in told.ends {
            news |= self.add(end);
        }
        if news {
            self.changed = self.changed.max(told.changed);
        }
        news
    }

    fn news(&self, now: Moment, request: Fingerprint) -> (Reach, Record) {
        let reach = if self.wide { Reach::All } else { Reach::Service };
        (reach, self.record(now, request))
    }

    fn record(&self, now: Moment, request: Fingerprint) -> Record {
        let ends = self.ends.iter().map(|end| SeenEnd {
            id: end.id,
            age_ms: millis(between(end.at, now)),
            alone: end.alone,
        });
        Record {
            request,
            caller: self.caller,
            generation: self.generation,
            wide: self.wide,
            age_ms: millis(between(self.changed, now)),
            ends: ends.collect(),
        }
    }

    fn digest(&self, request: Fingerprint) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(&request.0.to_le_bytes());
        hasher.write(&self.generation.to_le_bytes());
        for end in &self.ends {
            hasher.write(&end.id.0.to_le_bytes());
        }
        hasher.finish()
    }

    fn listed(&self, now: Moment, request: Fingerprint) -> Suspect {
        let standing = self.standing();
        let trial = || self.until_trial(now).as_secs();
        Suspect {
            mark: request.to_string(),
            caller: format!("{:016x}", self.caller.0),
            standing: standing.as_str().into(),
            ends: self.ends.len() as u64,
            ends_alone: self.ends.iter().filter(|end| end.alone).count() as u64,
            last_end_s: between(self.last_end(), now).as_secs(),
            next_trial_s: (standing == Standing::HeldBack).then(trial),
        }
    }

    /// Orders entries by how much is lost with them.
    fn rank(&self) -> (Standing, usize, Moment) {
        (self.standing(), self.ends.len(), self.changed)
    }
}

fn moment(now: Timestamp) -> Moment {
    Moment::try_from(now.0).unwrap_or(Moment::MAX)
}

fn before(now: Moment, age_ms: u64) -> Moment {
    let age = Moment::try_from(age_ms.saturating_mul(1_000)).unwrap_or(Moment::MAX);
    now.saturating_sub(age)
}

fn between(earlier: Moment, now: Moment) -> Duration {
    Duration::from_micros(u64::try_from(now.saturating_sub(earlier)).unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
