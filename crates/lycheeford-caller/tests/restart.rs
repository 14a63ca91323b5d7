//! Background tasks that panic.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::task;
use lycheeford_caller::restart_after_panics;

#[test]
fn a_task_is_started_again_until_it_ends_by_itself() {
    for panics in [0, 1, 3] {
        let starts = AtomicUsize::new(0);
        let messages = Mutex::new(Vec::new());
        task::block_on(restart_after_panics(
            || async {
                let start = starts.fetch_add(1, Ordering::SeqCst);
                task::yield_now().await;
                assert!(start >= panics, "start {start}");
            },
            |message| messages.lock().unwrap().push(message.to_owned()),
        ));
        assert_eq!(starts.load(Ordering::SeqCst), panics + 1);
        let expected: Vec<String> = (0..panics).map(|start| format!("start {start}")).collect();
        assert_eq!(*messages.lock().unwrap(), expected);
    }
}
