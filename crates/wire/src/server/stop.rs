//! Signals all tasks of a server that it is stopping.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// A future that completes when the server is told to stop.
pub(super) type StopSignal = Shared<oneshot::Receiver<()>>;

/// Stops a server gracefully: the server accepts no more connections, closes idle ones and
/// completes the requests in progress.
#[derive(Clone, Debug)]
pub struct StopHandle {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
}

impl StopHandle {
    /// Stops the server. Further calls have no effect. Dropping the last handle also stops the
    /// server.
    pub fn stop(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            // Fails if the server has already ended and dropped the receiver.
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
