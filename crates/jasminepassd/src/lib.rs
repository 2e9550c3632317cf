//! The proxy daemon: one runs on every VM of the fleet.
//!
//! - [`caller`], [`peer`] and [`ops`] are the HTTP listeners for callers, other VMs and operators.
//! - [`entry`] and [`transaction_entry`] route a caller's request to a holder, a VM that holds
//!   connections to the request's database; [`holder`] and [`transaction_steps`] execute it there.
//! - [`control`] runs the controllers of the fleet, the rates and the promotions on one thread, and
//!   publishes what this VM knows as a [`board::Board`]; [`effects`] carries out what the
//!   controllers request.
//!
//! [`app::App`] holds the state that these modules share. The modules of that state
//! ([`open_transactions`], [`pools`], [`quota_state`], [`rounds`], [`status_reports`], [`tallies`])
//! must not depend on [`app`], so that module imports have no cycle.

pub mod admission;
pub mod app;
pub mod caller;
pub mod caller_error;
pub mod caller_request;
pub mod clock;
pub mod confirm;
pub mod control;
pub mod counters;
pub mod drain;
pub mod effects;
pub mod entry;
pub mod event;
pub mod failover_io;
pub mod fleet_io;
pub mod holder;
pub mod lock;
pub mod logging;
pub mod monitor;
pub mod open_transactions;
pub mod ops;
pub mod outcome;
pub mod peer;
pub mod platform_watch;
pub mod pools;
pub mod quota_io;
pub mod quota_state;
pub mod redirects;
pub mod report_io;
pub mod rounds;
pub mod run;
pub mod settings;
pub mod status_reports;
pub mod stop;
pub mod tallies;
pub mod tally_io;
pub mod transaction_entry;
pub mod transaction_steps;
pub mod transactions;
pub mod verifier;
