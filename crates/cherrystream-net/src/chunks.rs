//! Chunks of encoded updates in calls to control.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cherrystream_schema::messages::Chunk;

/// Maximum size of a chunk in bytes. Larger chunks save few round trips.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Returns the size of the chunk to send when `bytes` are requested.
pub fn wanted(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(MAX_CHUNK_BYTES).clamp(1, MAX_CHUNK_BYTES)
}

/// Encodes a chunk that begins at `offset`.
pub fn encode(offset: u64, data: &[u8]) -> Chunk {
    Chunk { offset, data: STANDARD_NO_PAD.encode(data) }
}

/// Decodes the bytes of a chunk. Returns `None` if they are malformed.
pub fn decode(chunk: &Chunk) -> Option<Vec<u8>> {
    STANDARD_NO_PAD.decode(&chunk.data).ok()
}
