//! Bounded waits on conditions.

use std::time::{Duration, Instant};

use eyre::eyre;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition gives a value; an error after half a minute.
pub async fn wait_until<T>(
    what: &str,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> eyre::Result<T> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(eyre!("{what}: not so within {} s", TIMEOUT.as_secs()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
