//! Replays traces of configuration changes and of VMs that start, stop and fail: the real fleet
//! controllers of all VMs, with a simulated platform and network. Checks that every VM adopts the newest
//! configuration and never goes back to an older one.

mod network;
mod world;

pub use world::{Traffic, World};

use config::{Configuration, DataCentre, Database, KeyRecord, KeyState, Service, Slot};
use model::{key::KeyHash, prelude::*, request::stable_hash};
use serde::Deserialize;

/// An event of a trace, or an expectation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum FleetTraceEvent {
    /// Starts a VM under a new incarnation and puts it on the platform's list.
    Start {
        /// Name of the VM.
        vm: VmName,
        /// Data centre of the VM.
        dc: DcName,
    },
    /// Ends a VM at once and takes it off the platform's list.
    Kill {
        /// Name of the VM.
        vm: VmName,
    },
    /// Suspends a VM; messages to it are queued.
    Freeze {
        /// Name of the VM.
        vm: VmName,
    },
    /// Resumes a frozen VM, which first handles the queued messages.
    Thaw {
        /// Name of the VM.
        vm: VmName,
    },
    /// Begins a planned stop of a VM.
    Stop {
        /// Name of the VM.
        vm: VmName,
    },
    /// Tells a VM of all VMs on the platform's list, as the peer addresses in its settings would.
    Introduce {
        /// Name of the VM.
        vm: VmName,
    },
    /// Applies a new generation of the configuration on the platform.
    Apply,
    /// Begins or ends an outage of the platform.
    PlatformDown {
        /// Whether the platform is down.
        down: bool,
    },
    /// Cuts a data centre off from the platform, or ends the cut.
    CutPlatform {
        /// Name of the data centre.
        dc: DcName,
        /// Whether the data centre is cut off.
        cut: bool,
    },
    /// Cuts two data centres off from each other, or ends the cut.
    Cut {
        /// Name of the first data centre.
        dc: DcName,
        /// Name of the second data centre.
        other: DcName,
        /// Whether the two are cut off.
        cut: bool,
    },
    /// Expects the generation of the VMs' current configuration.
    ExpectGeneration {
        /// Names of the VMs; all running VMs if empty or absent.
        #[serde(default)]
        vms: Vec<VmName>,
        /// Expected generation.
        generation: Generation,
    },
    /// Expects whether a VM trusts its list of keys, which it does only while the list is recent enough.
    ExpectTrust {
        /// Name of the VM.
        vm: VmName,
        /// Whether the VM trusts its list of keys.
        trusts: bool,
    },
    /// Expects which VMs a VM considers live.
    ExpectLive {
        /// Name of the VM that is asked.
        vm: VmName,
        /// Names of the live VMs, in the order in which the VM lists them.
        live: Vec<VmName>,
    },
    /// Expects how many VMs of a data centre watch the platform.
    ExpectWatchers {
        /// Name of the data centre.
        dc: DcName,
        /// Lowest number of watching VMs.
        least: usize,
        /// Highest number of watching VMs.
        most: usize,
    },
}

/// Returns a configuration of the given generation. Each generation adds a key and withdraws all others.
pub fn configuration(generation: u64, dcs: &[DcName], cut_off_trust_s: u64) -> Configuration {
    let key = |number: u64| KeyRecord {
        name: KeyName::new(format!("k{number}")).expect("a name"),
        workspace: WorkspaceName::new("w1").expect("a name"),
        hash: KeyHash(format!("{number:064x}")),
        state: if number < generation { KeyState::Withdrawn } else { KeyState::Valid },
    };
    Configuration {
        generation: Generation(generation),
        change_id: generation,
        data_centres: dcs.iter().map(|name| DataCentre { name: name.clone() }).collect(),
        holders_per_database: 2,
        cut_off_trust_s,
        keys: (0..generation + 1).map(key).collect(),
        ..Configuration::empty()
    }
}

/// Returns a configuration of a large fleet, of generation 1, with about that many databases and
/// `keys` keys. Each service has three databases and three slots; its databases are in successive data
/// centres.
pub fn large_configuration(databases: usize, keys: u64, dcs: &[DcName]) -> Configuration {
    let service = |number: usize| {
        let name = |part: usize| format!("service-{number}-database-{part}");
        let database = |part: usize| Database {
            name: DatabaseName::new(name(part)).expect("a name"),
            dc: dcs[(number + part) % dcs.len()].clone(),
            address: format!("10.{}.{}.{part}:7100", number / 250, number % 250),
            admin_address: format!("10.{}.{}.{part}:7101", number / 250, number % 250),
            connection_limit: 20,
            leaving: false,
        };
        let slot = |part: usize| Slot {
            name: SlotName::new(format!("slot-{part}")).expect("a name"),
            members: (0..3)
                .map(|n| DatabaseName::new(name((n + part) % 3)).expect("a name"))
                .collect(),
        };
        Service {
            name: ServiceName::new(format!("service-{number}")).expect("a name"),
            databases: (0..3).map(database).collect(),
            slots: (0..3).map(slot).collect(),
            routes: Vec::new(),
        }
    };
    let key = |number: u64| KeyRecord {
        name: KeyName::new(format!("key-{number}")).expect("a name"),
        workspace: WorkspaceName::new(format!("workspace-{}", number % 50)).expect("a name"),
        hash: KeyHash(hash_digits(number)),
        state: KeyState::Valid,
    };
    Configuration {
        services: (0..databases / 3).map(service).collect(),
        keys: (0..keys).map(key).collect(),
        ..configuration(1, dcs, 600)
    }
}

/// Returns 64 hexadecimal digits that look random, as those of a hash do, so that they don't compress
/// well.
fn hash_digits(number: u64) -> String {
    let mut digits = String::new();
    for part in 0..4 {
        digits.push_str(&format!("{:016x}", stable_hash(&format!("{number} {part}"))));
    }
    digits
}
