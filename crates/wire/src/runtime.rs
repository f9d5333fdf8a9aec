//! The only way to build a runtime in this project.
//!
//! monoio's default runtime uses io_uring, which the environments of filbertpitch do not permit.
//! Building the runtime in one place keeps every process on epoll.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to completion on this thread, on epoll and with timers.
///
/// # Errors
/// When the operating system refuses to create the event queue.
pub fn run<F>(future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
