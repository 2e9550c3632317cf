//! Measures the cost of watching databases for failover: processing time per controller event and bytes per
//! status query.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use board::{Board, Catalog, VmIdentity};
use clap::{ArgMatches, Command};
use config::{Configuration, DataCentre, Database, Service, Slot};
use eyre::eyre;
use failover::{
    observe::{Observation, observe},
    promotion::{PromotionController, PromotionEvent},
    timeouts::Timeouts,
};
use model::prelude::*;
use proto::database::{Role, SlotStatus, Status};
use rig::{Fleet, FleetSpec};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const DATABASES_PER_SERVICE: usize = 3;
const ROUNDS: u64 = 2_000;
/// The reply counts as complete when nothing more arrives for this time.
const REPLY_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-promotion")
        .about("Measures the controller's time per event and the bytes of a status query")
        .arg(number(
            "services",
            "223",
            "Number of services, of three databases and three slots each",
        ))
        .arg(number("watched", "4", "Number of services that this VM watches"))
}

/// Measures the controller without a network, then one status query on a real connection.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name) as usize;
    let (services, watched) = (number("services"), number("watched"));
    let mut board = board(services)?;
    let statuses = statuses(&board, watched);
    let (observed_us, tick_us) = time_events(&mut board, &statuses);
    println!("{services} services, {watched} of them watched");
    println!("observation of one database: {observed_us:.2} us");
    println!("tick over all slots: {tick_us:.2} us");
    println!("status query, request and reply with headers: {} bytes", status_query_bytes().await?);
    Ok(())
}

fn board(services: usize) -> eyre::Result<Board> {
    let dc = |number: usize| DcName::new(format!("dc{number}"));
    let service = |number: usize| -> eyre::Result<Service> {
        let database = |of: usize| -> eyre::Result<Database> {
            Ok(Database {
                name: DatabaseName::new(format!("ledger-{number}-{of}"))?,
                dc: dc(of)?,
                address: String::new(),
                admin_address: String::new(),
                connection_limit: 20,
                leaving: false,
            })
        };
        let databases =
            (0..DATABASES_PER_SERVICE).map(database).collect::<eyre::Result<Vec<Database>>>()?;
        let members: Vec<DatabaseName> = databases.iter().map(|d| d.name.clone()).collect();
        let slot = |of: usize| -> eyre::Result<Slot> {
            Ok(Slot { name: SlotName::new(format!("s{of}"))?, members: members.clone() })
        };
        let slots = (0..DATABASES_PER_SERVICE).map(slot).collect::<eyre::Result<_>>()?;
        let name = ServiceName::new(format!("ledger-{number}"))?;
        Ok(Service { name, databases, slots, routes: Vec::new() })
    };
    let cfg = Configuration {
        generation: Generation(1),
        data_centres: (0..DATABASES_PER_SERVICE)
            .map(|number| Ok(DataCentre { name: dc(number)? }))
            .collect::<eyre::Result<_>>()?,
        services: (0..services).map(service).collect::<eyre::Result<_>>()?,
        ..Configuration::empty()
    };
    let mut board = Board::new(VmIdentity {
        vm: VmName::new("v1")?,
        incarnation: Incarnation(1),
        dc: dc(0)?,
        peer_address: String::new(),
    });
    board.adopt(Arc::new(Catalog::new(cfg)));
    Ok(board)
}

/// Builds the status that each watched database reports when it is healthy.
fn statuses(board: &Board, watched: usize) -> Vec<Status> {
    let catalog = &board.catalog;
    let mut statuses = Vec::new();
    for service in catalog.services.iter().take(watched) {
        let primary = catalog.databases[service.databases[0]].name.clone();
        for (number, &database) in service.databases.iter().enumerate() {
            let slot = |slot: &board::SlotKey| SlotStatus {
                service: service.name.clone(),
                slot: catalog.slots[*slot].name.clone(),
                role: if number == 0 { Role::Primary } else { Role::Replica },
                term: Term(1),
                primary: Some(primary.clone()),
                position: Position::new(Term(1), 1),
                primary_in_service_ms: (number > 0).then_some(0),
                open_transactions: 0,
            };
            let slots = service.slots.iter().map(slot).collect();
            statuses.push(Status { database: catalog.databases[database].name.clone(), slots });
        }
    }
    statuses
}

/// Returns the mean time of an observation and of a tick, in microseconds.
fn time_events(board: &mut Board, statuses: &[Status]) -> (f64, f64) {
    let mut controller =
        PromotionController::new(board.fleet.me.clone(), Timeouts::new(DurationUs::from_ms(100)));
    let mut observing = Duration::ZERO;
    let mut ticking = Duration::ZERO;
    for round in 1..=ROUNDS {
        let now = MonoTime(round * 100_000);
        let started = Instant::now();
        for (number, status) in statuses.iter().enumerate() {
            let mut status = status.clone();
            status.slots.iter_mut().for_each(|s| s.position.index = round);
            let asked_at = now + DurationUs(number as u64);
            let database = status.database.clone();
            observe(board, &Observation { database, asked_at, status: Some(status) }, asked_at);
        }
        observing += started.elapsed();
        let started = Instant::now();
        black_box(controller.handle(board, PromotionEvent::Tick { random: round }, now));
        ticking += started.elapsed();
    }
    let per = |span: Duration, count: u64| span.as_secs_f64() * 1e6 / count.max(1) as f64;
    (per(observing, ROUNDS * statuses.len() as u64), per(ticking, ROUNDS))
}

/// Returns the bytes of one status query of a database with three slots and of its reply, with the HTTP
/// headers.
async fn status_query_bytes() -> eyre::Result<usize> {
    let fleet = Fleet::start(FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?).await?;
    let database = fleet.databases.get(1).ok_or_else(|| eyre!("no database"))?;
    let address = database.process.address("admin");
    let request = format!(
        "POST /status HTTP/1.1\r\njasminepass-vm: {}\r\ncontent-type: application/json\r\nhost: {address}\r\ncontent-length: 2\r\n\r\n{{}}",
        fleet.vms[0].vm
    );
    let mut stream = TcpStream::connect(&address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut received = 0;
    let mut buf = [0; 16 << 10];
    while let Ok(read) = tokio::time::timeout(REPLY_IDLE_TIMEOUT, stream.read(&mut buf)).await {
        let read = read?;
        received += read;
        if read == 0 {
            break;
        }
    }
    Ok(request.len() + received)
}
