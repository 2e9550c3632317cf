//! `apply`: makes the configuration generated from an answers file the current one.

use edge::platform::PlatformClient;
use model::prelude::*;
use serde_json::json;

use crate::{
    answers::generate_from_file,
    error::CtlError,
    plan::differences,
    reply::Reply,
    rollout::{self, Wait},
    store::{change_configuration, read_configuration},
};

/// Applies the answers in the file; if `expected` is given, only on top of that generation. Answers that
/// change nothing make no new generation, unless it is the first one.
pub async fn apply(
    platform: &PlatformClient,
    file: &str,
    expected: Option<Generation>,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let (_, current) = read_configuration(platform).await?;
    let is_first = current.generation == Generation(0);
    let changes = differences(&current, &generate_from_file(file, &current, 0)?).len();
    if changes == 0 && !is_first && expected.is_none_or(|e| e == current.generation) {
        let generation = current.generation.0;
        let text = format!("{file} changes nothing: generation {generation} stays current");
        return Ok(Reply::new(text, json!({ "generation": generation, "changed": false })));
    }
    let expected = expected.or(Some(current.generation));
    let changed = change_configuration(platform, expected, |current, id| {
        generate_from_file(file, current, id)
    })
    .await?;
    let generation = changed.generation.0;
    let reply = Reply::new(
        format!("generation {generation} is accepted"),
        json!({ "generation": generation, "changed": true }),
    );
    rollout::wait_if_requested(platform, reply, &changed, wait).await
}
