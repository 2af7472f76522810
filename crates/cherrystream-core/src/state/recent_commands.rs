//! Recent commands of operators, also those that changed nothing, to tell which of two commands on
//! the same items is older.
//!
//! A command may be applied long after it was received: its replica was suspended, its bytes were
//! held, or it was sent to the leader twice. Meanwhile its operator may have given it up, and a newer
//! command may have been acknowledged. Each command therefore has a base: the last command that its
//! replica had applied when it received it. It is discarded if a command on the same items was
//! applied after its base.

use crate::intent_scope;
use crate::plan;
use crate::units::Revision;
use cherrystream_schema::messages::Intent;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of retained commands: at 50 commands a second, a command may be under way for 20 s.
const MAX_COMMANDS: usize = 1_024;

/// Order of a command among those on the same items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandOrder {
    /// No other command was applied after its base.
    Newest,
    /// The same command came into force after its base, and no other one was applied after that.
    Repeated,
    /// Another command was applied after its base, or may have been.
    Superseded,
}

/// A command and whether it was refused, so that it is not in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecentCommand {
    at: Revision,
    intent: Intent,
    is_refused: bool,
}

/// Commands that were applied recently, in order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct RecentCommands {
    commands: VecDeque<RecentCommand>,
    /// Commands up to and including this revision are not retained.
    after: Revision,
}

impl RecentCommands {
    /// Records a command that is in force.
    pub(super) fn record(&mut self, at: Revision, intent: &Intent) {
        self.push(RecentCommand { at, intent: intent.clone(), is_refused: false });
    }

    /// Records that a command was refused.
    pub(super) fn record_refusal(&mut self, at: Revision, intent: &Intent) {
        self.push(RecentCommand { at, intent: intent.clone(), is_refused: true });
    }

    fn push(&mut self, command: RecentCommand) {
        self.commands.push_back(command);
        if self.commands.len() > MAX_COMMANDS
            && let Some(dropped) = self.commands.pop_front()
        {
            self.after = dropped.at;
        }
    }

    /// Returns the revision of the last command.
    pub(super) fn last(&self) -> Revision {
        self.commands.back().map_or(self.after, |command| command.at)
    }

    /// Returns the order of a command with a base.
    pub(super) fn order(&self, intent: &Intent, base: Revision) -> CommandOrder {
        if base < self.after {
            return CommandOrder::Superseded;
        }
        let newer = self.commands.iter().rev().take_while(|command| command.at > base);
        let mut overlapping = newer.filter(|other| intent_scope::overlap(intent, &other.intent));
        match overlapping.next() {
            None => CommandOrder::Newest,
            Some(other) if !other.is_refused && is_same(intent, &other.intent) => {
                CommandOrder::Repeated
            }
            Some(_) => CommandOrder::Superseded,
        }
    }
}

/// Returns whether two intents are the same, apart from the time at which a roll-out was started.
fn is_same(a: &Intent, b: &Intent) -> bool {
    plan::with_start_time(a, 0) == plan::with_start_time(b, 0)
}
