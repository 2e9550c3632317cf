//! Behaviour under load: fairness, time limits, and the cost for databases and for the VM.

mod world;

use gateway::message::ErrorCode;
use model::prelude::*;
use world::{BOUNDED, Endpoint, KEY, LATEST, Response, World, read, write};

/// Two workspaces that share one or two connections must not take them from each other for every
/// statement: opening a connection costs a database half as much as a statement.
#[test]
fn connections_stay_with_their_workspace() {
    let mut world = World::unconfigured(1);
    world.configure(world::catalog(1, 1e6, 2));
    world.run_for(3_000);
    let sessions: Vec<_> = (0..8)
        .map(|index| world.open(0, LATEST, if index % 2 == 0 { KEY } else { "key-b" }))
        .collect();
    let opened_before = world.engines[0].counts().connections_opened;
    let mut succeeded = 0;
    for round in 0..50 {
        for session in &sessions {
            world.send(*session, &format!("r{round}"), read("1"));
        }
        world.run_for(150);
        succeeded += sessions
            .iter()
            .filter(|session| {
                world.response(**session).is_some_and(|response| response.succeeded())
            })
            .count();
    }
    let opened = world.engines[0].counts().connections_opened - opened_before;
    assert_eq!(succeeded, 400);
    assert!(opened * 5 <= 400, "{opened} connections for 400 statements");
}

/// With more statements than a database can run, each must be answered or refused within its timeout,
/// and a refused write must not have run.
#[test]
fn overload_is_refused_in_time_without_effect() {
    let mut world = World::unconfigured(1);
    world.configure(world::catalog(1, 1e6, 2));
    world.run_for(3_000);
    // Every answer takes 200 ms.
    world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(0)), 200);
    let sessions: Vec<_> = (0..30).map(|_| world.open(0, LATEST, KEY)).collect();
    for (index, session) in sessions.iter().enumerate() {
        world.send(*session, &format!("w{index}"), write("1"));
    }
    let began = world.now;
    while sessions.iter().any(|session| world.response(*session).is_none()) {
        world.run_for(10);
        assert!(
            world.now.since(began) <= DurationUs::from_ms(1_050),
            "a caller still waits after the timeout"
        );
    }
    let mut refused = 0;
    for (index, session) in sessions.iter().enumerate() {
        let response = world.response(*session).expect("it was answered");
        let id = format!("w{index}");
        match response.error {
            None => assert!(world.group.has_write(0, &id), "{id}"),
            Some(ErrorCode::Busy) => {
                refused += 1;
                assert!(!world.group.has_write(0, &id), "{id} was refused and ran");
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((1..30).contains(&refused), "{refused}");
}

/// Reads of a bounded age must still succeed while all replicas lag behind.
#[test]
fn reads_go_to_the_primary_while_replicas_lag() {
    let mut world = World::new(3);
    let (writer, reader) = (world.open(0, LATEST, KEY), world.open(1, BOUNDED, KEY));
    world.replicating = false;
    let mut succeeded = 0;
    for round in 0..30 {
        assert!(world.query(writer, &format!("w{round}"), write("1")).succeeded());
        let response = world.query(reader, &format!("r{round}"), read("1"));
        succeeded += usize::from(response.succeeded());
        world.run_for(40);
    }
    assert_eq!(succeeded, 30);
}

/// While hundreds of statements wait for two connections, the cost of an event must not grow with their
/// number. A VM that searches an upstream for each of them at each answer has no time left for the
/// answers.
#[test]
fn waiting_statements_share_searches() {
    let searches_for = |sessions: usize| {
        let mut world = World::unconfigured(1);
        world.configure(world::catalog(1, 1e6, 2));
        world.run_for(3_000);
        world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(0)), 200);
        let sessions: Vec<_> = (0..sessions)
            .map(|index| world.open(0, LATEST, if index % 2 == 0 { KEY } else { "key-b" }))
            .collect();
        let before = world.engines[0].counts().searches;
        for (index, session) in sessions.iter().enumerate() {
            world.send(*session, &format!("w{index}"), write("1"));
        }
        let sent = world.engines[0].counts().searches;
        world.run_for(600);
        (sent - before, world.engines[0].counts().searches - sent)
    };
    let (few_sent, few) = searches_for(20);
    let (many_sent, many) = searches_for(400);
    assert!(few_sent > 0 && few > 0);
    // Twenty times as many statements were sent, but there were as many answers as before.
    assert!(many_sent <= 25 * few_sent, "{many_sent} searches, {few_sent} for a twentieth");
    assert!(many <= 2 * few, "{many} searches, {few} for a twentieth of the statements");
}

