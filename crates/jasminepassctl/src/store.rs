//! Reads objects of the platform, and changes the configuration by compare-and-swap on its version.

use std::time::Duration;

use config::{Configuration, check::check};
use edge::{client::SendError, platform::PlatformClient};
use model::{prelude::*, request::random_u64};
use proto::platform::{UpdateResult, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::CtlError;

const CONFIGURATION: &str = "configuration";
/// Maximum length of [`Configuration::earlier_changes`].
const MAX_EARLIER_CHANGES: usize = 32;
/// Number of reads that look for a change whose reply was lost.
const LOST_REPLY_READS: usize = 10;
const LOST_REPLY_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Reads an object and its version; the value is absent if the object does not exist.
pub async fn read_object<T: DeserializeOwned>(
    platform: &PlatformClient,
    name: &str,
) -> Result<(Version, Option<T>), CtlError> {
    let object = platform.get(name).await.map_err(CtlError::Platform)?;
    if object.value == Value::Null {
        return Ok((object.version, None));
    }
    let unreadable = |e: serde_json::Error| CtlError::Unreadable {
        object: name.to_owned(),
        reason: e.to_string(),
    };
    let value = serde_json::from_value(object.value).map_err(unreadable)?;
    Ok((object.version, Some(value)))
}

/// Reads the current configuration and the version of its object.
pub async fn read_configuration(
    platform: &PlatformClient,
) -> Result<(Version, Configuration), CtlError> {
    let (version, cfg) = read_object(platform, CONFIGURATION).await?;
    Ok((version, cfg.unwrap_or_else(Configuration::empty)))
}

/// Changes the current configuration and returns the changed one. `edit` gets the current configuration
/// and the identifier of the change.
///
/// # Errors
///
/// [`CtlError::Conflict`] if `expected` is given and is not the current generation, or if the
/// configuration was changed concurrently; [`CtlError::InvalidConfiguration`] if the edited configuration
/// does not pass [`check`].
pub async fn change_configuration(
    platform: &PlatformClient,
    expected: Option<Generation>,
    edit: impl FnOnce(&Configuration, u64) -> Result<Configuration, CtlError>,
) -> Result<Configuration, CtlError> {
    let (version, current) = read_configuration(platform).await?;
    if let Some(expected) = expected.filter(|expected| *expected != current.generation) {
        return Err(CtlError::Conflict { expected, found: current.generation });
    }
    let change_id = random_u64();
    let mut changed = edit(&current, change_id)?;
    changed.generation = Generation(current.generation.0 + 1);
    changed.change_id = change_id;
    changed.earlier_changes = earlier_changes(&current);
    let diagnostics = check(&changed);
    if !diagnostics.is_empty() {
        return Err(CtlError::InvalidConfiguration(diagnostics));
    }
    write_configuration(platform, version, &current, changed).await
}

fn earlier_changes(current: &Configuration) -> Vec<u64> {
    let changes = [current.change_id].into_iter().chain(current.earlier_changes.iter().copied());
    changes.take(MAX_EARLIER_CHANGES).collect()
}

async fn write_configuration(
    platform: &PlatformClient,
    version: Version,
    current: &Configuration,
    changed: Configuration,
) -> Result<Configuration, CtlError> {
    let value = serde_json::to_value(&changed).map_err(|e| CtlError::Usage(e.to_string()))?;
    match platform.update(CONFIGURATION, version, value).await {
        Ok(UpdateResult::Done { .. }) => Ok(changed),
        Ok(UpdateResult::Conflict { .. }) => {
            let (_, found) = read_configuration(platform).await?;
            Err(CtlError::Conflict { expected: current.generation, found: found.generation })
        }
        Err(error @ SendError::NotSent { .. }) => Err(CtlError::Platform(error)),
        Err(error) => resolve_lost_reply(platform, current, changed, error).await,
    }
}

/// The outcome of a change, as far as the current configuration shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change made the current configuration or one of the generations before it.
    Applied,
    /// Another change was made instead.
    Superseded,
    /// The configuration has not changed.
    NotApplied,
}

/// Returns the outcome of the change `change_id`, which was based on generation `based_on`, from the
/// current configuration `found`.
pub fn change_outcome(
    found: &Configuration,
    based_on: Generation,
    change_id: u64,
) -> ChangeOutcome {
    if found.change_id == change_id || found.earlier_changes.contains(&change_id) {
        return ChangeOutcome::Applied;
    }
    match found.generation > based_on {
        true => ChangeOutcome::Superseded,
        false => ChangeOutcome::NotApplied,
    }
}

/// Reads the configuration until it shows whether an update whose reply was lost was applied.
async fn resolve_lost_reply(
    platform: &PlatformClient,
    current: &Configuration,
    changed: Configuration,
    error: SendError,
) -> Result<Configuration, CtlError> {
    for _ in 0..LOST_REPLY_READS {
        if let Ok((_, found)) = read_configuration(platform).await {
            let expected = current.generation;
            match change_outcome(&found, expected, changed.change_id) {
                ChangeOutcome::Applied => return Ok(changed),
                ChangeOutcome::Superseded => {
                    return Err(CtlError::Conflict { expected, found: found.generation });
                }
                ChangeOutcome::NotApplied => {}
            }
        }
        // The update may still arrive, since the version that it expects is still the current one.
        tokio::time::sleep(LOST_REPLY_READ_INTERVAL).await;
    }
    Err(CtlError::UnknownOutcome { generation: changed.generation, error })
}
