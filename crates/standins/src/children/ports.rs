//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use crate::declare::control_address;

/// Blocks lie below the ports that Linux gives to outgoing connections, so that no connection
/// takes the port of a process that is being restarted. The same holds for control ports.
const FIRST_PORT: u16 = 11_000;
const BLOCKS: u16 = 90;
const BLOCK_SIZE: u16 = 64;
/// The ports of a block that a test may use, from 1 on.
pub const USABLE_PORTS: u16 = BLOCK_SIZE - 1;
const TARGET_OFFSET: u16 = 32;

/// Consecutive ports that no other test uses, as long as this value exists.
pub struct PortBlock {
    base: u16,
    /// Holds the first port, which marks the block as taken for other test processes as well.
    _guard: TcpListener,
}

impl PortBlock {
    /// Takes a block.
    ///
    /// # Panics
    /// When no block is free.
    pub fn take() -> Self {
        let start = rand::random_range(0..BLOCKS);
        let blocks = (0..BLOCKS).map(|step| (start + step) % BLOCKS);
        let mut bases = blocks.map(|block| FIRST_PORT + block * BLOCK_SIZE);
        let block = bases.find_map(|base| {
            let guard = TcpListener::bind(loopback(base)).ok()?;
            let block = Self {
                base,
                _guard: guard,
            };
            block.is_free().then_some(block)
        });
        block.expect("a block of free ports")
    }

    fn is_free(&self) -> bool {
        let mut addresses = (1..BLOCK_SIZE).flat_map(|offset| {
            let address = self.at(offset);
            [address, control_address(address)]
        });
        addresses.all(can_bind)
    }

    /// The address at a place of the block, from 1 on.
    pub fn at(&self, offset: u16) -> SocketAddr {
        loopback(self.base + offset)
    }

    /// The log service.
    pub fn log(&self) -> SocketAddr {
        self.at(1)
    }

    /// The VM list.
    pub fn vm_list(&self) -> SocketAddr {
        self.at(2)
    }

    /// An entry VM.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.at(10 + u16::try_from(index).expect("a small index"))
    }

    /// A target.
    pub fn target(&self, index: usize) -> SocketAddr {
        self.at(TARGET_OFFSET + u16::try_from(index).expect("a small index"))
    }
}

/// Whether an address can be bound. The socket does not listen: a process that another thread starts
/// meanwhile inherits it until it executes its program, and a listening socket would keep the port in use
/// for so long.
pub fn can_bind(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None);
    socket.is_ok_and(|socket| {
        socket.set_reuse_address(true).is_ok() && socket.bind(&address.into()).is_ok()
    })
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
