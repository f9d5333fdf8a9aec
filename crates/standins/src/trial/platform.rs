//! The platform's services: the log with reads that wait, and the VM list.

use std::time::Duration;

use filbertpitch_types::platform::ReadAnswer;
use filbertpitch_types::prelude::*;
use filbertpitch_types::time::ClockReading;

use super::message::{ExchangeId, Request, Response};
use super::sim::{SimEvent, Simulation};
use crate::log_model::{AppendResult, LogModel, ReadResult};
use crate::vm_model::VmModel;

/// How long the VM list takes to answer.
const LIST_LATENCY: Duration = Duration::from_millis(1);
/// How long an error takes.
const ERROR_LATENCY: Duration = Duration::from_millis(1);

/// A read that waits for records.
struct WaitingRead {
    exchange: ExchangeId,
    stream: &'static str,
    from: LogOffset,
    limit: u32,
    until: TimePoint,
}

/// The platform.
pub struct PlatformHost {
    /// The log.
    pub log: LogModel,
    /// The list of VMs.
    pub list: VmModel,
    waiting: Vec<WaitingRead>,
}

impl PlatformHost {
    /// A platform with these services.
    pub fn new(log: LogModel, list: VmModel) -> Self {
        Self {
            log,
            list,
            waiting: Vec::new(),
        }
    }
}

impl Simulation {
    /// The platform's clock.
    pub fn platform_clock(&self) -> ClockReading {
        self.clock_with_skew(0)
    }

    /// Handles a request to the log or the list.
    pub fn serve_platform(&mut self, exchange: ExchangeId, request: Request) {
        let clock = self.platform_clock();
        match request {
            Request::Append { stream, body } => match self.platform.log.append(clock, stream, body)
            {
                AppendResult::Stored { at, .. } => {
                    self.expect_ticket(stream, at);
                    self.respond_at(at, exchange, Response::Appended);
                    self.queue.push(at, SimEvent::LogVisible);
                }
                AppendResult::AnswerLost { at, .. } => {
                    self.expect_ticket(stream, at);
                    let failure = super::message::Failure { maybe_sent: true };
                    self.queue.push(at, SimEvent::Fail { exchange, failure });
                    self.queue.push(at, SimEvent::LogVisible);
                }
                AppendResult::Throttled | AppendResult::Unavailable => {
                    let at = self.now + ERROR_LATENCY;
                    self.respond_at(at, exchange, Response::Unavailable);
                }
            },
            Request::Read {
                stream,
                from,
                limit,
                wait,
            } => {
                let until = self.now + wait;
                self.queue.push(until, SimEvent::LogVisible);
                self.platform.waiting.push(WaitingRead {
                    exchange,
                    stream,
                    from,
                    limit,
                    until,
                });
                self.answer_reads();
            }
            Request::List => {
                let response = match self.platform.list.list(clock.time) {
                    Ok(list) => Response::List(list.clone()),
                    Err(_) => Response::Unavailable,
                };
                self.respond_at(self.now + LIST_LATENCY, exchange, response);
            }
            _ => unreachable!("not a request to the platform"),
        }
    }

    /// Answers the reads for which there is something, or whose wait is over.
    pub fn answer_reads(&mut self) {
        let clock = self.platform_clock();
        let waiting = std::mem::take(&mut self.platform.waiting);
        for read in waiting {
            let log = &mut self.platform.log;
            let result = log.read(clock, read.stream, read.from, read.limit as usize);
            let latency = log.read_latency();
            let response = match result {
                ReadResult::Records(answer)
                    if answer.records.is_empty() && clock.time < read.until =>
                {
                    self.platform.waiting.push(read);
                    continue;
                }
                ReadResult::Records(answer) => Response::Read(Box::<ReadAnswer>::new(answer)),
                ReadResult::Gone(answer) => Response::Gone(Box::new(answer)),
                ReadResult::Unavailable => Response::Unavailable,
            };
            self.respond_at(self.now + latency, read.exchange, response);
        }
    }
}
