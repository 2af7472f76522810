//! Logs and counts the decisions of a leader on join requests.

use crate::metrics::{JoinLabel, Metrics};
use cherrystream_core::raft::{JoinDecision, SlotView};
use cherrystream_schema::messages::JoinRequest;
use std::collections::BTreeMap;

/// Largest number of disks whose last decision is kept.
const MAX_DISKS: usize = 64;
/// Logged in place of a value that is not known.
const NONE: &str = "none";

/// Logs each decision that differs from the previous one on the same disk. Replicas repeat their
/// requests several times a second.
#[derive(Debug, Default)]
pub struct JoinLog {
    last_by_disk: BTreeMap<String, JoinDecision>,
}

impl JoinLog {
    /// Records a decision, together with the member slots that it was based on.
    pub fn record(
        &mut self,
        metrics: &Metrics,
        req: &JoinRequest,
        decision: JoinDecision,
        slots: &[SlotView],
    ) {
        metrics.joins.get_or_create(&JoinLabel { decision: name(decision) }).inc();
        if self.last_by_disk.get(&req.disk) == Some(&decision) {
            return;
        }
        if self.last_by_disk.len() >= MAX_DISKS {
            self.last_by_disk.clear();
        }
        self.last_by_disk.insert(req.disk.clone(), decision);
        log::info!(
            "control: join={} address={} disk={} runs_as={} stands_by={} slots=[{}]",
            name(decision),
            req.address,
            req.disk,
            req.runs_as.map_or_else(|| NONE.into(), |id| id.to_string()),
            req.stands_by,
            slots.iter().map(describe).collect::<Vec<_>>().join("; ")
        );
    }
}

fn name(decision: JoinDecision) -> &'static str {
    match decision {
        JoinDecision::Granted(_) => "granted",
        JoinDecision::Deferred => "deferred",
        JoinDecision::SlotLost => "slot-lost",
    }
}

fn describe(slot: &SlotView) -> String {
    let voting = if slot.voting_disk.is_empty() { NONE } else { &slot.voting_disk };
    let learner = slot.learner_disk.as_deref().unwrap_or(NONE);
    let learner_silence = slot.learner_silence.map(|age| format!(" silent={age:?}"));
    format!(
        "{}: voting={voting} acked={} silent={:?} learner={learner}{}",
        slot.id,
        slot.last_acked_disk.as_deref().unwrap_or(NONE),
        slot.silence,
        learner_silence.unwrap_or_default()
    )
}
