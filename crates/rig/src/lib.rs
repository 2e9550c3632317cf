//! Starts and stops the processes of a small fleet for demos, benches and tests.
//!
//! Every process that it starts is one of this workspace, and ends with the value that started it.

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
