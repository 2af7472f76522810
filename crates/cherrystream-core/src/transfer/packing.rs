//! Serialization of messages for transfers.

use cherrystream_schema::messages::RaftMessage;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use snafu::{ResultExt, Snafu};
use std::io::{self, Read};

/// Error of reading a message from the bytes of a transfer.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The bytes cannot be decompressed.
    #[snafu(display("the bytes cannot be decompressed: {source}"))]
    Packing {
        /// Error of the decompression.
        source: io::Error,
    },
    /// The text is not a message.
    #[snafu(display("the text is not a message: {source}"))]
    Text {
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// Serializes and compresses a message.
///
/// # Panics
///
/// Never: a message serializes without errors, and writing to memory does not fail.
pub fn pack(msg: &RaftMessage) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, msg).expect("a message serializes to JSON");
    encoder.finish().expect("writing to memory does not fail")
}

/// Decompresses and parses a message of at most `max_bytes` of text.
///
/// # Errors
///
/// Fails if the bytes are not the output of [`pack`] or the text is longer.
pub fn unpack(content: &[u8], max_bytes: u64) -> Result<RaftMessage, DecodeError> {
    let mut text = Vec::new();
    let mut decoder = ZlibDecoder::new(content).take(max_bytes);
    decoder.read_to_end(&mut text).context(PackingSnafu)?;
    serde_json::from_slice(&text).context(TextSnafu)
}
