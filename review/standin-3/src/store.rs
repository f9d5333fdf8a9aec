//! The platform's store: a log with topics. Each VM has a listener of its own, so that the store can turn
//! single machines away.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{Request, Response, serve};

/// How the store treats a machine: it serves it, or never answers its calls.
pub const SERVED: u8 = 0;
pub const UNANSWERED: u8 = 1;

/// The most records in a page of the newest ones.
const PAGE_RECORDS: usize = 500;

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
    last_conditional: Mutex<Option<String>>,
}

fn keyed_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![u8::try_from(key.len()).expect("a short key")];
    record.extend(key.as_bytes());
    record.extend(value);
    record
}

fn split_record(record: &[u8]) -> (&[u8], &[u8]) {
    let length = usize::from(record[0]);
    record[1..].split_at(length)
}

impl Store {
    /// Writes a record as the operator or an executor does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().expect("the topics");
        topics
            .entry(topic.to_owned())
            .or_default()
            .push(keyed_record(key, value));
        self.changed.notify_all();
    }

    /// Serves one machine until the program ends. The returned value says how the machine is turned away.
    pub fn serve_machine(self: &Arc<Self>, name: &str, listener: TcpListener) -> Arc<AtomicU8> {
        let access = Arc::new(AtomicU8::new(SERVED));
        let (store, turned, name) = (Arc::clone(self), Arc::clone(&access), name.to_owned());
        serve(listener, move |request| {
            let response = match turned.load(Ordering::SeqCst) {
                SERVED => Some(store.respond(&request, &turned)),
                _ => None,
            };
            let silent = || turned.load(Ordering::SeqCst) == UNANSWERED;
            let Some(response) = response.filter(|_| !silent()) else {
                // A connection on which a response is lost returns nothing further.
                loop {
                    thread::park();
                }
            };
            let conditional = request.parameter("at").is_some() && response.status == 200;
            if conditional {
                *store.last_conditional.lock().expect("the name") = Some(name.clone());
            }
            Some(response)
        });
        access
    }

    /// The machine that last wrote under a condition.
    pub fn last_conditional_writer(&self) -> Option<String> {
        self.last_conditional.lock().expect("the name").clone()
    }

    fn respond(&self, request: &Request, access: &AtomicU8) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/log-append") => self.append(request),
            ("GET", "/v1/log-newest") => self.newest(request),
            ("GET", "/v1/log-read") => self.read(request, access),
            _ => Response::empty(404),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::empty(403);
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, after)) = after.split_at_checked(length) else {
                return Response::empty(400);
            };
            records.push(record.to_vec());
            rest = after;
        }
        let mut topics = self.topics.lock().expect("the topics");
        let known = topics.entry(topic).or_default();
        let expected = request
            .parameter("at")
            .and_then(|at| at.parse::<usize>().ok());
        if expected.is_some_and(|at| at != known.len()) {
            return Response::json(412, &json!({ "endOffset": known.len() }));
        }
        let offset = known.len();
        known.extend(records);
        let end = known.len();
        self.changed.notify_all();
        Response::json(200, &json!({ "offset": offset, "endOffset": end }))
    }

    fn newest(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        let after = request.parameter("dependsOn");
        let topics = self.topics.lock().expect("the topics");
        let records = topics.get(&topic).map_or(&[][..], |records| &records[..]);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = split_record(record);
            match value.is_empty() {
                true => newest.remove(key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let later = |key: &[u8]| after.as_ref().is_none_or(|after| key > after.as_bytes());
        let rest = newest
            .into_iter()
            .filter(|(key, _)| later(key))
            .collect::<Vec<_>>();
        let items = rest.iter().take(PAGE_RECORDS).map(|(key, (offset, value))| {
            json!({ "key": String::from_utf8_lossy(key), "value": base64(value), "offset": offset })
        });
        let items = items.collect::<Vec<_>>();
        let more = rest.len() > items.len();
        Response::json(
            200,
            &json!({ "items": items, "hasMore": more, "endOffset": records.len() }),
        )
    }

    fn read(&self, request: &Request, access: &AtomicU8) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let most = number("maxKb").unwrap_or(1024) as usize * 1024;
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().expect("the topics");
        loop {
            let records = topics.get(&topic).map_or(&[][..], |records| &records[..]);
            let now = Instant::now();
            let turned_away = access.load(Ordering::SeqCst) != SERVED;
            if records.len() > from || now >= until || turned_away {
                if turned_away {
                    return Response::empty(503);
                }
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + 4 + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response { status: 200, body };
            }
            let wait = (until - now).min(Duration::from_millis(20));
            topics = self
                .changed
                .wait_timeout(topics, wait)
                .expect("the topics")
                .0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
