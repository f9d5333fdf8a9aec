//! A small HTTP/1.1 server with a thread for each connection, and a client that uses each connection once.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

pub struct Response {
    pub status: u16,
    pub kind: &'static str,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            kind: "application/json",
            body: body.into_bytes(),
        }
    }
}

pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let mut buffer = [0; 16384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|it| it == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => rest.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
    let mut message = Message {
        line,
        headers: headers.collect(),
        body: Vec::new(),
    };
    let length = message.header("content-length");
    let length = length.and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
    while rest.len() < length {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => rest.extend_from_slice(&buffer[..count]),
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

/// A server that can be stopped: its listener and all its connections are then closed.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves at a loopback address; port 0 chooses a free one. A handler that returns `None` closes the
    /// connection without a response.
    pub fn start<F>(address: &str, handler: F) -> io::Result<Self>
    where
        F: Fn(&Message) -> Option<Response> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (is_stopped, open) = (Arc::clone(&stopped), Arc::clone(&connections));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self {
            address,
            stopped,
            connections,
        })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve<F>(mut stream: TcpStream, handler: &F)
where
    F: Fn(&Message) -> Option<Response>,
{
    let mut rest = Vec::new();
    while let Ok(request) = read_message(&mut stream, &mut rest) {
        let Some(response) = handler(&request) else {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {} Reason\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.kind,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Opens a connection, sends a request and returns the connection.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    deadline: Duration,
    body: &str,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Filbertpitch-Deadline: {}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    Ok(stream)
}

/// Reads the response to a request.
pub fn receive(stream: &mut TcpStream) -> io::Result<Message> {
    read_message(stream, &mut Vec::new())
}

/// Sends a request on a connection of its own and waits for the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    deadline: Duration,
    body: &str,
) -> io::Result<Message> {
    receive(&mut send(address, method, path, host, deadline, body)?)
}
