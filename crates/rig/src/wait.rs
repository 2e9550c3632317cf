//! Polls a condition until it holds or a timeout passes.

use std::time::{Duration, Instant};

use eyre::eyre;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` every 20 ms until it returns a value. Fails after 30 s; `what` names the
/// condition in the error.
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
            return Err(eyre!("timed out after {} s: {what}", TIMEOUT.as_secs()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
