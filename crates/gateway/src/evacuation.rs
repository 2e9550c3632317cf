//! Evacuations: data centres whose databases get no more work, for maintenance or because they are about to fail.

use std::collections::BTreeMap;

use model::prelude::*;

/// The data centres that are being evacuated, as far as this VM knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Version of the list in the store; zero before one was received.
    version: u64,
    /// When this VM learned of each evacuation.
    learned_at: BTreeMap<DcName, MonoTime>,
}

impl Evacuations {
    /// Replaces the list, unless it is older than the present one. Returns whether it was replaced.
    pub fn replace(
        &mut self,
        now: MonoTime,
        version: u64,
        dcs: impl IntoIterator<Item = DcName>,
    ) -> bool {
        if version < self.version {
            return false;
        }
        self.version = version;
        let before = std::mem::take(&mut self.learned_at);
        let learned_at = |dc: &DcName| before.get(dc).copied().unwrap_or(now);
        self.learned_at = dcs.into_iter().map(|dc| (dc.clone(), learned_at(&dc))).collect();
        true
    }

    /// Version of the list in use.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The data centres that are being evacuated, and when this VM learned of it.
    pub fn iter(&self) -> impl Iterator<Item = (&DcName, MonoTime)> {
        self.learned_at.iter().map(|(dc, at)| (dc, *at))
    }

    /// Whether the data centre is being evacuated.
    pub fn contains(&self, dc: &DcName) -> bool {
        self.learned_at.contains_key(dc)
    }
}
