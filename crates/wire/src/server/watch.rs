//! Watches the connections whose requests are being handled for their end, independently of the
//! event loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};

use crate::message::ConnectionId;

/// Initial capacity of the event buffer. It grows with the number of connections.
const MIN_EVENT_CAPACITY: usize = 64;

/// The connections of a process whose clients may disconnect while their requests are handled.
///
/// The event loop learns of the end of a connection only when it next waits for events, which may be
/// long after the end has reached the socket if the process was paused or is busy. A watch asks the
/// kernel at once, with an event queue of its own, so that a decision can take the end into account.
pub struct ConnectionWatch {
    state: RefCell<WatchState>,
}

struct WatchState {
    poll: Poll,
    events: Events,
    /// Whether a request is in its handler, by connection.
    connections: HashMap<ConnectionId, bool>,
    /// The number of connections with a request in its handler.
    handling: usize,
    /// The connections that have ended but are not yet closed by the server. The kernel reports each
    /// end once, and possibly between two requests.
    ended: Vec<ConnectionId>,
}

impl ConnectionWatch {
    /// Creates a watch, which several servers of the process may share.
    ///
    /// # Errors
    /// When the operating system cannot create an event queue.
    pub fn new() -> io::Result<Rc<Self>> {
        let state = WatchState {
            poll: Poll::new()?,
            events: Events::with_capacity(MIN_EVENT_CAPACITY),
            connections: HashMap::new(),
            handling: 0,
            ended: Vec::new(),
        };
        Ok(Rc::new(Self {
            state: RefCell::new(state),
        }))
    }

    /// The connections that have ended while a request of theirs is in a handler that is cancelled
    /// on disconnect: the client's close or reset has reached the socket, whether or not it has been
    /// read.
    ///
    /// Makes one system call that does not wait, or none if no request is in such a handler. A
    /// connection is returned by every call until its handler is dropped.
    pub fn take_ended(&self) -> Vec<ConnectionId> {
        let mut state = self.state.borrow_mut();
        if state.handling == 0 {
            return Vec::new();
        }
        state.read_events();
        let is_handling = |id: &ConnectionId| state.connections.get(id) == Some(&true);
        state.ended.iter().copied().filter(is_handling).collect()
    }

    /// Adds a connection until the returned value is dropped. An end that has already reached the
    /// socket is noticed as well.
    ///
    /// # Errors
    /// When the operating system cannot add the socket to the event queue.
    pub(super) fn register(
        self: &Rc<Self>,
        socket: RawFd,
        id: ConnectionId,
    ) -> io::Result<WatchedConnection> {
        self.state.borrow_mut().register(socket, id)?;
        Ok(WatchedConnection {
            watch: Rc::clone(self),
            id,
        })
    }
}

impl fmt::Debug for ConnectionWatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.state.borrow();
        formatter
            .debug_struct("ConnectionWatch")
            .field("connections", &state.connections.len())
            .field("handling", &state.handling)
            .finish_non_exhaustive()
    }
}

impl WatchState {
    fn register(&mut self, socket: RawFd, id: ConnectionId) -> io::Result<()> {
        // The event queue is edge-triggered, but it checks the state of a socket when it is added.
        self.poll.registry().register(
            &mut SourceFd(&socket),
            Token(id.0 as usize),
            Interest::READABLE,
        )?;
        self.connections.insert(id, false);
        if self.events.capacity() < self.connections.len() {
            // One system call must be able to return an event of every connection.
            self.events = Events::with_capacity(self.connections.len().next_power_of_two());
        }
        Ok(())
    }

    fn read_events(&mut self) {
        // A call that does not wait fails only for invalid arguments, and then has no events.
        let _ = self.poll.poll(&mut self.events, Some(Duration::ZERO));
        for event in &self.events {
            let id = ConnectionId(event.token().0 as u64);
            let ended = event.is_read_closed() || event.is_error();
            if ended && self.connections.contains_key(&id) && !self.ended.contains(&id) {
                self.ended.push(id);
            }
        }
    }
}

/// A connection in a [`ConnectionWatch`].
///
/// Dropping it makes no system call: closing the socket removes it from the event queue. Identifiers
/// are not reused, so a later connection with the same descriptor is not mistaken for this one.
pub(super) struct WatchedConnection {
    watch: Rc<ConnectionWatch>,
    id: ConnectionId,
}

impl WatchedConnection {
    /// Marks a request as being in its handler until the returned value is dropped.
    pub(super) fn begin_request(&self) -> HandledRequest<'_> {
        let mut state = self.watch.state.borrow_mut();
        state.connections.insert(self.id, true);
        state.handling += 1;
        HandledRequest { connection: self }
    }

    /// Whether the connection has ended, by a system call that does not wait.
    pub(super) fn has_ended(&self) -> bool {
        let mut state = self.watch.state.borrow_mut();
        state.read_events();
        state.ended.contains(&self.id)
    }
}

impl Drop for WatchedConnection {
    fn drop(&mut self) {
        let mut state = self.watch.state.borrow_mut();
        state.connections.remove(&self.id);
        state.ended.retain(|id| *id != self.id);
    }
}

/// A request that is in its handler.
pub(super) struct HandledRequest<'a> {
    connection: &'a WatchedConnection,
}

impl Drop for HandledRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.connection.watch.state.borrow_mut();
        state.connections.insert(self.connection.id, false);
        state.handling -= 1;
    }
}
