//! Gives new slots their first primary.

use std::time::Duration;

use config::{Configuration, Database, Service, Slot};
use edge::client::Client;
use eyre::{WrapErr, eyre};
use model::prelude::*;
use proto::database::{DatabaseError, Fence, Follow, Promote, SlotStatus};
use serde::Serialize;

const TIMEOUT: Duration = Duration::from_secs(5);
const FIRST_TERM: Term = Term(1);
const PROPOSER: &str = "bootstrap";

/// Makes the first member of every slot its primary in the first term, and lets the others follow.
/// Services whose databases are not running are left out.
pub async fn bootstrap(cfg: &Configuration, running: &[DatabaseName]) -> eyre::Result<()> {
    let client = Client::new(PROPOSER);
    for service in &cfg.services {
        let runs = service.databases.iter().all(|d| running.contains(&d.name));
        if !runs {
            continue;
        }
        for slot in &service.slots {
            bootstrap_slot(&client, service, slot).await?;
        }
    }
    Ok(())
}

async fn bootstrap_slot(client: &Client, service: &Service, slot: &Slot) -> eyre::Result<()> {
    let find = |name: &DatabaseName| service.databases.iter().find(|d| d.name == *name);
    let members: Vec<&Database> = slot.members.iter().filter_map(find).collect();
    let (primary, replicas) =
        members.split_first().ok_or_else(|| eyre!("slot {} has no member", slot.name))?;
    let (name, slot_name) = (&service.name, &slot.name);
    for member in &members {
        let fence = Fence {
            service: name.clone(),
            slot: slot_name.clone(),
            term: FIRST_TERM,
            proposer: PROPOSER.to_owned(),
        };
        ask(client, member, "/fence", &fence).await?;
    }
    let promote = Promote {
        service: name.clone(),
        slot: slot_name.clone(),
        term: FIRST_TERM,
        proposer: PROPOSER.to_owned(),
    };
    ask(client, primary, "/promote", &promote).await?;
    for replica in replicas {
        let follow = Follow {
            service: name.clone(),
            slot: slot_name.clone(),
            term: FIRST_TERM,
            primary: primary.name.clone(),
            primary_admin_address: primary.admin_address.clone(),
        };
        ask(client, replica, "/follow", &follow).await?;
    }
    Ok(())
}

async fn ask(
    client: &Client,
    database: &Database,
    path: &str,
    message: &impl Serialize,
) -> eyre::Result<SlotStatus> {
    let reply = client
        .post_json::<SlotStatus, DatabaseError>(&database.admin_address, path, message, TIMEOUT)
        .await;
    reply?.wrap_err_with(|| format!("{path} at {}", database.name))
}
