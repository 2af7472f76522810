//! Long messages of other replicas, which arrive in pieces.

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

/// Why a long message is refused.
#[derive(Debug, Snafu)]
pub enum ArrivalFault {
    /// A piece of it makes no sense.
    #[snafu(display("{source}"))]
    Piece {
        /// What is wrong.
        source: PieceError,
    },
    /// It is no message.
    #[snafu(display("{source}"))]
    Message {
        /// What is wrong.
        source: DecodeError,
    },
    /// It was not read to the end.
    #[snafu(display("reading it was broken off: {source}"))]
    Reading {
        /// Why.
        source: JoinError,
    },
    /// Its pieces were sent by another replica than the one that it names.
    #[snafu(display("it names another sender"))]
    Sender,
    /// The log takes no messages any more.
    #[snafu(display("this replica has stopped"))]
    Stopped,
}

/// Long messages on their way here.
#[derive(Clone, Debug)]
pub struct Arrivals {
    receiving: Arc<Mutex<Receiving>>,
    /// Takes them once they are whole.
    events: mpsc::Sender<Event>,
}

impl Arrivals {
    /// Creates one that hands whole messages to the driver of the log.
    pub fn new(events: mpsc::Sender<Event>) -> Arrivals {
        let receiving = Receiving::new(u64::from(MESSAGE_BYTES));
        Arrivals { receiving: Arc::new(Mutex::new(receiving)), events }
    }

    /// Takes a piece; returns how many bytes of its message are held. A message that is whole is handed
    /// on even if the caller no longer waits, for the sender counts it as arrived.
    ///
    /// # Errors
    ///
    /// Fails on what makes no sense; nothing of the message is held then.
    pub async fn take(&self, now: Timestamp, piece: Piece) -> Result<u64, ArrivalFault> {
        let taken = self.receiving.lock().take(now, &piece).context(PieceSnafu)?;
        let content = match taken {
            PieceOutcome::Held(held) => return Ok(held),
            PieceOutcome::Whole(content) => content,
        };
        let total = piece.total;
        let arrivals = self.clone();
        // Reading takes a while, and a blocking task that began runs to its end.
        let handing_on = task::spawn_blocking(move || arrivals.hand_on(&content, &piece));
        handing_on.await.context(ReadingSnafu)??;
        Ok(total)
    }

    /// Forgets messages that make no progress.
    pub fn tidy(&self, now: Timestamp) {
        self.receiving.lock().discard_stalled(now);
    }

    fn hand_on(&self, content: &[u8], piece: &Piece) -> Result<(), ArrivalFault> {
        let read = read(content, piece);
        if let Err(e) = &read {
            log::warn!("control: a long message of replica {} is refused: {e}", piece.from);
            self.receiving.lock().discard(piece.from);
        }
        let sent = self.events.send(Event::Messages(vec![read?]));
        sent.map_err(|_| ArrivalFault::Stopped)
    }
}

fn read(content: &[u8], piece: &Piece) -> Result<RaftMessage, ArrivalFault> {
    let mut msg = transfer::unpack(content, u64::from(MESSAGE_BYTES)).context(MessageSnafu)?;
    if msg.from != piece.from {
        return Err(ArrivalFault::Sender);
    }
    // The message was packed when the transfer began.
    msg.term = piece.term;
    Ok(msg)
}
