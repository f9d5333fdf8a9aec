//! The platform's metadata store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Response, Server};

/// The most records of a page with the newest records, and its most bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// The key and the value of a record. A record without a value drops its key.
type Record = (Vec<u8>, Vec<u8>);

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Record>>,
}

/// The store. Clones share the state.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    pub fn serve(&self) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start("127.0.0.1:0", move |request| Some(store.respond(request)))
    }

    pub fn put(&self, topic: &str, key: &[u8], value: &[u8]) -> usize {
        let mut state = self.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_vec(), value.to_vec()));
        records.len()
    }

    fn respond(&self, request: &Message) -> Response {
        match (request.method(), request.path()) {
            ("POST", "/v1/log-append") => self.append(request),
            ("GET", "/v1/log-newest") => self.newest(request),
            ("GET", "/v1/log-read") => self.read(request),
            _ => Response::json(404, "{}".into()),
        }
    }

    fn append(&self, request: &Message) -> Response {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let mut state = self.0.lock().unwrap();
        let records = state.topics.entry(topic).or_default();
        let at = request.query("at").and_then(|at| at.parse().ok());
        if at.is_some_and(|at: usize| at != records.len()) {
            return Response::json(412, format!("{{\"endOffset\":{}}}", records.len()));
        }
        let offset = records.len();
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (Some(record), Some(after)) = (after.get(..length), after.get(length..)) else {
                return Response::json(400, "{}".into());
            };
            rest = after;
            let key_length = usize::from(record[0]);
            let (key, value) = record[1..].split_at(key_length);
            records.push((key.to_vec(), value.to_vec()));
        }
        let end = records.len();
        Response::json(200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}"))
    }

    fn newest(&self, request: &Message) -> Response {
        let topic = request.query("topic").unwrap_or_default();
        let after = request.query("dependsOn").map(decode_percent);
        let state = self.0.lock().unwrap();
        let records = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value.is_empty() {
                true => newest.remove(&key[..]),
                false => newest.insert(&key[..], (offset, &value[..])),
            };
        }
        let rest = newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| ***key > after[..]));
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in rest {
            bytes += value.len();
            if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            let key = quote(&String::from_utf8_lossy(key));
            let value = base64(value);
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), records.len());
        Response::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{more},\"endOffset\":{end}}}"),
        )
    }

    fn read(&self, request: &Message) -> Response {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let most = number("maxKb").unwrap_or(1024) as usize * 1024;
        let started = Instant::now();
        loop {
            {
                let state = self.0.lock().unwrap();
                let records = state
                    .topics
                    .get(&topic)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                if from < records.len() || started.elapsed() >= wait {
                    let mut body = Vec::new();
                    body.extend_from_slice(&(records.len() as u64).to_be_bytes());
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for (key, value) in records.iter().skip(from) {
                        let length = 1 + key.len() + value.len();
                        if body.len() > 16 && body.len() + length > most {
                            break;
                        }
                        body.extend_from_slice(&(length as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend_from_slice(key);
                        body.extend_from_slice(value);
                    }
                    return Response {
                        status: 200,
                        kind: "application/octet-stream",
                        body,
                    };
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }
}

fn decode_percent(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    decoded
}

/// A JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for next in text.chars() {
        match next {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(next);
            }
            control if control < ' ' => quoted.push_str(&format!("\\u{:04x}", control as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = (0..3).fold(0_u32, |value, at| {
            value << 8 | u32::from(chunk.get(at).copied().unwrap_or(0))
        });
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
