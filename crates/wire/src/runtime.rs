//! The async runtime, always built on epoll.
//!
//! monoio's default runtime uses io_uring, which the environments where filbertpitch runs do not
//! permit. All processes build their runtime here, so that none uses io_uring.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to completion on the current thread, on an epoll runtime with timers enabled.
///
/// # Errors
/// When the operating system cannot create the event queue.
pub fn run<F>(future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
