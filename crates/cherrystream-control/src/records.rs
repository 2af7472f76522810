//! Records of the log file. A header with the length and two checksums precedes each record.

use crate::errors::{self, Result};
use cherrystream_schema::messages::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

/// Size of a header: the length of the record, the checksum of the length and the checksum of the
/// record.
const HEADER_BYTES: usize = 12;

/// A record of the file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Record {
    /// Disk and replica that the file belongs to; always the first record.
    Disk { disk: String, replica: u64 },
    /// State at an index; occurs only as the second record.
    Snapshot(Snapshot),
    /// Hard state; the last one is current.
    Hard(HardState),
    /// An entry; it replaces the entries at its index and after it.
    Entry(Box<Entry>),
}

/// Appends a record and its header to a buffer.
pub(crate) fn encode(record: &Record, buf: &mut Vec<u8>) {
    let start = buf.len();
    buf.extend_from_slice(&[0; HEADER_BYTES]);
    // All maps in records have string keys, as JSON requires.
    serde_json::to_writer(&mut *buf, record).expect("a record can be encoded as JSON");
    let payload = &buf[start + HEADER_BYTES..];
    let len = (payload.len() as u32).to_le_bytes();
    let checksums = (crc32fast::hash(&len), crc32fast::hash(payload));
    buf[start..start + 4].copy_from_slice(&len);
    buf[start + 4..start + 8].copy_from_slice(&checksums.0.to_le_bytes());
    buf[start + 8..start + 12].copy_from_slice(&checksums.1.to_le_bytes());
}

/// Reads records from the content of a log file.
pub(crate) struct Reader<'a> {
    pub(crate) name: &'a str,
    pub(crate) content: &'a [u8],
    pub(crate) offset: usize,
}

impl Reader<'_> {
    /// Returns the next record, or `None` at the end or at an incomplete last write.
    pub(crate) fn next_record(&mut self) -> Result<Option<Record>> {
        let rest = &self.content[self.offset..];
        // Blocks that were allocated but never written read as zeros.
        if rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0) {
            return Ok(None);
        }
        let u32_at =
            |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
        if crc32fast::hash(&rest[..4]) != u32_at(4) {
            return self.fail("the checksum of a record's length does not match");
        }
        let end = HEADER_BYTES + u32_at(0) as usize;
        let Some(payload) = rest.get(HEADER_BYTES..end) else { return Ok(None) };
        if crc32fast::hash(payload) != u32_at(8) {
            return self.fail("the checksum of a record does not match");
        }
        match serde_json::from_slice(payload) {
            Ok(record) => {
                self.offset += end;
                Ok(Some(record))
            }
            Err(e) => self.fail(&format!(
                "a record cannot be decoded, perhaps written by another version: {e}"
            )),
        }
    }

    fn fail<T>(&self, reason: &str) -> Result<T> {
        errors::unreadable(self.name, self.offset as u64, reason)
    }
}
