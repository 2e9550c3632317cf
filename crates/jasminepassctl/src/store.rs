//! Changes of the configuration object, by conditional update.

use config::{
    Configuration,
    check::{Fault, check},
};
use edge::{client::SendError, platform::Platform};
use model::prelude::*;
use proto::platform::{Updated, Version};
use serde_json::Value;

const OBJECT: &str = "configuration";
const LOST_ANSWER_READS: usize = 10;

/// Why a change did not take effect.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// Somebody else changed the configuration meanwhile.
    #[error(
        "generation {ours} was made by another change meanwhile: look at what is in force, then apply again"
    )]
    Conflict {
        /// The generation that this change was to become.
        ours: u64,
    },
    /// The changed configuration has faults.
    #[error("the changed configuration has faults:\n{}", list(.0))]
    Faults(Vec<Fault>),
    /// The platform gave no answer.
    #[error("the platform gave no answer, and whether the change took effect is unknown: {0}")]
    Platform(#[from] SendError),
    /// The object can't be read.
    #[error(
        "the configuration in force can't be read: {0}; use a tool of the version that wrote it"
    )]
    Unreadable(String),
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|f| format!("  {f}")).collect::<Vec<_>>().join("\n")
}

/// The configuration in force and the version of its object.
pub async fn read(platform: &Platform) -> Result<(Version, Configuration), ChangeError> {
    let object = platform.get(OBJECT).await?;
    if object.value == Value::Null {
        return Ok((object.version, Configuration::empty()));
    }
    let cfg =
        serde_json::from_value(object.value).map_err(|e| ChangeError::Unreadable(e.to_string()))?;
    Ok((object.version, cfg))
}

/// Changes the configuration in force, and returns the generation that the change made.
pub async fn change(
    platform: &Platform,
    edit: impl FnOnce(&Configuration, u64) -> eyre::Result<Configuration>,
) -> eyre::Result<Generation> {
    let (version, current) = read(platform).await?;
    let change_id = model::request::random_u64();
    let mut changed = edit(&current, change_id)?;
    changed.generation = Generation(current.generation.0 + 1);
    changed.change_id = change_id;
    let faults = check(&changed);
    if !faults.is_empty() {
        return Err(ChangeError::Faults(faults).into());
    }
    let generation = changed.generation;
    let value = serde_json::to_value(&changed)?;
    match platform.update(OBJECT, version, value).await {
        Ok(Updated::Done { .. }) => Ok(generation),
        Ok(Updated::Conflict { .. }) => Err(ChangeError::Conflict { ours: generation.0 }.into()),
        Err(error) => Ok(resolve(platform, generation, change_id, error).await?),
    }
}

/// Finds out by reading whether an update whose answer was lost took effect.
async fn resolve(
    platform: &Platform,
    generation: Generation,
    change_id: u64,
    error: SendError,
) -> Result<Generation, ChangeError> {
    for _ in 0..LOST_ANSWER_READS {
        match read(platform).await {
            Ok((_, cfg)) if cfg.change_id == change_id => return Ok(generation),
            Ok((_, cfg)) if cfg.generation >= generation => {
                return Err(ChangeError::Conflict { ours: generation.0 });
            }
            _ => tokio::time::sleep(std::time::Duration::from_millis(200)).await,
        }
    }
    Err(error.into())
}
