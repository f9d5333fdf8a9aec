//! Waiting for events.

use std::time::{Duration, Instant};

/// The longest wait for an event that must happen. It bounds a failing test and is no measure of
/// the product, so it allows for a machine that is several times overcommitted.
const EVENT_LIMIT: Duration = Duration::from_secs(30);
/// The pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pauses this test.
pub async fn sleep(length: Duration) {
    monoio::time::sleep(length).await;
}

/// Waits until `look` finds something.
///
/// # Panics
/// When it finds nothing for [`EVENT_LIMIT`].
pub async fn wait_for<T, Look>(what: &str, mut look: Look) -> T
where
    Look: AsyncFnMut() -> Option<T>,
{
    let begun = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(begun.elapsed() < EVENT_LIMIT, "waited in vain: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
