//! `key`: gives, lists and withdraws callers' keys.

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
    force::{self, Wait},
    reply::Reply,
    store::{change, read},
};

const NAME_STEM_MAX_BYTES: usize = 50;
const KEY_FILE_MODE: u32 = 0o600;

/// Makes a key for the workspace. It is shown this once, or written to a new file that only its owner
/// can read.
pub async fn give(
    platform: &PlatformClient,
    workspace: &str,
    name: Option<&str>,
    key_file: Option<&str>,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let usage = |e: model::names::NameError| CtlError::Usage(e.to_string());
    let workspace = WorkspaceName::new(workspace).map_err(usage)?;
    let stem: String = workspace.as_str().chars().take(NAME_STEM_MAX_BYTES).collect();
    let made_up = || format!("{stem}-{:08x}", random_u64() as u32);
    let name = KeyName::new(name.map_or_else(made_up, str::to_owned)).map_err(usage)?;
    let key = PresentedKey::random(name.clone());
    // A file that can't be written is found out before the key works.
    let file = key_file.map(|path| create(path).map(|file| (path, file))).transpose()?;
    let record = KeyRecord {
        name: name.clone(),
        workspace: workspace.clone(),
        hash: key.hash(),
        state: KeyState::Valid,
    };
    let given = change(platform, None, |current, _| add(current, record)).await;
    let changed = match (given, &file) {
        (Ok(changed), _) => changed,
        (Err(error @ CtlError::Unknown { .. }), Some((path, file))) => {
            // The key may work, so it is kept.
            write(path, file, &key)?;
            return Err(error);
        }
        (Err(error), Some((path, _))) => {
            // The file is empty; that it stays would be a lesser fault than the one reported.
            let _ = std::fs::remove_file(path);
            return Err(error);
        }
        (Err(error), None) => return Err(error),
    };
    let generation = changed.generation.0;
    let mut json = json!({ "name": name, "workspace": workspace, "generation": generation });
    let text = match &file {
        Some((path, file)) => {
            write(path, file, &key)?;
            json["key_file"] = json!(path);
            format!("key {name} is in {path}")
        }
        None => {
            json["key"] = json!(key.reveal());
            key.reveal()
        }
    };
    force::wait_if_asked(platform, Reply::new(text, json), &changed, wait).await
}

fn add(current: &Configuration, record: KeyRecord) -> Result<Configuration, CtlError> {
    if !current.workspaces.iter().any(|w| w.name == record.workspace) {
        let name = record.workspace.to_string();
        let remedy = "see the workspaces of the answers in force with `status`";
        return Err(CtlError::NotFound { what: "workspace", name, remedy });
    }
    let mut cfg = current.clone();
    cfg.keys.push(record);
    Ok(cfg)
}

fn create(path: &str) -> Result<File, CtlError> {
    let file = OpenOptions::new().write(true).create_new(true).mode(KEY_FILE_MODE).open(path);
    file.map_err(|error| CtlError::File { path: path.to_owned(), error })
}

fn write(path: &str, mut file: &File, key: &PresentedKey) -> Result<(), CtlError> {
    let written = writeln!(file, "{}", key.reveal());
    written.map_err(|error| CtlError::File { path: path.to_owned(), error })
}

/// Lists the keys. Neither keys nor hashes are shown.
pub async fn list(platform: &PlatformClient, workspace: Option<&str>) -> Result<Reply, CtlError> {
    let (_, cfg) = read(platform).await?;
    let wanted = |key: &&KeyRecord| workspace.is_none_or(|w| w == key.workspace.as_str());
    let keys: Vec<&KeyRecord> = cfg.keys.iter().filter(wanted).collect();
    let row = |key: &&KeyRecord| {
        vec![key.name.to_string(), key.workspace.to_string(), state_word(key.state).to_owned()]
    };
    let rows: Vec<Vec<String>> = keys.iter().map(row).collect();
    let json: Vec<_> = keys
        .iter()
        .map(|k| json!({"name": k.name, "workspace": k.workspace, "state": k.state}))
        .collect();
    Ok(Reply::new(table(&["key", "workspace", "state"], &rows), json!({ "keys": json })))
}

fn state_word(state: KeyState) -> &'static str {
    match state {
        KeyState::Valid => "valid",
        KeyState::Withdrawn => "withdrawn",
    }
}

/// Withdraws a key.
pub async fn withdraw(
    platform: &PlatformClient,
    name: &str,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let changed = change(platform, None, |current, _| {
        let mut cfg = current.clone();
        let record = cfg.keys.iter_mut().find(|k| k.name.as_str() == name);
        let remedy = "see which there are with `key list`";
        let missing = || CtlError::NotFound { what: "key", name: name.to_owned(), remedy };
        record.ok_or_else(missing)?.state = KeyState::Withdrawn;
        Ok(cfg)
    });
    let changed = changed.await?;
    let generation = changed.generation.0;
    let text = format!("key {name} is withdrawn in generation {generation}");
    let reply = Reply::new(text, json!({ "name": name, "generation": generation }));
    force::wait_if_asked(platform, reply, &changed, wait).await
}
