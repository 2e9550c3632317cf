//! `apply`: puts the configuration of a team's answers in force.

use config::answers::{AnswersError, generate};
use edge::platform::Platform;
use eyre::{WrapErr, eyre};

use crate::store::change;

/// Generates the configuration of the answers in `file` and puts it in force.
pub async fn apply(platform: &Platform, file: &str) -> eyre::Result<()> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    let generation = change(platform, |current, change_id| {
        generate(&text, current, change_id).map_err(|error| match error {
            AnswersError::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(|f| format!("  {f}")).collect();
                eyre!("{file} has {} faults:\n{}", faults.len(), lines.join("\n"))
            }
            other => eyre!("{file}: {other}"),
        })
    });
    println!("generation {} is accepted", generation.await?.0);
    Ok(())
}
