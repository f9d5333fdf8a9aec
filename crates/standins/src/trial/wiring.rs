//! How messages travel: delays, losses, cuts, silent connections and dead processes.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;
use rand::Rng;

use super::message::{Call, ExchangeId, Failure, Party, Request, Response, SendOptions};
use super::network::{Place, PoolKey, Route};
use super::sim::{SimEvent, Simulation};
use super::world_setup::{EPOCH_MS, target_zone};

/// The time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The probability that a message is late by up to [`LATE_LIMIT`].
const LATE_PROBABILITY: f64 = 0.002;
/// The longest extra delay of a message, as after several retransmissions.
const LATE_LIMIT: Duration = Duration::from_secs(3);

/// A message that a cut holds back.
pub struct StalledMessage {
    from: Party,
    to: Party,
    event: SimEvent,
}

impl Simulation {
    /// Both clocks with a wall clock that differs by `skew` milliseconds.
    pub fn clock_with_skew(&self, skew: i64) -> ClockReading {
        let millis = EPOCH_MS + self.now.0 / 1000;
        ClockReading {
            time: self.now,
            wall: WallTime(millis.saturating_add_signed(skew)),
        }
    }

    fn place_of(&self, party: Party) -> Place {
        match party {
            Party::Vm(vm) => Place::Zone(self.vms[vm].zone),
            Party::Target(target) => Place::Zone(target_zone(target)),
            Party::Log | Party::List => Place::Platform,
            Party::Clients | Party::Operators => Place::Outside,
        }
    }

    fn is_cut(&self, from: Party, to: Party) -> bool {
        let from = (from, self.place_of(from));
        let to = (to, self.place_of(to));
        self.network.is_cut(from, to)
    }

    fn is_dead(&self, party: Party) -> bool {
        match party {
            Party::Vm(vm) => self.vms[vm].process.is_none(),
            Party::Target(target) => {
                let model = &self.targets[target].model;
                model.reachability() == crate::target_model::Reachability::Dead
            }
            _ => false,
        }
    }

    /// Numbers the runs of a target's process; a replaced VM is another party.
    pub fn generation_of(&self, party: Party) -> u64 {
        match party {
            Party::Target(target) => self.targets[target].model.load().boot,
            _ => 0,
        }
    }

    fn delay(&mut self, from: Party, to: Party) -> Duration {
        let micros = match (self.place_of(from), self.place_of(to)) {
            (Place::Zone(from), Place::Zone(to)) if from == to => 100,
            (Place::Zone(_), Place::Zone(_)) => 1_000,
            (Place::Outside, _) | (_, Place::Outside) => 3_000,
            _ => 500,
        };
        let jitter = self.rng.random_range(0..micros);
        let late = match self.rng.random_bool(LATE_PROBABILITY) {
            true => self.rng.random_range(Duration::ZERO..LATE_LIMIT),
            false => Duration::ZERO,
        };
        Duration::from_micros(micros + jitter) + late
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        from: Party,
        address: SocketAddr,
        request: Request,
        options: SendOptions,
        call: Call,
    ) -> ExchangeId {
        let exchange = self.network.begin(from, call);
        let deadline = self.now + options.timeout;
        if deadline <= self.end {
            self.queue.push(deadline, SimEvent::Timeout { exchange });
        }
        let pool = PoolKey {
            from,
            to: address,
            kind: options.pool,
        };
        match self.network.route(self.now, pool, &options) {
            Route::Reused(connection) => {
                self.network.attach(exchange, connection);
                self.transmit(exchange, request);
            }
            Route::Full => {
                self.pool_full += 1;
                self.fail_after(exchange, Duration::from_micros(1), false);
            }
            Route::Open => self.connect(exchange, pool, request),
        }
        exchange
    }

    fn connect(&mut self, exchange: ExchangeId, pool: PoolKey, request: Request) {
        let from = pool.from;
        let host = self.addresses.get(&pool.to).copied();
        let Some(host) = host.filter(|&host| !self.is_dead(host)) else {
            // The machine refuses at once, or there is no machine any more.
            let refused = self.rng.random_bool(0.7);
            let delay = match refused {
                true => Duration::from_millis(1),
                false => CONNECT_TIMEOUT,
            };
            return self.fail_after(exchange, delay, false);
        };
        if self.is_cut(from, host) || self.is_cut(host, from) {
            return self.fail_after(exchange, CONNECT_TIMEOUT, false);
        }
        let connection = self.network.connect(pool, host);
        self.network.attach(exchange, connection);
        self.transmit(exchange, request);
    }

