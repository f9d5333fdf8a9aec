//! Precise sleeping.
//!
//! The runtime's timers have a resolution of 1 ms, which would add 2% to a task of 50 ms. A helper
//! thread sleeps on a condition variable instead, which is precise to about 0.1 ms, and wakes the
//! runtime.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

/// How long the helper thread sleeps when there is nothing to wait for.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

struct SleepRequest {
    due: Instant,
    done: oneshot::Sender<()>,
}

impl PartialEq for SleepRequest {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for SleepRequest {}

impl PartialOrd for SleepRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SleepRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

/// Handle of the helper thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct PreciseTicker {
    sender: Sender<SleepRequest>,
}

impl PreciseTicker {
    /// Starts the helper thread.
    pub fn start() -> Self {
        let (sender, receiver) = channel();
        thread::spawn(move || serve_requests(&receiver));
        Self { sender }
    }

    /// Completes at `due`, or at once if it has passed.
    pub async fn sleep_until(&self, due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let (done, wait) = oneshot::channel();
        if self.sender.send(SleepRequest { due, done }).is_ok() {
            // The sender is only dropped together with the helper thread.
            let _ = wait.await;
        }
    }
}

fn serve_requests(receiver: &Receiver<SleepRequest>) {
    let mut heap = BinaryHeap::<Reverse<SleepRequest>>::new();
    loop {
        let now = Instant::now();
        while heap.peek().is_some_and(|Reverse(next)| next.due <= now) {
            let Reverse(request) = heap.pop().expect("the heap is not empty");
            // The sleeper may have been dropped.
            let _ = request.done.send(());
        }
        let due = heap.peek().map(|Reverse(next)| next.due);
        let wait = due.map_or(IDLE_WAIT, |due| {
            due.saturating_duration_since(Instant::now())
        });
        match receiver.recv_timeout(wait) {
            Ok(request) => heap.push(Reverse(request)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