/// With more VMs than a database has connections, connections must not be kept idle: they can't be used
/// for the next statement, of the other workspace, and cause refusals, which cost as much as opened
/// connections.
#[test]
fn scarce_connections_are_not_kept_idle() {
    let mut world = World::unconfigured(12);
    world.configure(world::catalog(1, 1e6, 6));
    world.group.connection_limit = 6;
    world.run_for(3_000);
    let callers: Vec<_> = (0..24)
        .map(|index| world.open(index / 2, LATEST, if index % 2 == 0 { KEY } else { "key-b" }))
        .collect();
    let opened = |world: &World| -> u64 {
        world.engines.iter().map(|engine| engine.counts().connections_opened).sum()
    };
    let before = opened(&world);
    let mut succeeded = 0;
    for round in 0..20 {
        for (index, caller) in callers.iter().enumerate() {
            world.send(*caller, &format!("w{round}-{index}"), write("1"));
            world.run_for(40);
        }
        world.run_for(100);
        let answers = callers.iter().map(|caller| world.response(*caller));
        succeeded +=
            answers.filter(|response| response.as_ref().is_some_and(Response::succeeded)).count();
    }
    assert_eq!(succeeded, 480, "all statements succeed");
    let opened = opened(&world) - before;
    assert!(opened <= 480 + 480 / 4, "{opened} connections for 480 statements");
}

/// One database of a service is left and gets twice what it can run, through its holder. The database stays
/// busy, each caller gets an answer or a true refusal in time, and the holder's work does not grow with the
/// number of waiting requests.
#[test]
fn overload_through_a_holder_is_refused_in_time_without_effect() {
    let run = |sessions: usize| {
        let mut world = World::unconfigured(8);
        world.configure(world::catalog(1, 1e6, 16));
        world.run_for(4_000);
        let holder = world.holder(0);
        // With 3 slots and 40 ms for each answer, the database runs at most 75 statements a second.
        world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(holder)), 20);
        let callers: Vec<_> = (0..sessions)
            .map(|index| world.open(index % 8, LATEST, if index % 3 == 0 { KEY } else { "key-b" }))
            .collect();
        let before = world.engines[holder].counts().searches;
        let mut sent = vec![0; sessions];
        let mut began = vec![world.now; sessions];
        let (mut served, mut refused) = (0, 0);
        for _ in 0..400 {
            for (index, caller) in callers.iter().enumerate() {
                if let Some(response) = world.response(*caller) {
                    let id = format!("w{index}-{}", sent[index]);
                    match response.error {
                        None => served += 1,
                        Some(ErrorCode::Busy) => {
                            refused += 1;
                            let ran = world.group.runs.iter().any(|run| *run.id == *id);
                            assert!(!ran, "{id} was refused and ran");
                        }
                        other => panic!("{id}: {other:?}"),
                    }
                } else if sent[index] > 0 {
                    let waited = world.now.since(began[index]);
                    assert!(
                        waited <= DurationUs::from_ms(1_050),
                        "a caller waits after the timeout"
                    );
                    continue;
                }
                sent[index] += 1;
                began[index] = world.now;
                world.send(*caller, &format!("w{index}-{}", sent[index]), write("1"));
            }
            world.run_for(10);
        }
        (served, refused, world.engines[holder].counts().searches - before)
    };
    let (served, refused, searches) = run(160);
    assert!(served >= 4 * 75 * 85 / 100, "{served} served");
    assert!(refused > 0, "not overloaded");
    let (_, _, few) = run(40);
    assert!(searches <= 2 * few, "{searches} searches, {few} for a quarter of the callers");
}
