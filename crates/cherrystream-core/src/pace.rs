//! The pace of a backend server: how slow its work is at this moment, by its own word.

use crate::units::Timestamp;
use std::time::Duration;

/// Slowness of a backend server that works as usual, in hundredths of the usual time.
pub const USUAL: u32 = 100;
/// Above this slowness a backend server counts as slow for work whose usual time is not known.
const SLOW_ABOVE: u32 = 2 * USUAL;
/// Time for which its word is believed.
const BELIEVED: Duration = Duration::from_millis(250);
/// Age of a word at which it is asked again, where work was turned down on it.
const ASKED_AGAIN_AFTER: Duration = Duration::from_millis(60);

/// What is known of the pace.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    slowness: u32,
    heard: Option<Timestamp>,
    /// Whether work was turned down on the last word.
    cost_work: bool,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { slowness: USUAL, heard: None, cost_work: false }
    }
}

impl Pace {
    /// Takes the backend server's word.
    pub fn on_word(&mut self, now: Timestamp, slowness: u32) {
        self.slowness = slowness;
        self.heard = Some(now);
        self.cost_work = false;
    }

    /// Notes that work was turned down because of the last word.
    pub fn on_turned_down(&mut self) {
        self.cost_work = true;
    }

    /// Returns the slowness as far as it is known; the usual one otherwise.
    pub fn slowness(&self, now: Timestamp) -> u32 {
        let fresh = self.heard.is_some_and(|at| now.since(at) < BELIEVED);
        if fresh { self.slowness } else { USUAL }
    }

    /// Returns whether work is too slow there, by a word that is fresh enough: work that usually takes
    /// `usual` would take more than `within`. Where one of these is not known, that is guessed from the
    /// slowness alone.
    pub fn is_too_slow(
        &self,
        now: Timestamp,
        usual: Option<Duration>,
        within: Option<Duration>,
    ) -> bool {
        let slowness = self.slowness(now);
        match (usual, within) {
            _ if slowness <= USUAL => false,
            (Some(usual), Some(within)) => usual * slowness / USUAL > within,
            _ => slowness > SLOW_ABOVE,
        }
    }

    /// Returns whether it should be asked whether it is still slow.
    pub fn wants_word(&self, now: Timestamp) -> bool {
        self.cost_work && self.heard.is_some_and(|at| now.since(at) >= ASKED_AGAIN_AFTER)
    }
}
