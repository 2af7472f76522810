//! Patches between texts that share most of their segments.

use cherrystream_schema::messages::{TextPatch, TextStep};
use std::collections::HashMap;
use std::collections::hash_map::Entry;

/// Last character of a segment. In JSON it ends an entry of the route table.
const SEGMENT_END: char = '}';

/// Returns the patch from one text to another.
pub fn between(old: &str, new: &str) -> TextPatch {
    let offsets = first_offsets(old);
    let mut steps = Steps::default();
    for segment in new.split_inclusive(SEGMENT_END) {
        let next = steps.copy_end.filter(|at| old[*at..].starts_with(segment));
        match next.or_else(|| offsets.get(segment).copied()) {
            Some(at) => steps.copy(at, segment.len()),
            None => steps.add(segment),
        }
    }
    TextPatch { steps: steps.all, checksum: crc32fast::hash(new.as_bytes()) }
}

/// Returns the offset of the first occurrence of each segment.
fn first_offsets(text: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut at = 0;
    for segment in text.split_inclusive(SEGMENT_END) {
        if let Entry::Vacant(entry) = offsets.entry(segment) {
            entry.insert(at);
        }
        at += segment.len();
    }
    offsets
}

#[derive(Default)]
struct Steps {
    all: Vec<TextStep>,
    /// End offset in the old text of the last step, if that is a copy.
    copy_end: Option<usize>,
}

impl Steps {
    fn copy(&mut self, at: usize, len: usize) {
        match self.all.last_mut() {
            Some(TextStep::Copy { bytes, .. }) if self.copy_end == Some(at) => *bytes += len as u64,
            _ => self.all.push(TextStep::Copy { offset: at as u64, bytes: len as u64 }),
        }
        self.copy_end = Some(at + len);
    }

    fn add(&mut self, segment: &str) {
        match self.all.last_mut() {
            Some(TextStep::Add { text }) => text.push_str(segment),
            _ => self.all.push(TextStep::Add { text: segment.into() }),
        }
        self.copy_end = None;
    }
}

/// Applies a patch. Returns `None` if it was made for another text.
pub fn apply(old: &str, patch: &TextPatch) -> Option<String> {
    let mut new = String::new();
    for step in &patch.steps {
        match step {
            TextStep::Add { text } => new.push_str(text),
            TextStep::Copy { offset, bytes } => {
                let start = usize::try_from(*offset).ok()?;
                let end = start.checked_add(usize::try_from(*bytes).ok()?)?;
                new.push_str(old.get(start..end)?);
            }
        }
    }
    (crc32fast::hash(new.as_bytes()) == patch.checksum).then_some(new)
}
