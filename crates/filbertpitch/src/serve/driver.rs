//! Feeds the engine with events and carries out its actions.
//!
//! Everything runs on one thread. The engine is borrowed only while it handles an event, never
//! across an await, so that tasks cannot interleave inside a decision.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use filbertpitch_dispatch::engine::{
    CallerReply, DispatchEngine, EngineAction, EngineEvent, StateCommand,
};
use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_types::prelude::*;
use futures_channel::oneshot;
use monoio::time::Instant;

use super::clock::SystemClock;
use super::observe::NodeObserver;
use super::targets::TargetClient;
use crate::engine_timer::{EngineTimer, TimerEvents};

/// Runs the engine of this process.
pub struct EngineDriver {
    clock: SystemClock,
    engine: RefCell<DispatchEngine>,
    targets: TargetClient,
    replies: RefCell<HashMap<CallerToken, oneshot::Sender<CallerReply>>>,
    next_caller: Cell<u64>,
    timer: EngineTimer,
    observer: Rc<NodeObserver>,
}

impl EngineDriver {
    /// A driver for `engine`, and the receiver for [`Self::run_timer`].
    pub fn new(
        clock: SystemClock,
        engine: DispatchEngine,
        targets: TargetClient,
        observer: Rc<NodeObserver>,
    ) -> (Rc<Self>, TimerEvents) {
        let (timer, timer_events) = EngineTimer::new();
        let driver = Self {
            clock,
            engine: RefCell::new(engine),
            targets,
            replies: RefCell::default(),
            next_caller: Cell::new(0),
            timer,
            observer,
        };
        (Rc::new(driver), timer_events)
    }

    /// The process's clocks.
    pub fn clock(&self) -> SystemClock {
        self.clock
    }

    /// Lets the engine react to an event and carries out what follows.
    pub fn feed(self: &Rc<Self>, event: EngineEvent) {
        self.observer.see_event(&event);
        let check_answered = matches!(
            event,
            EngineEvent::StatesAnswered {
                command: StateCommand::Check,
                ..
            }
        );
        let (actions, due) = {
            let mut engine = self.engine.borrow_mut();
            let now = self.clock.read();
            engine.handle(now, event);
            let actions = engine.take_actions();
            for action in &actions {
                self.observer
                    .see_action(action, check_answered, &engine, now.time);
            }
            (actions, engine.next_due())
        };
        for action in actions {
            self.perform(action);
        }
        self.timer.arm(due);
    }

    /// Looks at the engine between events.
    pub fn inspect<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&DispatchEngine) -> T,
    {
        look(&self.engine.borrow())
    }

    /// Closes target connections that have been idle for too long.
    pub fn prune_targets(&self) {
        self.targets.prune();
    }

    /// Submits an event that the engine replies to, and waits for the reply.
    pub async fn call<F>(self: &Rc<Self>, event: F) -> Option<CallerReply>
    where
        F: FnOnce(CallerToken) -> EngineEvent,
    {
        let caller = CallerToken(self.next_caller.get());
        self.next_caller.set(caller.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().insert(caller, sender);
        self.feed(event(caller));
        receiver.await.ok()
    }

    fn perform(self: &Rc<Self>, action: EngineAction) {
        match action {
            EngineAction::Reply { caller, reply } => {
                if let Some(sender) = self.replies.borrow_mut().remove(&caller) {
                    // The caller may have closed its connection.
                    let _ = sender.send(reply);
                }
            }
            // The observer has seen them.
            EngineAction::Notice(_) | EngineAction::Trace(_) => {}
            EngineAction::CloseConnection { attempt } => self.targets.close(attempt),
            EngineAction::Start { .. }
            | EngineAction::Check { .. }
            | EngineAction::Control { .. } => self.targets.send(self, action),
        }
    }

    /// Feeds [`EngineEvent::TimeAdvanced`] when the engine's timers are due. Runs forever.
    pub async fn run_timer(self: Rc<Self>, mut events: TimerEvents) {
        let instant = |due: TimePoint| Instant::from_std(self.clock.instant(due));
        while self.timer.expired(&mut events, instant).await {
            self.feed(EngineEvent::TimeAdvanced);
        }
    }
}
