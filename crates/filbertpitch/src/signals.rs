//! Signals as events of the loop.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receives some signals.
///
/// A signal handler may do little more than write to a descriptor, so each signal becomes a byte
/// in a socket that the loop reads.
struct SignalSocket {
    reader: UnixStream,
}

impl SignalSocket {
    fn register(signals: &[i32]) -> io::Result<Self> {
        let (reader, writer) = StdUnixStream::pair()?;
        reader.set_nonblocking(true)?;
        for signal in signals {
            pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(Self {
            reader: UnixStream::from_std(reader)?,
        })
    }

    async fn next(&mut self) -> io::Result<()> {
        let (result, _) = self.reader.read(vec![0; 1]).await;
        match result? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Receives SIGTERM and SIGINT.
pub struct TerminationSignals(SignalSocket);

impl TerminationSignals {
    /// Starts to receive the signals. Must be called inside a runtime.
    ///
    /// # Errors
    /// When the operating system refuses the sockets or the handlers.
    pub fn register() -> io::Result<Self> {
        SignalSocket::register(&[SIGTERM, SIGINT]).map(Self)
    }

    /// Waits for the next signal. Signals that arrive close together may count as one.
    ///
    /// # Errors
    /// When the socket fails, which makes further signals impossible to receive.
    pub async fn next(&mut self) -> io::Result<()> {
        self.0.next().await
    }
}

/// Receives SIGHUP.
pub struct ReloadSignals(SignalSocket);

impl ReloadSignals {
    /// Starts to receive the signal. Must be called inside a runtime.
    ///
    /// # Errors
    /// When the operating system refuses the sockets or the handler.
    pub fn register() -> io::Result<Self> {
        SignalSocket::register(&[SIGHUP]).map(Self)
    }

    /// Waits for the next signal. Signals that arrive close together may count as one.
    ///
    /// # Errors
    /// When the socket fails, which makes further signals impossible to receive.
    pub async fn next(&mut self) -> io::Result<()> {
        self.0.next().await
    }
}
