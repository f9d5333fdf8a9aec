//! The ports that tests of real processes use.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use filbertpitch_standins::children::ports::{PortBlock, USABLE_PORTS, can_bind};

/// How many blocks are taken. With a check that listens, 6 ports were in use after 200 checks.
const ROUNDS: usize = 200;

/// Guards against a check of the ports that keeps them in use: a process that another test starts meanwhile
/// inherits the sockets of the check until it executes its program.
#[test]
fn ports_of_a_block_are_free_while_processes_start() {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                let mut command = Command::new(std::env::current_exe().expect("a path"));
                let child = command.arg("--list").stdout(Stdio::null()).spawn();
                child.expect("a process").wait().expect("an exit");
            }
        });
        let mut in_use = 0;
        for _ in 0..ROUNDS {
            let block = PortBlock::take();
            let listeners = (1..=USABLE_PORTS).map(|port| TcpListener::bind(block.at(port)));
            in_use += listeners.filter(Result::is_err).count();
        }
        done.store(true, Ordering::Relaxed);
        assert_eq!(in_use, 0);
    });
}

/// Guards against a check that takes a port for free at which a server listens.
#[test]
fn port_of_a_listener_is_not_free() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    assert!(!can_bind(address));
}

/// Guards against two tests that get the same ports.
#[test]
fn blocks_are_disjoint() {
    let blocks = (0..8).map(|_| PortBlock::take()).collect::<Vec<_>>();
    let mut first = blocks.iter().map(|block| block.at(1)).collect::<Vec<_>>();
    first.sort_unstable();
    first.dedup();
    assert_eq!(first.len(), blocks.len());
}
