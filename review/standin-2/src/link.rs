//! A proxy in front of one server, which can be cut: it then passes no byte in either direction, and the end of a
//! connection is not passed on either.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a cut link looks whether it has healed.
const HEAL_POLL: Duration = Duration::from_millis(2);

/// A link. Clones share its state.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("a bound address"),
            cut: Arc::default(),
        };
        let cut = Arc::clone(&link.cut);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                std::thread::spawn(move || connect(client, server, &cut));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while_cut(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(HEAL_POLL);
    }
}

fn connect(client: TcpStream, server: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_while_cut(cut);
    let Ok(server) = TcpStream::connect(server) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let forward = Arc::clone(cut);
    std::thread::spawn(move || pump(from_client, server, &forward));
    pump(from_server, client, cut);
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer);
        wait_while_cut(cut);
        let passed = match read {
            Ok(0) | Err(_) => false,
            Ok(count) => to.write_all(&buffer[..count]).is_ok(),
        };
        if !passed {
            // Either side may be gone already.
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
