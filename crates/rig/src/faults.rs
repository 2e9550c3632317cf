//! Faults of databases, and who is primary.

use eyre::eyre;
use model::{prelude::*, request::stable_hash};
use serde_json::{Value, json};

use crate::{
    fleet::{DatabaseProcess, Fleet},
    wait::wait_until,
};

/// What happens to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its process is killed.
    Killed,
    /// Its process is stopped, and later continued.
    Frozen,
    /// Nobody reaches it.
    Isolated,
}

impl Fleet {
    /// A caller's slot key that falls into the first slot of the first service.
    pub fn first_slot_key(&self) -> eyre::Result<String> {
        let slots = self.cfg.services.first().map_or(0, |s| s.slots.len()) as u64;
        let first = |key: &String| stable_hash(key).checked_rem(slots) == Some(0);
        (0..10_000).map(|n| format!("key-{n}")).find(first).ok_or_else(|| eyre!("no slot"))
    }

    /// The database that is the first slot's primary as one of the VMs sees it, with its term: the
    /// view of the highest verified term.
    pub async fn first_primary(&self) -> Option<(u64, String)> {
        let mut best = None;
        for vm in &self.vms {
            let state = self.query_ops(vm, "/state").await.unwrap_or_default();
            best = best.max(verified_primary(&state));
        }
        best
    }

    /// Waits until the first slot has a verified primary other than the one given.
    pub async fn wait_for_other_primary(&self, old: &str) -> eyre::Result<(u64, String)> {
        let other = async || self.first_primary().await.filter(|(_, primary)| primary != old);
        wait_until(&format!("a primary other than {old}"), other).await
    }

    /// Waits until every VM that watches the first slot has seen every member follow its primary.
    pub async fn wait_until_healed(&self) -> eyre::Result<()> {
        for vm in &self.vms {
            let healed = async || {
                let state = self.query_ops(vm, "/state").await?;
                let slot = &state["slots"][0];
                (slot["held"] == json!(false) || slot["in_step"] == json!(true)).then_some(())
            };
            wait_until(&format!("every member follows, as {} sees it", vm.vm), healed).await?;
        }
        Ok(())
    }

    /// Lets the fault happen to the database.
    pub async fn inject_fault(&mut self, fault: Fault, database: &str) -> eyre::Result<()> {
        match fault {
            Fault::Killed => self.database_mut(database)?.process.kill(),
            Fault::Frozen => self.database_mut(database)?.process.freeze(),
            Fault::Isolated => self.set_isolated(database, true).await,
        }
    }

    /// Ends the fault; a killed database stays killed.
    pub async fn end_fault(&mut self, fault: Fault, database: &str) -> eyre::Result<()> {
        match fault {
            Fault::Killed => Ok(()),
            Fault::Frozen => self.database_mut(database)?.process.thaw(),
            Fault::Isolated => self.set_isolated(database, false).await,
        }
    }

    async fn set_isolated(&mut self, database: &str, isolated: bool) -> eyre::Result<()> {
        let at = self.index_of(database)?;
        self.set_faults(&self.databases[at].process, &json!({"isolated": isolated})).await
    }

    fn database_mut(&mut self, name: &str) -> eyre::Result<&mut DatabaseProcess> {
        let at = self.index_of(name)?;
        Ok(&mut self.databases[at])
    }

    fn index_of(&self, name: &str) -> eyre::Result<usize> {
        let named = |d: &DatabaseProcess| d.name.as_str() == name;
        self.databases.iter().position(named).ok_or_else(|| eyre!("no database {name}"))
    }
}

fn verified_primary(state: &Value) -> Option<(u64, String)> {
    let slot = &state["slots"][0];
    let verified = slot["held"] == json!(true) && slot["primary_verified"] == json!(true);
    let term: Term = serde_json::from_value(slot["term"].clone()).ok().filter(|_| verified)?;
    Some((term.0, slot["primary"].as_str()?.to_owned()))
}
