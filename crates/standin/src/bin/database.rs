//! Runs a stand-in database with its request, admin and control listeners.

use clap::{Arg, Command, value_parser};
use model::prelude::DatabaseName;
use serde_json::json;
use standin::{
    database::{
        DatabaseSettings, DatabaseState, SlotId, admin_app, control_app, serve_requests,
        start_heartbeats, start_replication,
    },
    program,
};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let matches = command().get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let slots = matches.get_many::<String>("slot").unwrap_or_default();
    let settings = DatabaseSettings {
        name: DatabaseName::new(text("name"))?,
        slots: slots.map(|s| SlotId::parse(s)).collect::<eyre::Result<_>>()?,
        connection_limit: number("connection-limit") as usize,
        connect_ms: number("connect-ms"),
        execute_ms: number("execute-ms"),
    };
    let (listener, bound) = program::bind(&text("listen")).await?;
    let (admin, admin_bound) = program::bind(&text("admin-listen")).await?;
    let (control, control_bound) = program::bind(&text("control-listen")).await?;
    let state = DatabaseState::new(settings);
    tokio::spawn(serve_requests(listener, state.clone()));
    program::serve(admin, admin_app(state.clone()));
    program::serve(control, control_app(state.clone()));
    start_replication(&state);
    start_heartbeats(&state);
    program::print_addresses(
        &json!({"listen": bound, "admin": admin_bound, "control": control_bound}),
    );
    program::wait_for_shutdown().await
}

fn command() -> Command {
    let listen =
        |name| Arg::new(name).long(name).default_value("127.0.0.1:0").help("Address to listen on");
    let number = |name, default| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let slot_help = "Slot stored by the database, as service/slot; may be repeated";
    Command::new("standin-database")
        .about("In-memory stand-in for a replicated database, with fault switches")
        .arg(
            Arg::new("name").long("name").required(true).help("Database name in the configuration"),
        )
        .arg(Arg::new("slot").long("slot").action(clap::ArgAction::Append).help(slot_help))
        .arg(listen("listen"))
        .arg(listen("admin-listen"))
        .arg(listen("control-listen"))
        .arg(number("connection-limit", "20").help("Maximum number of open request connections"))
        .arg(
            number("connect-ms", "10")
                .help("Delay before a request connection is served, in milliseconds"),
        )
        .arg(number("execute-ms", "0").help("Execution time of each request, in milliseconds"))
}
