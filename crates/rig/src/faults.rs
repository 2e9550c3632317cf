//! Injects faults into databases and finds the primary of the first service's first slot.

use eyre::eyre;
use model::{prelude::*, request::stable_hash};
use serde_json::{Value, json};

use crate::{
    fleet::{DatabaseProcess, Fleet},
    wait::wait_until,
};

/// A fault injected into a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills the process.
    Killed,
    /// Suspends the process until [`Fleet::end_fault`].
    Frozen,
    /// Holds every request to the database back until [`Fleet::end_fault`].
    Isolated,
}

impl Fleet {
    /// Returns a slot key that maps to the first slot of the first service.
    pub fn first_slot_key(&self) -> eyre::Result<String> {
        let slots = self.cfg.services.first().map_or(0, |s| s.slots.len()) as u64;
        let first = |key: &String| stable_hash(key).checked_rem(slots) == Some(0);
        (0..10_000)
            .map(|n| format!("key-{n}"))
            .find(first)
            .ok_or_else(|| eyre!("no slot key maps to the first slot"))
    }

    /// Returns term and name of the first slot's primary: of the verified primaries that the VMs
    /// report, the one with the highest term.
    pub async fn first_primary(&self) -> Option<(u64, String)> {
        let mut best = None;
        for vm in &self.vms {
            let state = self.query_ops(vm, "/state").await.unwrap_or_default();
            best = best.max(verified_primary(&state));
        }
        best
    }

    /// Waits until the first slot has a verified primary other than `old` and returns its term and
    /// name.
    pub async fn wait_for_other_primary(&self, old: &str) -> eyre::Result<(u64, String)> {
        let other = async || self.first_primary().await.filter(|(_, primary)| primary != old);
        wait_until(&format!("a primary other than {old}"), other).await
    }

    /// Waits until every VM that holds the first slot reports all its members in step with the
    /// primary.
    pub async fn wait_until_healed(&self) -> eyre::Result<()> {
        for vm in &self.vms {
            let healed = async || {
                let state = self.query_ops(vm, "/state").await?;
                let slot = &state["slots"][0];
                (slot["held"] == json!(false) || slot["in_step"] == json!(true)).then_some(())
            };
            wait_until(&format!("all members in step as reported by {}", vm.vm), healed).await?;
        }
        Ok(())
    }

    /// Injects the fault into the database.
    pub async fn inject_fault(&mut self, fault: Fault, database: &str) -> eyre::Result<()> {
        match fault {
            Fault::Killed => self.database_mut(database)?.process.kill(),
            Fault::Frozen => self.database_mut(database)?.process.freeze(),
            Fault::Isolated => self.set_isolated(database, true).await,
        }
    }

    /// Ends the fault. A killed database isn't started again.
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

/// Reads term and name of the first slot's verified primary from a VM's `/state`.
fn verified_primary(state: &Value) -> Option<(u64, String)> {
    let slot = &state["slots"][0];
    let verified = slot["held"] == json!(true) && slot["primary_verified"] == json!(true);
    let term: Term = serde_json::from_value(slot["term"].clone()).ok().filter(|_| verified)?;
    Some((term.0, slot["primary"].as_str()?.to_owned()))
}
