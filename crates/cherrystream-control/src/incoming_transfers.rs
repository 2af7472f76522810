//! Receives long messages of other replicas, which are transferred in pieces.

use crate::handle::Event;
use cherrystream_core::transfer::{self, DecodeError, PieceError, PieceOutcome, Receiving};
use cherrystream_core::units::Timestamp;
use cherrystream_net::rpc::MESSAGE_BYTES;
use cherrystream_schema::messages::{Piece, RaftMessage};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::sync::mpsc;
use tokio::task::{self, JoinError};

/// Reason to reject a long message.
#[derive(Debug, Snafu)]
pub enum TransferError {
    /// A piece is invalid.
    #[snafu(display("{source}"))]
    Piece {
        /// Reason.
        source: PieceError,
    },
    /// The content is not a message.
    #[snafu(display("{source}"))]
    Message {
        /// Reason.
        source: DecodeError,
    },
    /// The task that decodes the message was cancelled or panicked.
    #[snafu(display("decoding the message was interrupted: {source}"))]
    Reading {
        /// Reason.
        source: JoinError,
    },
    /// The message names another sender than its pieces.
    #[snafu(display("the message names another sender than its pieces"))]
    Sender,
    /// The driver of the log has stopped.
    #[snafu(display("this replica has stopped"))]
    Stopped,
}

/// Long messages that are being received.
#[derive(Clone, Debug)]
pub struct IncomingTransfers {
    receiving: Arc<Mutex<Receiving>>,
    /// Receives complete messages.
    events: mpsc::Sender<Event>,
}

impl IncomingTransfers {
    /// Creates a receiver that passes complete messages to the driver of the log.
    pub fn new(events: mpsc::Sender<Event>) -> IncomingTransfers {
        let receiving = Receiving::new(u64::from(MESSAGE_BYTES));
        IncomingTransfers { receiving: Arc::new(Mutex::new(receiving)), events }
    }

    /// Records a piece and returns the number of bytes received of its message. A complete message
    /// is passed on even if the call is cancelled, because the sender considers it delivered.
    ///
    /// # Errors
    ///
    /// Fails on an invalid piece or message, and discards the message.
    pub async fn receive(&self, now: Timestamp, piece: Piece) -> Result<u64, TransferError> {
        let outcome = self.receiving.lock().take(now, &piece).context(PieceSnafu)?;
        let content = match outcome {
            PieceOutcome::Held(held) => return Ok(held),
            PieceOutcome::Whole(content) => content,
        };
        let total = piece.total;
        let transfers = self.clone();
        // Decoding takes long. A blocking task that has started is not cancelled.
        let delivery = task::spawn_blocking(move || transfers.deliver(&content, &piece));
        delivery.await.context(ReadingSnafu)??;
        Ok(total)
    }

    /// Discards messages that make no progress.
    pub fn discard_stalled(&self, now: Timestamp) {
        self.receiving.lock().discard_stalled(now);
    }

    fn deliver(&self, content: &[u8], piece: &Piece) -> Result<(), TransferError> {
        let decoded = decode(content, piece);
        if let Err(e) = &decoded {
            log::warn!("control: rejected a long message of replica {}: {e}", piece.from);
            self.receiving.lock().discard(piece.from);
        }
        let sent = self.events.send(Event::Messages(vec![decoded?]));
        sent.map_err(|_| TransferError::Stopped)
    }
}

fn decode(content: &[u8], piece: &Piece) -> Result<RaftMessage, TransferError> {
    let mut msg = transfer::unpack(content, u64::from(MESSAGE_BYTES)).context(MessageSnafu)?;
    if msg.from != piece.from {
        return Err(TransferError::Sender);
    }
    // The message was packed at the start of the transfer, perhaps in an earlier term.
    msg.term = piece.term;
    Ok(msg)
}
