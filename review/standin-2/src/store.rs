//! The platform's store: a log of topics with one partition each.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::{Request, Response, serve};

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("a bound address"),
            state: Arc::default(),
        };
        let served = store.clone();
        serve(listener, move |request| Some(served.respond(&request)));
        store
    }

    /// Appends a record as another client of the store would.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }

    fn respond(&self, request: &Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match (&*request.method, &*request.path) {
            ("POST", "/v1/log-append") => self.append(request, &topic),
            ("GET", "/v1/log-newest") => self.newest(request, &topic),
            ("GET", "/v1/log-read") => self.read(request, &topic),
            _ => Response::json(404, &json!({})),
        }
    }

    fn append(&self, request: &Request, topic: &str) -> Response {
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let expected = request.query.get("at").and_then(|at| at.parse().ok());
        if expected.is_some_and(|expected: usize| expected != records.len()) {
            return Response::json(412, &json!({ "endOffset": records.len() }));
        }
        let first = records.len();
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, after) = after.split_at(length.min(after.len()));
            records.push(record.to_vec());
            rest = after;
        }
        let end = records.len();
        changed.notify_all();
        Response::json(200, &json!({ "offset": first, "endOffset": end }))
    }

    fn newest(&self, request: &Request, topic: &str) -> Response {
        let topics = self.state.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |records| &records[..]);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (length, rest) = record.split_first().expect("a record has a key");
            let (key, value) = rest.split_at(usize::from(*length));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let after = request.query.get("dependsOn");
        let items = newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .map(|(key, (offset, value))| {
                json!({ "key": key, "value": encode_base64(value), "offset": offset })
            });
        let items = items.collect::<Vec<_>>();
        let body = json!({ "items": items, "hasMore": false, "endOffset": records.len() });
        Response::json(200, &body)
    }

    fn read(&self, request: &Request, topic: &str) -> Response {
        let number = |name| request.query.get(name).and_then(|text| text.parse().ok());
        let from = number("from").unwrap_or(0_u64) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |records| &records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response {
                    status: 200,
                    content_type: "application/octet-stream",
                    body,
                };
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
