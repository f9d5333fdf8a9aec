//! The clients that wait for answers, and the connections on which they wait.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use filbertpitch_dispatch::job::CallerToken;
use filbertpitch_fleet::engine::EndedClients;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::message::ConnectionId;
use filbertpitch_wire::server::ConnectionWatch;

/// What the client of a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientInterest {
    /// A job that this VM coordinates. The client may be another VM that has forwarded the job.
    Coordinated(CallerToken),
    /// A job that this VM forwards, or is about to forward.
    Forwarded(JobId),
}

/// The clients that wait, by their connections.
pub(super) struct WaitingClients {
    watch: Rc<ConnectionWatch>,
    interests: RefCell<HashMap<ConnectionId, ClientInterest>>,
}

/// Keeps a client among those that wait for a forwarded job.
pub(super) struct ForwardedClient<'a> {
    clients: &'a WaitingClients,
    connection: ConnectionId,
}

impl Drop for ForwardedClient<'_> {
    fn drop(&mut self) {
        self.clients.remove(self.connection);
    }
}

impl WaitingClients {
    /// No clients. `watch` must be that of the servers on which clients wait.
    pub(super) fn new(watch: Rc<ConnectionWatch>) -> Self {
        Self {
            watch,
            interests: RefCell::default(),
        }
    }

    pub(super) fn add_caller(&self, connection: ConnectionId, caller: CallerToken) {
        let interest = ClientInterest::Coordinated(caller);
        self.interests.borrow_mut().insert(connection, interest);
    }

    /// Adds a client that waits for a forwarded job until the returned value is dropped.
    pub(super) fn add_forwarded(
        &self,
        connection: ConnectionId,
        job: JobId,
    ) -> ForwardedClient<'_> {
        let interest = ClientInterest::Forwarded(job);
        self.interests.borrow_mut().insert(connection, interest);
        ForwardedClient {
            clients: self,
            connection,
        }
    }

    pub(super) fn remove(&self, connection: ConnectionId) {
        self.interests.borrow_mut().remove(&connection);
    }

    /// Takes the clients whose connections have ended. Makes one system call, or none while no request
    /// waits.
    pub(super) fn take_ended(&self) -> EndedClients {
        let connections = self.watch.take_ended();
        let mut interests = self.interests.borrow_mut();
        let ended = connections.iter().filter_map(|id| interests.remove(id));
        let ended = ended.collect::<Vec<_>>();
        let mut clients = EndedClients::default();
        for interest in ended {
            match interest {
                ClientInterest::Coordinated(caller) => clients.callers.push(caller),
                ClientInterest::Forwarded(job) => {
                    let awaited = interests.values().any(|other| *other == interest);
                    if !awaited && !clients.exchanges.contains(&job) {
                        clients.exchanges.push(job);
                    }
                }
            }
        }
        clients
    }
}
