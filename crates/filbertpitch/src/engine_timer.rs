//! Wakes an engine when its timers are due.

use std::cell::Cell;

use filbertpitch_types::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use monoio::time::Instant;

/// When the engine must be called at the latest.
pub struct EngineTimer {
    due: Cell<Option<TimePoint>>,
    signal: mpsc::UnboundedSender<()>,
}

/// Tells the task that waits for an [`EngineTimer`] that it is due earlier.
pub type TimerEvents = mpsc::UnboundedReceiver<()>;

impl EngineTimer {
    /// A timer that is not due, and what [`Self::expired`] needs.
    pub fn new() -> (Self, TimerEvents) {
        let (signal, events) = mpsc::unbounded();
        let timer = Self {
            due: Cell::new(None),
            signal,
        };
        (timer, events)
    }

    /// Sets when the engine must be called, unless it will be called earlier.
    pub fn arm(&self, due: Option<TimePoint>) {
        let earlier = match (due, self.due.get()) {
            (Some(due), Some(armed)) => due < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if earlier {
            self.due.set(due);
            // The receiver lives as long as the timer task.
            let _ = self.signal.unbounded_send(());
        }
    }

    /// Waits until the engine must be called; `instant` says when that is. False when nothing can
    /// arm the timer any more.
    pub async fn expired<F>(&self, events: &mut TimerEvents, instant: F) -> bool
    where
        F: Fn(TimePoint) -> Instant,
    {
        loop {
            let Some(due) = self.due.get() else {
                if events.next().await.is_none() {
                    return false;
                }
                continue;
            };
            monoio::select! {
                () = monoio::time::sleep_until(instant(due)) => {
                    self.due.set(None);
                    return true;
                }
                _ = events.next() => {}
            }
        }
    }
}
