//! `key`: issues, lists and withdraws the keys of callers.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
};

use config::{Configuration, KeyRecord, KeyState};
use edge::platform::PlatformClient;
use model::{key::PresentedKey, prelude::*, request::random_u64};
use report::text::table;
use serde_json::json;

use crate::{
    error::CtlError,
    reply::Reply,
    rollout::{self, Wait},
    store::{change_configuration, read_configuration},
};

/// Maximum length of the workspace's name in a generated key name, which also holds a random suffix.
const MAX_NAME_PREFIX_BYTES: usize = 50;
const KEY_FILE_MODE: u32 = 0o600;

/// Issues a key for the workspace, with a generated name if `name` is absent. The key is in the reply, or
/// if `key_file` is given, only in that new file, which only its owner can read.
pub async fn issue(
    platform: &PlatformClient,
    workspace: &str,
    name: Option<&str>,
    key_file: Option<&str>,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let usage = |e: model::names::NameError| CtlError::Usage(e.to_string());
    let workspace = WorkspaceName::new(workspace).map_err(usage)?;
    let prefix: String = workspace.as_str().chars().take(MAX_NAME_PREFIX_BYTES).collect();
    let generated = || format!("{prefix}-{:08x}", random_u64() as u32);
    let name = KeyName::new(name.map_or_else(generated, str::to_owned)).map_err(usage)?;
    let key = PresentedKey::random(name.clone());
    // Create the file first, so that no key becomes valid that can't be saved.
    let file = key_file.map(|path| create_key_file(path).map(|file| (path, file))).transpose()?;
    let record = KeyRecord {
        name: name.clone(),
        workspace: workspace.clone(),
        hash: key.hash(),
        state: KeyState::Valid,
    };
    let result = change_configuration(platform, None, |current, _| with_key(current, record)).await;
    let changed = match (result, &file) {
        (Ok(changed), _) => changed,
        (Err(error @ CtlError::UnknownOutcome { .. }), Some((path, file))) => {
            // The key may be valid, so it is saved.
            write_key_file(path, file, &key)?;
            return Err(error);
        }
        (Err(error), Some((path, _))) => {
            // If removal fails, an empty file is left; the error that is reported matters more.
            let _ = std::fs::remove_file(path);
            return Err(error);
        }
        (Err(error), None) => return Err(error),
    };
    let generation = changed.generation.0;
    let mut json = json!({ "name": name, "workspace": workspace, "generation": generation });
    let text = match &file {
        Some((path, file)) => {
            write_key_file(path, file, &key)?;
            json["key_file"] = json!(path);
            format!("key {name} is in {path}")
        }
        None => {
            json["key"] = json!(key.reveal());
            key.reveal()
        }
    };
    rollout::wait_if_requested(platform, Reply::new(text, json), &changed, wait).await
}

fn with_key(current: &Configuration, record: KeyRecord) -> Result<Configuration, CtlError> {
    if !current.workspaces.iter().any(|w| w.name == record.workspace) {
        let name = record.workspace.to_string();
        let remedy = "check the name, or add it to the answers and `apply` them";
        return Err(CtlError::NotFound { what: "workspace", name, remedy });
    }
    let mut cfg = current.clone();
    cfg.keys.push(record);
    Ok(cfg)
}

fn create_key_file(path: &str) -> Result<File, CtlError> {
    let file = OpenOptions::new().write(true).create_new(true).mode(KEY_FILE_MODE).open(path);
    file.map_err(|error| CtlError::File { path: path.to_owned(), error })
}

fn write_key_file(path: &str, mut file: &File, key: &PresentedKey) -> Result<(), CtlError> {
    let written = writeln!(file, "{}", key.reveal());
    written.map_err(|error| CtlError::File { path: path.to_owned(), error })
}

/// Lists names, workspaces and states of the keys, of one workspace if given. Secrets and hashes are not
/// shown.
pub async fn list(platform: &PlatformClient, workspace: Option<&str>) -> Result<Reply, CtlError> {
    let (_, cfg) = read_configuration(platform).await?;
    let wanted = |key: &&KeyRecord| workspace.is_none_or(|w| w == key.workspace.as_str());
    let keys: Vec<&KeyRecord> = cfg.keys.iter().filter(wanted).collect();
    let row = |key: &&KeyRecord| {
        vec![key.name.to_string(), key.workspace.to_string(), state_name(key.state).to_owned()]
    };
    let rows: Vec<Vec<String>> = keys.iter().map(row).collect();
    let json: Vec<_> = keys
        .iter()
        .map(|k| json!({"name": k.name, "workspace": k.workspace, "state": k.state}))
        .collect();
    Ok(Reply::new(table(&["key", "workspace", "state"], &rows), json!({ "keys": json })))
}

fn state_name(state: KeyState) -> &'static str {
    match state {
        KeyState::Valid => "valid",
        KeyState::Withdrawn => "withdrawn",
    }
}

/// Withdraws the key with the given name, so that requests with it are refused.
pub async fn withdraw(
    platform: &PlatformClient,
    name: &str,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let changed = change_configuration(platform, None, |current, _| {
        let mut cfg = current.clone();
        let record = cfg.keys.iter_mut().find(|k| k.name.as_str() == name);
        let remedy = "list the keys with `key list`";
        let missing = || CtlError::NotFound { what: "key", name: name.to_owned(), remedy };
        record.ok_or_else(missing)?.state = KeyState::Withdrawn;
        Ok(cfg)
    });
    let changed = changed.await?;
    let generation = changed.generation.0;
    let text = format!("key {name} is withdrawn in generation {generation}");
    let reply = Reply::new(text, json!({ "name": name, "generation": generation }));
    rollout::wait_if_requested(platform, reply, &changed, wait).await
}
