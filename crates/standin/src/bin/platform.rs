//! Runs the stand-in platform with its object and control listeners.

use clap::{Arg, Command};
use serde_json::json;
use standin::{
    platform::{PlatformState, control_app, object_app},
    program,
};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let listen =
        |name| Arg::new(name).long(name).default_value("127.0.0.1:0").help("Address to listen on");
    let matches = Command::new("standin-platform")
        .about("In-memory stand-in for the platform: objects, watches, a VM list, fault switches")
        .arg(listen("listen"))
        .arg(listen("control-listen"))
        .get_matches();
    let address = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let state = PlatformState::new();
    let (listener, bound) = program::bind(&address("listen")).await?;
    let (control, control_bound) = program::bind(&address("control-listen")).await?;
    program::serve(listener, object_app(state.clone()));
    program::serve(control, control_app(state));
    program::print_addresses(&json!({"listen": bound, "control": control_bound}));
    program::wait_for_shutdown().await
}
