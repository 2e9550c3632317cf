//! Measures the control traffic and the CPU time of a gateway VM by the number of VMs. Runs the engines
//! alone, in virtual time, without sockets.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use gateway::{
    Effect, Engine, Identity, UpstreamKey,
    catalog::{Catalog, Database, Role, ServiceLimits, Workspace},
    failover::StatusRow,
    message::{Reply, TransactionState, UpstreamRequest},
    peers::{MemberList, MemberRecord, PeerMessage},
    policy::Policy,
    regions::AllowedRegions,
    witnesses::{Candidate, Capacity, WitnessSet},
};
use model::prelude::*;
use slog::{Discard, Logger, o};

/// Number of databases of each service: one primary and its replicas.
const DATABASES_PER_SERVICE: usize = 3;
/// Bytes that UDP and IP add to a datagram.
const DATAGRAM_BYTES: u64 = 28;
/// Virtual time before measuring starts, in milliseconds. All VMs have established contact by then.
const WARM_UP_MS: u64 = 3_000;
/// Virtual time that is measured, in milliseconds.
const COUNTED_MS: u64 = 5_000;
/// Virtual time between ticks, in milliseconds.
const TICK_MS: u64 = 100;
/// Number of workspaces in the catalog.
const WORKSPACES: usize = 73;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-gateway")
        .about("Measures the control traffic and the CPU time of a gateway VM")
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("50,100,200,400")
                .help("Numbers of VMs"),
        )
        .arg(
            Arg::new("databases")
                .long("databases")
                .value_parser(value_parser!(usize))
                .default_value("670")
                .help("Total number of databases"),
        )
}

/// Measures each number of VMs and prints a table row for it.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let databases = matches.get_one::<usize>("databases").copied().unwrap_or(670);
    println!("| VMs | sent B/s, mean | sent B/s, max | messages/s, mean | CPU us/s, mean |");
    println!("| --- | --- | --- | --- | --- |");
    for vms in matches.get_many::<usize>("vms").into_iter().flatten() {
        let cost = measure(*vms, databases)?;
        println!(
            "| {vms} | {:.0} | {:.0} | {:.1} | {:.0} |",
            cost.mean_bytes, cost.max_bytes, cost.messages, cost.cpu_us
        );
    }
    Ok(())
}

/// Control traffic and CPU time per VM and second. `max_bytes` belongs to the VM that sends the most;
/// CPU time is the elapsed time of the engines' calls.
struct Cost {
    mean_bytes: f64,
    max_bytes: f64,
    messages: f64,
    cpu_us: f64,
}

/// Messages in flight between the VMs, and totals of the measured period.
struct Traffic {
    /// Whether messages are counted now: false during the warm-up.
    counted: bool,
    /// Bytes sent, by VM.
    bytes: Vec<u64>,
    messages: u64,
    /// Messages in flight, each with the sender's address and the index of the receiving VM.
    queue: Vec<(SocketAddr, usize, PeerMessage)>,
}

fn measure(vms: usize, database_count: usize) -> eyre::Result<Cost> {
    let mut now = MonoTime(1_000_000_000);
    let mut engines = (0..vms).map(|vm| engine(vm, now)).collect::<eyre::Result<Vec<_>>>()?;
    let members = (0..vms).map(member).collect::<eyre::Result<Vec<_>>>()?;
    let catalog = Arc::new(catalog(database_count / DATABASES_PER_SERVICE)?);
    let databases = databases(database_count / DATABASES_PER_SERVICE)?;
    let index: BTreeMap<SocketAddr, usize> = (0..vms).map(|vm| (address(vm), vm)).collect();
    let names = members.iter().map(Candidate::from);
    let witnesses = Some(WitnessSet::default().choose_next(names));
    let list = MemberList { version: 1, records: members, witnesses };
    for engine in &mut engines {
        engine.set_members(now, &list);
        engine.set_databases(now, 1, databases.clone());
        engine.set_catalog(now, catalog.clone());
    }
    let mut traffic =
        Traffic { counted: false, bytes: vec![0; vms], messages: 0, queue: Vec::new() };
    let mut cpu_time = std::time::Duration::ZERO;
    let end = WARM_UP_MS + COUNTED_MS;
    for at in (0..end).step_by(TICK_MS as usize) {
        now = now + DurationUs::from_ms(TICK_MS);
        let counted = at >= WARM_UP_MS;
        traffic.counted = counted;
        for (vm, engine) in engines.iter_mut().enumerate() {
            let began = Instant::now();
            engine.tick(now);
            cpu_time += if counted { began.elapsed() } else { Default::default() };
            apply_effects(engine, now, vm, &index, &mut traffic)?;
        }
        while let Some((source, to, message)) = traffic.queue.pop() {
            let began = Instant::now();
            engines[to].peer_message(now, source, message);
            cpu_time += if counted { began.elapsed() } else { Default::default() };
            apply_effects(&mut engines[to], now, to, &index, &mut traffic)?;
        }
    }
    let per_vm_second = vms as f64 * COUNTED_MS as f64 / 1_000.0;
    Ok(Cost {
        mean_bytes: traffic.bytes.iter().sum::<u64>() as f64 / per_vm_second,
        max_bytes: traffic.bytes.iter().max().copied().unwrap_or(0) as f64 * 1_000.0
            / COUNTED_MS as f64,
        messages: traffic.messages as f64 / per_vm_second,
        cpu_us: cpu_time.as_micros() as f64 / per_vm_second,
    })
}

