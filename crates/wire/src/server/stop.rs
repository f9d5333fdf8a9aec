//! Tells all tasks of a server that it stops.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Completes when the server stops.
pub(super) type StopSignal = Shared<oneshot::Receiver<()>>;

/// Stops a server: it accepts no more connections, closes idle ones and finishes requests in
/// progress.
#[derive(Clone, Debug)]
pub struct StopHandle {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
}

impl StopHandle {
    /// Stops the server. Further calls have no effect. Dropping the last handle stops it too.
    pub fn stop(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            // The receiver is gone when the server has already ended.
            let _ = sender.send(());
        }
    }
}

pub(super) fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = oneshot::channel();
    let handle = StopHandle {
        sender: Rc::new(RefCell::new(Some(sender))),
    };
    (handle, receiver.shared())
}
