//! `key`: gives and withdraws callers' keys.

use config::{KeyRecord, KeyState};
use edge::platform::Platform;
use eyre::eyre;
use model::{key::PresentedKey, prelude::*, request::random_u64};

use crate::store::change;

/// Makes a key for the workspace and prints it.
pub async fn give(platform: &Platform, workspace: &str, name: Option<&str>) -> eyre::Result<()> {
    let workspace = WorkspaceName::new(workspace)?;
    let name = match name {
        Some(name) => KeyName::new(name)?,
        None => KeyName::new(format!("{workspace}-{:08x}", random_u64() as u32))?,
    };
    let key = PresentedKey::random(name.clone());
    let record = KeyRecord { name, workspace, hash: key.hash(), state: KeyState::Valid };
    change(platform, |current, _| {
        let mut cfg = current.clone();
        cfg.keys.push(record);
        Ok(cfg)
    })
    .await?;
    println!("{}", key.reveal());
    Ok(())
}

/// Withdraws a key.
pub async fn withdraw(platform: &Platform, name: &str) -> eyre::Result<()> {
    let generation = change(platform, |current, _| {
        let mut cfg = current.clone();
        let record = cfg.keys.iter_mut().find(|k| k.name.as_str() == name);
        let record = record.ok_or_else(|| {
            eyre!("there is no key `{name}`: see which there are with `key list`")
        })?;
        record.state = KeyState::Withdrawn;
        Ok(cfg)
    });
    println!("withdrawn in generation {}", generation.await?.0);
    Ok(())
}
