//! Batching of concurrent calls.

use cherrystream_control::call_batcher::CallBatcher;
use std::future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Guards against one call per item when many daemons register at once.
#[tokio::test]
async fn items_added_during_a_call_share_the_next_one() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let batcher = CallBatcher::start(move |items: Vec<usize>| {
        counted.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_millis(10)).await;
            items
        }
    });
    let mut running = JoinSet::new();
    for i in 0..280 {
        let batcher = batcher.clone();
        running.spawn(async move { (i, batcher.call(i).await.unwrap()) });
    }
    for (i, items) in running.join_all().await {
        assert!(items.contains(&i), "the result for {i} is of another call");
    }
    let calls = calls.load(Ordering::Relaxed);
    assert!(calls <= 4, "{calls} calls for 280");
}

/// Guards against stale reads: a result must be of a call that began after the item was added.
#[tokio::test]
async fn a_call_in_flight_returns_no_result_for_later_items() {
    let started = Arc::new(AtomicUsize::new(0));
    let counted = started.clone();
    let batcher = CallBatcher::start(move |_: Vec<()>| {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            number
        }
    });
    let first = batcher.clone();
    let first = tokio::spawn(async move { first.call(()).await });
    while started.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(batcher.call(()).await, Some(1));
    assert_eq!(first.await.unwrap(), Some(0));
}

/// Guards against work on behalf of cancelled calls.
#[tokio::test]
async fn cancelled_items_are_not_sent() {
    let (started, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counted, seen) = (started.clone(), most.clone());
    let batcher = CallBatcher::start(move |items: Vec<u32>| {
        counted.fetch_add(1, Ordering::Relaxed);
        seen.fetch_max(items.len(), Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(20))
    });
    let first = batcher.clone();
    let first = tokio::spawn(async move { first.call(1).await });
    while started.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let cancelled = tokio::time::timeout(Duration::from_millis(5), batcher.call(2)).await;
    assert!(cancelled.is_err());
    batcher.call(3).await;
    first.await.unwrap();
    assert_eq!(most.load(Ordering::Relaxed), 1);
}

/// Starts a batcher whose calls with the item 0 do not end. Returns the number of calls too.
fn start_with_hung_calls() -> (CallBatcher<u32, ()>, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let batcher = CallBatcher::start(move |items: Vec<u32>| {
        counted.fetch_add(1, Ordering::Relaxed);
        async move {
            if items.contains(&0) {
                future::pending::<()>().await;
            }
        }
    });
    (batcher, calls)
}

/// Guards against a call without an answer that holds up all later items for its timeout.
#[tokio::test]
async fn a_hung_call_does_not_hold_up_later_items() {
    let (batcher, _calls) = start_with_hung_calls();
    let hung = batcher.clone();
    tokio::spawn(async move { hung.call(0).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    for item in 1..=5 {
        let answered = tokio::time::timeout(Duration::from_secs(1), batcher.call(item)).await;
        assert_eq!(answered, Ok(Some(())), "item {item}");
    }
}

/// Guards against hung calls that accumulate.
#[tokio::test]
async fn the_number_of_hung_calls_is_bounded() {
    let (batcher, calls) = start_with_hung_calls();
    for _ in 0..30 {
        let hung = batcher.clone();
        tokio::spawn(async move { hung.call(0).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(calls.load(Ordering::Relaxed), 4);
}
