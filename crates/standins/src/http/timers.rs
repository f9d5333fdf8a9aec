//! One timer for all targets of a thread.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use filbertpitch_types::prelude::*;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

use super::clock::HostClock;
use super::ticker::PreciseTicker;

/// The position of a target within its thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostIndex(pub usize);

/// Due times of the targets of a thread.
#[derive(Debug)]
pub struct TimerTable {
    clock: HostClock,
    ticker: PreciseTicker,
    heap: RefCell<BinaryHeap<Reverse<(TimePoint, HostIndex)>>>,
    sleeping_until: Cell<Option<TimePoint>>,
    wake: RefCell<Option<oneshot::Sender<()>>>,
}

impl TimerTable {
    /// An empty table.
    pub fn new(clock: HostClock, ticker: PreciseTicker) -> Self {
        Self {
            clock,
            ticker,
            heap: RefCell::default(),
            sleeping_until: Cell::new(None),
            wake: RefCell::default(),
        }
    }

    /// The clock of the thread.
    pub fn clock(&self) -> &HostClock {
        &self.clock
    }

    /// The ticker of the thread.
    pub fn ticker(&self) -> &PreciseTicker {
        &self.ticker
    }

    /// Requests that `host` is advanced at `due`.
    pub fn arm(&self, due: TimePoint, host: HostIndex) {
        self.heap.borrow_mut().push(Reverse((due, host)));
        let sleeping_until = self.sleeping_until.get();
        if sleeping_until.is_none_or(|until| due < until)
            && let Some(wake) = self.wake.borrow_mut().take()
        {
            // The sleeper is gone if it has already been woken.
            let _ = wake.send(());
        }
    }

    /// Waits until at least one target is due and returns the first one.
    pub async fn next_due(&self) -> HostIndex {
        loop {
            let next = self.heap.borrow().peek().map(|Reverse(entry)| *entry);
            if let Some((due, host)) = next
                && due <= self.clock.now().time
            {
                self.heap.borrow_mut().pop();
                return host;
            }
            self.sleep(next.map(|(due, _)| due)).await;
        }
    }

    async fn sleep(&self, until: Option<TimePoint>) {
        let (wake, woken) = oneshot::channel();
        *self.wake.borrow_mut() = Some(wake);
        self.sleeping_until.set(until);
        match until {
            None => {
                let _ = woken.await;
            }
            Some(until) => {
                let sleep = self.ticker.sleep_until(self.clock.instant(until));
                match select(std::pin::pin!(sleep), woken).await {
                    Either::Left(_) | Either::Right(_) => {}
                }
            }
        }
    }
}
