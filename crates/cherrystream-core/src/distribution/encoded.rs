//! Encoding of updates.

use crate::units::Revision;
use cherrystream_schema::messages::{StateId, Update};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use snafu::{ResultExt, Snafu, ensure};
use std::io::{self, Read, Write};
use std::sync::Arc;

/// Largest size in bytes of the text of an update, and so of the decompressed data. 50 times the
/// state of the size to design for with 14,000 routes.
pub const MAX_UPDATE_BYTES: u64 = 256 << 20;

/// Error of decoding an update.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The bytes are not the offered ones.
    #[snafu(display("the bytes do not match their checksum"))]
    Checksum,
    /// The bytes cannot be decompressed.
    #[snafu(display("the bytes cannot be decompressed: {source}"))]
    Packing {
        /// Error of the decompression.
        source: io::Error,
    },
    /// The text is not an update.
    #[snafu(display("the text is not an update: {source}"))]
    Text {
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The update has another revision than offered.
    #[snafu(display("the update is not the offered one"))]
    Other,
}

/// Compressed update with its identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedUpdate {
    id: StateId,
    bytes: Arc<[u8]>,
}

impl EncodedUpdate {
    /// Encodes an update that applies to revision `from`. One with the whole state applies to any.
    ///
    /// # Panics
    ///
    /// Never: an update serializes without errors, and writing to memory does not fail.
    pub fn new(from: Revision, update: &Update) -> EncodedUpdate {
        // Serializing to memory first is faster than writing to the encoder directly.
        let text = serde_json::to_vec(update).expect("an update serializes to JSON");
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&text).expect("writing to memory does not fail");
        let bytes = encoder.finish().expect("writing to memory does not fail");
        let from = if update.full.is_some() { Revision::default() } else { from };
        let checksum = crc32fast::hash(&bytes);
        let id = StateId { from, to: update.revision, bytes: bytes.len() as u64, checksum };
        EncodedUpdate { id, bytes: bytes.into() }
    }

    /// Creates an encoded update from received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not match the size and checksum of the identifier.
    pub fn from_bytes(id: StateId, bytes: Vec<u8>) -> Result<EncodedUpdate, DecodeError> {
        let same = bytes.len() as u64 == id.bytes && crc32fast::hash(&bytes) == id.checksum;
        ensure!(same, ChecksumSnafu);
        Ok(EncodedUpdate { id, bytes: bytes.into() })
    }

    /// Decodes the update.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an update, or one that does not match the identifier.
    pub fn decode(&self) -> Result<Update, DecodeError> {
        let mut text = Vec::new();
        let mut decoder = ZlibDecoder::new(&*self.bytes).take(MAX_UPDATE_BYTES);
        decoder.read_to_end(&mut text).context(PackingSnafu)?;
        let update: Update = serde_json::from_slice(&text).context(TextSnafu)?;
        let whole = self.id.from == Revision::default();
        ensure!(update.revision == self.id.to && update.full.is_some() == whole, OtherSnafu);
        Ok(update)
    }

    /// Returns the identifier of the update.
    pub fn id(&self) -> StateId {
        self.id
    }

    /// Returns up to `max_len` bytes at `offset`, or `None` at or beyond the end.
    pub fn chunk(&self, offset: u64, max_len: usize) -> Option<&[u8]> {
        let rest = self.bytes.get(usize::try_from(offset).ok()?..)?;
        let chunk = &rest[..rest.len().min(max_len)];
        (!chunk.is_empty()).then_some(chunk)
    }
}
