//! Receipt of long messages that are transferred in pieces.

use cherrystream_control::handle::Event;
use cherrystream_control::incoming_transfers::{IncomingTransfers, TransferError};
use cherrystream_core::transfer::{self, Sending};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Piece, RaftBody, RaftMessage};
use std::future;
use std::sync::mpsc::{self, Receiver};
use std::task::Poll;
use std::time::Duration;

const NOW: Timestamp = Timestamp(0);
/// Longest wait for an expected message.
const TIMEOUT: Duration = Duration::from_secs(20);

fn message(from: u64) -> RaftMessage {
    let body = RaftBody::AppendReply { success: true, match_index: 5, round: 6 };
    RaftMessage { from, to: 2, disk: "a".into(), term: 3, body }
}

/// Returns a transfer in a single piece, sent by replica 1 in a term.
fn piece(content: Vec<u8>, term: u64) -> Piece {
    Sending::new(1, 7, content, NOW).piece(1 << 20, term)
}

fn transfers() -> (IncomingTransfers, Receiver<Event>) {
    let (tx, rx) = mpsc::channel();
    (IncomingTransfers::new(tx), rx)
}

fn delivered(rx: &Receiver<Event>) -> Vec<RaftMessage> {
    match rx.recv_timeout(TIMEOUT) {
        Ok(Event::Messages(messages)) => messages,
        _ => panic!("no message was delivered"),
    }
}

/// Guards against delivery with the term at the start of the transfer, which may be outdated.
#[tokio::test]
async fn a_complete_message_is_delivered_in_the_term_of_its_last_piece() {
    let (transfers, rx) = transfers();
    let piece = piece(transfer::pack(&message(1)), 4);
    assert_eq!(transfers.receive(NOW, piece.clone()).await.unwrap(), piece.total);
    assert_eq!(delivered(&rx), vec![RaftMessage { term: 4, ..message(1) }]);
}

/// Guards against a lost message when the connection breaks during decoding. The next call reports
/// the message as received.
#[tokio::test]
async fn a_complete_message_is_delivered_after_its_call_is_cancelled() {
    let (transfers, rx) = transfers();
    let piece = piece(transfer::pack(&message(1)), 3);
    {
        let mut call = Box::pin(transfers.receive(NOW, piece.clone()));
        let is_pending =
            future::poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx).is_pending())).await;
        assert!(is_pending, "another thread decodes the message");
    }
    assert_eq!(transfers.receive(NOW, piece.clone()).await.unwrap(), piece.total);
    assert_eq!(delivered(&rx), vec![message(1)]);
}

/// Guards against delivery of undecodable content and of messages with a forged sender.
#[tokio::test]
async fn an_invalid_message_is_rejected_and_discarded() {
    let (transfers, rx) = transfers();
    let malformed = piece(b"nonsense".to_vec(), 3);
    for _ in 0..2 {
        let rejected = transfers.receive(NOW, malformed.clone()).await;
        assert!(matches!(rejected, Err(TransferError::Message { .. })), "{rejected:?}");
    }
    let other_sender = piece(transfer::pack(&message(9)), 3);
    let rejected = transfers.receive(NOW, other_sender).await;
    assert!(matches!(rejected, Err(TransferError::Sender)), "{rejected:?}");
    assert!(rx.try_recv().is_err());
}
