//! Sending and receiving ends of a transfer.

use cherrystream_core::transfer::{
    self, PARTIAL_TTL, PieceError, PieceOutcome, PieceSize, Receiving, STALL_TIMEOUT, Sending,
};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{RaftBody, RaftMessage};
use std::time::Duration;

const LIMIT: u64 = 1 << 20;
const PIECE: usize = 1_000;

fn content() -> Vec<u8> {
    (0..10_500_u32).map(|i| (i * 7 % 251) as u8).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Sends one piece. Returns the whole content after the last one.
fn step(now: Timestamp, tx: &mut Sending, rx: &mut Receiving) -> Option<Vec<u8>> {
    let piece = tx.piece(PIECE, 1);
    match rx.take(now, &piece).unwrap() {
        PieceOutcome::Held(held) => tx.on_reply(now, held),
        PieceOutcome::Whole(whole) => {
            tx.on_reply(now, piece.total);
            return Some(whole);
        }
    }
    None
}

#[test]
fn a_transfer_delivers_its_content() {
    let (mut tx, mut rx) = (Sending::new(1, 7, content(), at(0)), Receiving::new(LIMIT));
    let whole = (0..11).filter_map(|_| step(at(0), &mut tx, &mut rx)).next_back();
    assert_eq!(whole, Some(content()));
    assert!(tx.is_done());
    assert_eq!(rx.bytes(), 0, "delivered content is not kept");
}

#[test]
fn a_transfer_resumes_after_a_lost_reply() {
    let (mut tx, mut rx) = (Sending::new(1, 7, content(), at(0)), Receiving::new(LIMIT));
    for _ in 0..6 {
        step(at(0), &mut tx, &mut rx);
    }
    // The piece arrives but its reply is lost, so it is sent again.
    rx.take(at(0), &tx.piece(PIECE, 1)).unwrap();
    step(at(1), &mut tx, &mut rx);
    assert_eq!(tx.piece(PIECE, 1).offset, 7_000);
}

#[test]
fn a_duplicate_of_the_last_piece_is_acknowledged() {
    let (mut tx, mut rx) = (Sending::new(1, 7, content(), at(0)), Receiving::new(LIMIT));
    for _ in 0..10 {
        step(at(0), &mut tx, &mut rx);
    }
    let last = tx.piece(PIECE, 1);
    assert!(matches!(rx.take(at(0), &last), Ok(PieceOutcome::Whole(_))));
    assert_eq!(rx.take(at(0), &last), Ok(PieceOutcome::Held(last.total)));
}

#[test]
fn a_transfer_starts_again_after_a_restart_of_the_receiver() {
    let (mut tx, mut rx) = (Sending::new(1, 7, content(), at(0)), Receiving::new(LIMIT));
    for _ in 0..6 {
        step(at(0), &mut tx, &mut rx);
    }
    let mut restarted = Receiving::new(LIMIT);
    step(at(1), &mut tx, &mut restarted);
    assert_eq!(tx.piece(PIECE, 1).offset, 0);
    let whole = (0..11).filter_map(|_| step(at(2), &mut tx, &mut restarted)).next_back();
    assert_eq!(whole, Some(content()));
}

/// Guards against endless transfers to a receiver that loses its bytes again and again.
#[test]
fn a_transfer_without_progress_is_aborted() {
    let mut tx = Sending::new(1, 7, content(), at(0));
    tx.on_reply(at(1_000), 3_000);
    for second in 2..31 {
        tx.on_reply(at(second * 1_000), if second % 2 == 0 { 0 } else { 3_000 });
        assert!(!tx.is_stalled(at(second * 1_000)));
    }
    assert!(tx.is_stalled(at(1_000) + STALL_TIMEOUT));
}

#[test]
fn a_new_transfer_replaces_the_one_before() {
    let (mut old, mut rx) = (Sending::new(1, 7, content(), at(0)), Receiving::new(LIMIT));
    step(at(0), &mut old, &mut rx);
    let mut new = Sending::new(1, 8, vec![5; 1_500], at(0));
    assert_eq!(step(at(0), &mut new, &mut rx), None);
    assert_eq!(step(at(0), &mut new, &mut rx), Some(vec![5; 1_500]));
}

#[test]
fn transfers_of_several_senders_do_not_mix() {
    let mut rx = Receiving::new(LIMIT);
    let mut first = Sending::new(1, 7, vec![1; 1_500], at(0));
    let mut second = Sending::new(2, 7, vec![2; 1_500], at(0));
    step(at(0), &mut first, &mut rx);
    step(at(0), &mut second, &mut rx);
    assert_eq!(step(at(0), &mut first, &mut rx), Some(vec![1; 1_500]));
    assert_eq!(step(at(0), &mut second, &mut rx), Some(vec![2; 1_500]));
}

#[test]
fn invalid_pieces_hold_no_memory() {
    let mut rx = Receiving::new(LIMIT);
    let good = Sending::new(1, 7, content(), at(0)).piece(PIECE, 1);
    let mut long = good.clone();
    long.total = LIMIT + 1;
    assert_eq!(rx.take(at(0), &long), Err(PieceError::TooLong));
    let mut unreadable = good.clone();
    unreadable.data = "?".into();
    assert_eq!(rx.take(at(0), &unreadable), Err(PieceError::Unreadable));
    let mut beyond = good.clone();
    beyond.total = 10;
    assert_eq!(rx.take(at(0), &beyond), Err(PieceError::Unreadable));
    let mut corrupt = Sending::new(1, 7, vec![1; 10], at(0)).piece(PIECE, 1);
    corrupt.checksum ^= 1;
    assert_eq!(rx.take(at(0), &corrupt), Err(PieceError::Checksum));
    assert_eq!(rx.bytes(), 0);
    // The announced size allocates no memory.
    let mut announced = good;
    announced.total = LIMIT;
    rx.take(at(0), &announced).unwrap();
    assert!(rx.bytes() <= 2 * PIECE, "{}", rx.bytes());
    rx.discard_stalled(at(0) + PARTIAL_TTL);
    assert_eq!(rx.bytes(), 0);
}

#[test]
fn the_size_of_pieces_adapts_to_the_link() {
    let mut piece_size = PieceSize::default();
    let first = piece_size.bytes();
    piece_size.on_reply(Duration::from_millis(1));
    assert_eq!(piece_size.bytes(), first * 2);
    piece_size.on_reply(Duration::from_millis(100));
    assert_eq!(piece_size.bytes(), first * 2);
    piece_size.on_reply(Duration::from_millis(500));
    assert_eq!(piece_size.bytes(), first);
    for _ in 0..20 {
        piece_size.on_failure();
    }
    assert_eq!(piece_size.bytes(), 4 * 1024);
    for _ in 0..20 {
        piece_size.on_reply(Duration::from_millis(1));
    }
    assert_eq!(piece_size.bytes(), 256 * 1024);
}

#[test]
fn a_message_survives_packing_and_unpacking() {
    let body = RaftBody::AppendReply { success: true, match_index: 5, round: 6 };
    let msg = RaftMessage { from: 1, to: 2, disk: "a".into(), term: 3, body };
    let packed = transfer::pack(&msg);
    assert_eq!(transfer::unpack(&packed, LIMIT).unwrap(), msg);
    assert!(transfer::unpack(&packed, 10).is_err(), "longer than allowed");
    assert!(transfer::unpack(&packed[..packed.len() / 2], LIMIT).is_err(), "cut off");
    assert!(transfer::unpack(b"nonsense", LIMIT).is_err());
}
