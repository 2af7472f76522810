//! Calls that go together.

use cherrystream_control::together::CallBatcher;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Load: 280 daemons that come at once; a call takes 10 ms.
#[tokio::test]
async fn what_comes_while_a_call_is_under_way_goes_with_the_next_one() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let together = CallBatcher::start(move |items: Vec<usize>| {
        counted.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_millis(10)).await;
            items
        }
    });
    let mut running = JoinSet::new();
    for i in 0..280 {
        let together = together.clone();
        running.spawn(async move { (i, together.call(i).await.unwrap()) });
    }
    for (i, items) in running.join_all().await {
        assert!(items.contains(&i), "the answer to {i} is of another call");
    }
    let calls = calls.load(Ordering::Relaxed);
    assert!(calls <= 4, "{calls} calls for 280");
}

/// An answer must be of a call that began after the question: reads rely on it.
#[tokio::test]
async fn a_call_under_way_answers_nobody_who_comes_later() {
    let begun = Arc::new(AtomicUsize::new(0));
    let counted = begun.clone();
    let together = CallBatcher::start(move |_: Vec<()>| {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            number
        }
    });
    let first = together.clone();
    let first = tokio::spawn(async move { first.call(()).await });
    while begun.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(together.call(()).await, Some(1));
    assert_eq!(first.await.unwrap(), Some(0));
}

#[tokio::test]
async fn what_was_given_up_is_not_called_for() {
    let (begun, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counted, seen) = (begun.clone(), most.clone());
    let together = CallBatcher::start(move |items: Vec<u32>| {
        counted.fetch_add(1, Ordering::Relaxed);
        seen.fetch_max(items.len(), Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(20))
    });
    let first = together.clone();
    let first = tokio::spawn(async move { first.call(1).await });
    while begun.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let given_up = tokio::time::timeout(Duration::from_millis(5), together.call(2)).await;
    assert!(given_up.is_err());
    together.call(3).await;
    first.await.unwrap();
    assert_eq!(most.load(Ordering::Relaxed), 1);
}
