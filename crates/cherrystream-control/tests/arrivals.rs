//! Long messages that arrive in pieces.

use cherrystream_control::arrivals::{Arrivals, TransferError};
use cherrystream_control::handle::Event;
use cherrystream_core::transfer::{self, Sending};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Piece, RaftBody, RaftMessage};
use std::future;
use std::sync::mpsc::{self, Receiver};
use std::task::Poll;
use std::time::Duration;

const NOW: Timestamp = Timestamp(0);
/// Longest wait for a message that must come.
const PATIENCE: Duration = Duration::from_secs(20);

fn message(from: u64) -> RaftMessage {
    let body = RaftBody::AppendReply { success: true, match_index: 5, round: 6 };
    RaftMessage { from, to: 2, disk: "a".into(), term: 3, body }
}

/// Returns a transfer of one piece, sent by replica 1 in a term.
fn piece(content: Vec<u8>, term: u64) -> Piece {
    Sending::new(1, 7, content, NOW).piece(1 << 20, term)
}

fn arrivals() -> (Arrivals, Receiver<Event>) {
    let (tx, rx) = mpsc::channel();
    (Arrivals::new(tx), rx)
}

fn handed_on(rx: &Receiver<Event>) -> Vec<RaftMessage> {
    match rx.recv_timeout(PATIENCE) {
        Ok(Event::Messages(messages)) => messages,
        _ => panic!("no message was handed on"),
    }
}

#[tokio::test]
async fn a_whole_message_is_handed_on_in_the_term_of_its_last_piece() {
    let (arrivals, rx) = arrivals();
    let piece = piece(transfer::pack(&message(1)), 4);
    assert_eq!(arrivals.take(NOW, piece.clone()).await.unwrap(), piece.total);
    assert_eq!(handed_on(&rx), vec![RaftMessage { term: 4, ..message(1) }]);
}

/// The connection may break while the message is read. The next call tells the sender that all is held.
#[tokio::test]
async fn a_whole_message_is_handed_on_though_its_call_is_cancelled() {
    let (arrivals, rx) = arrivals();
    let piece = piece(transfer::pack(&message(1)), 3);
    {
        let mut call = Box::pin(arrivals.take(NOW, piece.clone()));
        let first = future::poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx).is_pending())).await;
        assert!(first, "reading is another thread's work");
    }
    assert_eq!(arrivals.take(NOW, piece.clone()).await.unwrap(), piece.total);
    assert_eq!(handed_on(&rx), vec![message(1)]);
}

#[tokio::test]
async fn what_is_no_message_is_refused_and_forgotten() {
    let (arrivals, rx) = arrivals();
    let nonsense = piece(b"nonsense".to_vec(), 3);
    for _ in 0..2 {
        let refused = arrivals.take(NOW, nonsense.clone()).await;
        assert!(matches!(refused, Err(TransferError::Message { .. })), "{refused:?}");
    }
    let of_another = piece(transfer::pack(&message(9)), 3);
    let refused = arrivals.take(NOW, of_another).await;
    assert!(matches!(refused, Err(TransferError::Sender)), "{refused:?}");
    assert!(rx.try_recv().is_err());
}
