//! Runs a small fleet as local processes for demos, benchmarks and tests.
//!
//! A [`Fleet`] consists of a stand-in platform, stand-in databases and jasminepass daemons, all
//! built from this Cargo workspace. Each process is killed when the value that started it is
//! dropped.

pub mod caller;
pub mod faults;
pub mod fleet;
pub mod process;
pub mod relay;
pub mod scratch;
pub mod usage;
pub mod wait;

pub use caller::{Caller, Reply};
pub use faults::Fault;
pub use fleet::{Fleet, FleetSpec};
pub use process::Process;
