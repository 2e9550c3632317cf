//! A fleet of VMs in virtual time: the real controllers of the fleet half, a platform and a network
//! that can fail.

mod network;
mod world;

pub use world::{Traffic, World};

use config::{Configuration, DataCentre, Database, KeyRecord, KeyState, Service, Slot};
use model::{key::KeyHash, prelude::*, request::stable_hash};
use serde::Deserialize;

/// What happens in a trace, or what must be so by then.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum FleetTraceEvent {
    /// A run of a VM starts and is put on the platform's list.
    Start {
        /// The VM.
        vm: VmName,
        /// Its data centre.
        dc: DcName,
    },
    /// A VM ends at once and goes off the list.
    Kill {
        /// The VM.
        vm: VmName,
    },
    /// A VM stands still.
    Freeze {
        /// The VM.
        vm: VmName,
    },
    /// A VM goes on.
    Thaw {
        /// The VM.
        vm: VmName,
    },
    /// A planned stop of a VM begins.
    Stop {
        /// The VM.
        vm: VmName,
    },
    /// A VM is told of all others, as by the addresses in its settings.
    Introduce {
        /// The VM.
        vm: VmName,
    },
    /// The operators change the configuration.
    Apply,
    /// The platform answers nobody, or everybody again.
    PlatformDown {
        /// Whether it is down.
        down: bool,
    },
    /// A data centre is cut off from the platform, or no longer.
    CutPlatform {
        /// The data centre.
        dc: DcName,
        /// Whether it is cut off.
        cut: bool,
    },
    /// Two data centres are cut off from each other, or no longer.
    Cut {
        /// One.
        dc: DcName,
        /// The other.
        other: DcName,
        /// Whether they are cut off.
        cut: bool,
    },
    /// VMs must have just this generation in force.
    ExpectGeneration {
        /// The VMs; all that run where absent.
        #[serde(default)]
        vms: Vec<VmName>,
        /// The generation.
        generation: Generation,
    },
    /// A VM must trust keys, or must not.
    ExpectTrust {
        /// The VM.
        vm: VmName,
        /// Whether it trusts them.
        trusts: bool,
    },
    /// A VM must know just these VMs as live.
    ExpectLive {
        /// The VM.
        vm: VmName,
        /// Those that it knows as live.
        live: Vec<VmName>,
    },
    /// VMs of a data centre that must be watching the platform.
    ExpectWatchers {
        /// The data centre.
        dc: DcName,
        /// The fewest.
        least: usize,
        /// The most.
        most: usize,
    },
}

/// A configuration of that generation, for these data centres.
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

/// A configuration as large as that of a large fleet: services of three databases in each data centre
/// in turn, and that many keys.
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

/// 64 hexadecimal digits that can't be compressed, as those of a hash.
fn hash_digits(number: u64) -> String {
    let mut digits = String::new();
    for part in 0..4 {
        digits.push_str(&format!("{:016x}", stable_hash(&format!("{number} {part}"))));
    }
    digits
}
