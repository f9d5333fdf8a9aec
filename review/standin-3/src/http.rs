//! A small HTTP/1.1 server and client on threads.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as the server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| percent_decode(value))
        })
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = rest
            .get(1..3)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &rest[3..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A response to write.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            body: Vec::new(),
        }
    }

    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: value.to_string().into_bytes(),
        }
    }
}

/// Serves each connection on a thread of its own. `None` from the handler closes the connection.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(&stream, &*handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

fn serve_connection<F>(stream: &TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(Request) -> Option<Response>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(response.body);
        let mut writer = stream;
        writer.write_all(&bytes)?;
    }
    Ok(())
}

type Headers = Vec<(String, String)>;

fn read_head<R>(reader: &mut R) -> io::Result<Option<(String, Headers)>>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body<R>(reader: &mut R, headers: &Headers) -> io::Result<Vec<u8>>
where
    R: BufRead,
{
    let mut lengths = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = lengths
        .next()
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A call of a client on a connection of its own. Returns the status and the body, or `None` without a
/// complete response until `timeout` has passed; the connection is closed then.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    timeout: Duration,
    body: &str,
) -> Option<(u16, String)> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Filbertpitch-Deadline: {}\r\n\r\n{body}",
        body.len(),
        timeout.as_millis()
    );
    (&stream).write_all(head.as_bytes()).ok()?;
    let rest = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(rest)).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