    fn transmit(&mut self, exchange: ExchangeId, request: Request) {
        let Some(connection) = self.network.connection_of(exchange) else {
            return;
        };
        let (from, host, silent) = (connection.pool.from, connection.host, connection.silent);
        if silent {
            return;
        }
        if self.is_lossy() && self.rng.random_bool(self.network.loss) {
            let delay = self.delay(host, from);
            return self.fail_after(exchange, delay, true);
        }
        let event = SimEvent::Arrive {
            exchange,
            host,
            generation: self.generation_of(host),
            request: Box::new(request),
        };
        self.carry(from, host, event);
    }

    fn is_lossy(&self) -> bool {
        self.network.loss > 0.0
    }

    /// Lets a message travel, or holds it back while its direction is cut.
    fn carry(&mut self, from: Party, to: Party, event: SimEvent) {
        if self.is_cut(from, to) {
            self.stalled.push(StalledMessage { from, to, event });
            return;
        }
        let delay = self.delay(from, to);
        self.queue.push(self.now + delay, event);
    }

    /// Retransmits the messages that a cut held back. Some were given up by then.
    pub fn release_stalled(&mut self) {
        let stalled = std::mem::take(&mut self.stalled);
        for message in stalled {
            if self.is_cut(message.from, message.to) {
                self.stalled.push(message);
            } else if self.rng.random_bool(0.7) {
                let delay = self
                    .rng
                    .random_range(Duration::ZERO..Duration::from_secs(2));
                self.queue.push(self.now + delay, message.event);
            }
        }
    }

    fn fail_after(&mut self, exchange: ExchangeId, delay: Duration, maybe_sent: bool) {
        let failure = Failure { maybe_sent };
        let event = SimEvent::Fail { exchange, failure };
        self.queue.push(self.now + delay, event);
    }

    /// Answers a request later.
    pub fn respond_at(&mut self, at: TimePoint, exchange: ExchangeId, response: Response) {
        let response = Box::new(response);
        let event = SimEvent::Respond { exchange, response };
        self.queue.push(at, event);
    }

    /// Answers a request. The answer is lost if the sender closed the connection.
    pub fn respond(&mut self, exchange: ExchangeId, response: Response) {
        let Some(connection) = self.network.connection_of(exchange) else {
            return;
        };
        let (from, host, silent) = (connection.host, connection.pool.from, connection.silent);
        if silent {
            return;
        }
        if self.is_lossy() && self.rng.random_bool(self.network.loss) {
            let delay = self.delay(from, host);
            return self.fail_after(exchange, delay, true);
        }
        let response = Box::new(response);
        self.carry(from, host, SimEvent::Answer { exchange, response });
    }

    /// Closes the connections of a process that ended. Peers behind a cut do not notice.
    pub fn reset_connections(&mut self, party: Party) {
        for connection in self.network.connections_with(party) {
            let exchanges = self.network.exchanges_on(connection);
            if self.network.is_silent(connection) {
                continue;
            }
            let unreachable = exchanges.first().is_some_and(|&exchange| {
                let from = self.network.exchange(exchange).map(|known| known.from);
                from.is_some_and(|from| self.is_cut(party, from))
            });
            if unreachable {
                self.network.silence_one(connection);
                continue;
            }
            if exchanges.is_empty() {
                self.network.close(connection);
            }
            for exchange in exchanges {
                let from = self.network.exchange(exchange).map(|known| known.from);
                let delay = self.delay(party, from.unwrap_or(party));
                self.network.silence_one(connection);
                self.fail_after(exchange, delay, true);
            }
        }
    }

    /// Forgets the exchanges that a process began.
    pub fn forget_exchanges(&mut self, party: Party) {
        for exchange in self.network.exchanges_from(party) {
            self.network.end(self.now, exchange, false);
        }
        for connection in self.network.connections_with(party) {
            self.network.close(connection);
        }
    }
}
