//! A small HTTP/1.1 server and client with one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

/// A request as the server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

pub struct Response {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: &Value) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.to_string().into_bytes(),
        }
    }
}

/// Serves requests until the process ends. A handler that returns `None` closes the connection
/// without a response.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // The connection ends with the first error, as the client sees.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection<F>(stream: TcpStream, handler: &F) -> std::io::Result<()>
where
    F: Fn(Request) -> Option<Response>,
{
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let mut message = format!(
            "HTTP/1.1 {} -\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.content_type,
            response.body.len()
        )
        .into_bytes();
        message.extend_from_slice(&response.body);
        writer.write_all(&message)?;
    }
    Ok(())
}

/// The header lines up to the empty one, with names in lower case; `None` at the end of the input.
fn read_head<R>(reader: &mut R) -> std::io::Result<Option<(String, BTreeMap<String, String>)>>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim_end().is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body<R>(reader: &mut R, headers: &BTreeMap<String, String>) -> std::io::Result<Vec<u8>>
where
    R: BufRead,
{
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request<R>(reader: &mut R) -> std::io::Result<Option<Request>>
where
    R: BufRead,
{
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode_percent(value)));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digit = |byte: Option<u8>| byte.and_then(|it| char::from(it).to_digit(16)).unwrap_or(0);
        bytes.push(match byte {
            b'%' => (digit(rest.next()) * 16 + digit(rest.next())) as u8,
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own. Returns the status and the body, or `None` if there was no
/// complete response in time.
pub fn call(
    address: SocketAddr,
    request: (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let (method, path) = request;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut message = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        message += &format!("{name}: {value}\r\n");
    }
    message += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