/// Status that every database returns, since only primaries are queried.
const PRIMARY_STATUS: StatusRow =
    StatusRow { is_primary: true, term: Term(1), received: Position { term: Term(1), index: 1 } };

/// Replies to an engine's request as a healthy database would.
fn answer_upstream(
    engine: &mut Engine,
    now: MonoTime,
    key: UpstreamKey,
    request: &UpstreamRequest,
) {
    if *request == UpstreamRequest::Status {
        engine.upstream_reply(now, key, Reply::Row("".into()));
        engine.upstream_reply(now, key, Reply::Complete { receipt: None });
    }
    let ready =
        Reply::Ready { state: TransactionState::Idle, position: Some(PRIMARY_STATUS.received) };
    engine.upstream_reply(now, key, ready);
}

/// Applies an engine's effects until there are none: queues its messages to peers, and replies to its
/// requests to databases.
fn apply_effects(
    engine: &mut Engine,
    now: MonoTime,
    vm: usize,
    index: &BTreeMap<SocketAddr, usize>,
    traffic: &mut Traffic,
) -> eyre::Result<()> {
    let mut effects = engine.take_effects();
    while !effects.is_empty() {
        for effect in effects {
            match effect {
                Effect::ToPeer(address, message) => {
                    if traffic.counted {
                        let len = rmp_serde::to_vec(&message)?.len() as u64;
                        traffic.bytes[vm] += len + DATAGRAM_BYTES;
                        traffic.messages += 1;
                    }
                    let to = index.get(&address).copied();
                    traffic.queue.extend(to.map(|to| (self::address(vm), to, message)));
                }
                Effect::ToUpstream(key, request) => answer_upstream(engine, now, key, &request),
                _ => {}
            }
        }
        effects = engine.take_effects();
    }
    Ok(())
}

fn engine(vm: usize, now: MonoTime) -> eyre::Result<Engine> {
    let id = Identity {
        vm: vm_name(vm)?,
        incarnation: Incarnation(1),
        dc: dc(vm)?,
        regions: FxHashMap::default(),
        first_start: true,
        policy: Policy::default(),
        decode_status: |_| Some(PRIMARY_STATUS),
    };
    Ok(Engine::new(id, Logger::root(Discard, o!()), now))
}

fn vm_name(vm: usize) -> eyre::Result<VmName> {
    Ok(VmName::new(format!("front-uusimaa-a-{vm}"))?)
}

fn dc(index: usize) -> eyre::Result<DcName> {
    Ok(DcName::new(format!("dc-{}", index % 4))?)
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, (vm / 250) as u8, (vm % 250) as u8)), 7000)
}

fn member(vm: usize) -> eyre::Result<MemberRecord> {
    let (vm_name, dc) = (vm_name(vm)?, dc(vm)?);
    let incarnation = Incarnation(1);
    Ok(MemberRecord {
        vm: vm_name,
        address: address(vm),
        incarnation,
        dc,
        accepts_links: true,
        capacity: Capacity::default(),
    })
}

fn service(index: usize) -> eyre::Result<ServiceName> {
    Ok(ServiceName::new(format!("svc{index}"))?)
}

fn catalog(services: usize) -> eyre::Result<Catalog> {
    let mut catalog = Catalog { generation: 1, ..Catalog::default() };
    for index in 0..services {
        let limits = ServiceLimits { connections: 70, ..ServiceLimits::default() };
        catalog.services.insert(service(index)?, limits);
    }
    for index in 0..WORKSPACES {
        let name = WorkspaceName::new(format!("space{index}"))?;
        catalog.workspaces.push(Workspace {
            name,
            rate_per_s: Some(100.0),
            burst: 100.0,
            regions: AllowedRegions::All,
        });
    }
    Ok(catalog)
}

fn databases(services: usize) -> eyre::Result<Vec<Database>> {
    let mut databases = Vec::new();
    for index in 0..services * DATABASES_PER_SERVICE {
        databases.push(Database {
            name: DatabaseName::new(format!("i-{index:010x}"))?,
            incarnation: 1,
            service: service(index / DATABASES_PER_SERVICE)?,
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1)), 8000),
            dc: dc(index)?,
            slots: 5,
            leaving: false,
            cold_left: DurationUs(0),
            role: if index % DATABASES_PER_SERVICE == 0 { Role::Primary } else { Role::Replica },
        });
    }
    Ok(databases)
}
