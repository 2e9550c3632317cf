//! Preparation of connections that fails: the values and prepared statements of a session are set before its
//! statement runs, or the statement does not run.

mod world;

use gateway::message::{Access, ErrorCode, Statement, TransactionState};
use model::prelude::*;
use world::{
    BOUNDED, Caller, Endpoint, KEY, LATEST, Response, World, begin, execute,
    faults::{FaultOutcome, RequestFault, RequestKind},
    prepare, read, set, write,
};

const FAILED: FaultOutcome = FaultOutcome::Error(ErrorCode::Failed);

/// A single VM whose only connection to the primary has another value than those of [`session_with_value`].
fn world_with_used_connections() -> World {
    let mut world = World::new(1);
    let other = world.open(0, LATEST, KEY);
    assert!(world.query(other, "other-s", set("lang", "fi")).succeeded());
    assert!(world.query(other, "other", read("1")).succeeded());
    world
}

fn session_with_value(world: &mut World, vm: usize) -> Caller {
    let caller = world.open(vm, LATEST, KEY);
    assert!(world.query(caller, "s", set("zone", "north")).succeeded());
    caller
}

/// Sends a statement and waits for its answer, while the databases answer other statements.
fn query_beside_others(
    world: &mut World,
    caller: Caller,
    id: &str,
    statement: Statement,
) -> Response {
    let other = world.open(caller.vm, LATEST, KEY);
    world.send(caller, id, statement);
    for round in 0..40 {
        if let Some(response) = world.response(caller) {
            return response;
        }
        world.send(other, &format!("beside-{id}-{round}"), read("9"));
        world.run_for(50);
    }
    panic!("no answer to {id} within 2 s");
}

/// The values with which a statement ran, in the order of their names; `None` if it did not run.
fn values_of(world: &World, id: &str) -> Option<Vec<(String, String)>> {
    let run = world.group.runs.iter().find(|run| &*run.id == id)?;
    Some(run.variables.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect())
}

fn north() -> Option<Vec<(String, String)>> {
    Some(vec![("zone".to_owned(), "north".to_owned())])
}

/// Guards against a write with the values of another session, or with none, after a preparation that the database
/// failed, did not answer or cut off. The write then runs over another connection, once and with its values.
#[test]
fn write_after_failed_preparation() {
    let kinds = [RequestKind::Reset, RequestKind::Set, RequestKind::Prepare];
    for kind in kinds {
        for outcome in [FAILED, FaultOutcome::Silence, FaultOutcome::Close] {
            let mut world = world_with_used_connections();
            let caller = session_with_value(&mut world, 0);
            let plain = world.open(0, LATEST, KEY);
            assert!(world.query(caller, "p", prepare("w", Access::Write, "WRITE 1")).succeeded());
            world.request_faults.push(RequestFault::new(kind, outcome).with_count(0, 1));
            let statement = match kind {
                RequestKind::Prepare => execute("w", "x"),
                _ => write("1"),
            };
            let response = query_beside_others(&mut world, caller, "w", statement);
            assert!(response.succeeded(), "{kind:?} {outcome:?}: {response:?}");
            assert_eq!(values_of(&world, "w"), north(), "{kind:?} {outcome:?}");
            let response = world.query(plain, "plain", write("2"));
            assert!(response.succeeded(), "{kind:?} {outcome:?}: {response:?}");
            assert_eq!(values_of(&world, "plain"), Some(Vec::new()), "{kind:?} {outcome:?}");
            assert_eq!(world.request_faults[0].count, 0, "{kind:?}: the fault was met");
        }
    }
}

/// The second of two values fails: the first one alone is not what the session has.
#[test]
fn write_after_failed_second_value() {
    let mut world = World::new(1);
    let caller = session_with_value(&mut world, 0);
    assert!(world.query(caller, "s2", set("lang", "fi")).succeeded());
    let fault = RequestFault::new(RequestKind::Set, FAILED).with_count(1, 1);
    world.request_faults.push(fault);
    assert!(world.query(caller, "w", write("1")).succeeded());
    assert_eq!(values_of(&world, "w").map(|values| values.len()), Some(2));
}

/// Reads must not run with other values either: a database may have counted or logged them by then.
#[test]
fn read_after_failed_preparation() {
    let mut world = world_with_used_connections();
    let caller = session_with_value(&mut world, 0);
    world.request_faults.push(RequestFault::new(RequestKind::Set, FAILED).with_count(0, 2));
    assert!(world.query(caller, "r", read("1")).succeeded());
    let runs = world.group.runs.iter().filter(|run| &*run.id == "r");
    let zones: Vec<_> = runs.map(|run| run.variables.get("zone").cloned()).collect();
    assert_eq!(zones, [Some("north".into())]);
}

/// A value that every database refuses must not be tried for ever; the caller is told that nothing ran.
#[test]
fn write_with_refused_value() {
    let mut world = World::new(1);
    let caller = session_with_value(&mut world, 0);
    world.request_faults.push(RequestFault::new(RequestKind::Set, FAILED));
    let opened = world.engines[0].counts().connections_opened;
    let response = world.query(caller, "w", write("1"));
    assert_eq!(response.error, Some(ErrorCode::Busy));
    assert_eq!(response.state, Some(TransactionState::Idle));
    assert_eq!(values_of(&world, "w"), None, "it did not run");
    let opened = world.engines[0].counts().connections_opened - opened;
    assert!(opened <= 10, "{opened} connections");
}

fn open_transaction(world: &mut World, vm: usize) -> Caller {
    let caller = world.open(vm, LATEST, KEY);
    assert!(world.query(caller, "b", begin(Access::Write)).succeeded());
    assert!(world.query(caller, "w1", write("1")).succeeded());
    assert!(world.query(caller, "s", set("zone", "north")).succeeded());
    caller
}

fn check_aborted(world: &mut World, caller: Caller, response: &Response, case: &str) {
    assert_eq!(response.error, Some(ErrorCode::Aborted), "{case}: {response:?}");
    if response.state == Some(TransactionState::Failed) {
        assert!(world.query(caller, "end", Statement::Rollback).succeeded(), "{case}");
    }
    world.run_for(100);
    assert!(!world.group.has_write(0, "w1"), "{case}: nothing of the transaction is kept");
    let response = world.query(caller, "after", write("3"));
    assert!(response.succeeded(), "{case}: {response:?}");
    assert_eq!(values_of(world, "after"), north(), "{case}: values set in it stay");
}

/// A preparation that fails within a transaction ends it; a `COMMIT` that it was for never reaches the database, at
/// VMs with connections of their own and at those that use a holder's.
#[test]
fn transaction_after_failed_preparation() {
    for vms in [1, 24] {
        for outcome in [FAILED, FaultOutcome::Silence, FaultOutcome::Close] {
            for commits in [false, true] {
                let mut world = match vms {
                    1 => World::new(1),
                    _ => holders_world(),
                };
                let vm = if vms == 1 { 0 } else { distant_vm(&world) };
                let caller = open_transaction(&mut world, vm);
                let commit_fault = RequestFault::new(RequestKind::Commit, FAILED);
                let set_fault = RequestFault::new(RequestKind::Set, outcome).with_count(0, 1);
                world.request_faults = vec![commit_fault, set_fault];
                let statement = if commits { Statement::Commit } else { write("2") };
                let response = world.query(caller, "next", statement);
                let case = format!("{vms} VMs, {outcome:?}, commits: {commits}");
                assert_eq!(world.request_faults[0].count, usize::MAX, "{case}: a commit was sent");
                check_aborted(&mut world, caller, &response, &case);
                assert_eq!(values_of(&world, "next"), None, "{case}");
            }
        }
    }
}

fn holders_world() -> World {
    let mut world = World::unconfigured(24);
    world.configure(world::catalog(1, 1e6, 12));
    world.group.connection_limit = 12;
    world.run_for(4_000);
    world
}

/// A VM that uses the connections of another one to the primary.
fn distant_vm(world: &World) -> usize {
    (0..world.engines.len()).find(|vm| world::dc(*vm) != world::dc(0)).expect("another data centre")
}

/// A holder whose preparation fails has not sent the peer's request, and says so.
#[test]
fn holder_preparation_fails() {
    for kind in [RequestKind::Reset, RequestKind::Set] {
        for outcome in [FAILED, FaultOutcome::Silence, FaultOutcome::Close] {
            let mut world = holders_world();
            let vm = distant_vm(&world);
            let other = world.open(vm, LATEST, KEY);
            assert!(world.query(other, "other-s", set("other", "x")).succeeded());
            assert!(world.query(other, "other", write("1")).succeeded());
            let caller = session_with_value(&mut world, vm);
            world.request_faults.push(RequestFault::new(kind, outcome).with_count(0, 1));
            let response = query_beside_others(&mut world, caller, "w", write("1"));
            assert!(response.succeeded(), "{kind:?} {outcome:?}: {response:?}");
            assert_eq!(values_of(&world, "w"), north(), "{kind:?} {outcome:?}");
            let runs = world.group.runs.iter().filter(|run| &*run.id == "w").count();
            assert_eq!(runs, 1, "{kind:?} {outcome:?}");
            assert_eq!(world.request_faults[0].count, 0, "{kind:?}: the fault was met");
            assert!(world.forwarded() > 0);
        }
    }
}

/// A value that every database refuses, set for a peer's request.
#[test]
fn holder_value_is_refused() {
    let mut world = holders_world();
    let vm = distant_vm(&world);
    let caller = session_with_value(&mut world, vm);
    world.request_faults.push(RequestFault::new(RequestKind::Set, FAILED));
    let opened = world.connections_opened();
    let response = world.query(caller, "w", write("1"));
    assert_eq!(response.error, Some(ErrorCode::Busy));
    assert_eq!(values_of(&world, "w"), None, "it did not run");
    let opened = world.connections_opened() - opened;
    assert!(opened <= 10, "{opened} connections");
}

/// A preparation before `BEGIN` that fails leaves the transaction unbegun; it begins over another connection.
#[test]
fn begin_after_failed_preparation() {
    let mut world = world_with_used_connections();
    let caller = session_with_value(&mut world, 0);
    world.request_faults.push(RequestFault::new(RequestKind::Set, FAILED).with_count(0, 1));
    assert!(world.query(caller, "b", begin(Access::Write)).succeeded());
    assert!(world.query(caller, "w", write("1")).succeeded());
    assert!(world.query(caller, "c", Statement::Commit).succeeded());
    assert_eq!(values_of(&world, "w"), north());
    assert!(world.group.has_write(0, "w"));
}

/// A `ROLLBACK` that fails must not leave its transaction open on a connection that others use.
#[test]
fn rollback_that_fails() {
    for outcome in [FAILED, FaultOutcome::Silence, FaultOutcome::Close] {
        let mut world = World::new(1);
        let caller = open_transaction(&mut world, 0);
        world.request_faults.push(RequestFault::new(RequestKind::Rollback, outcome));
        assert!(world.query(caller, "end", Statement::Rollback).succeeded());
        let other = world.open(0, LATEST, KEY);
        assert!(world.query(other, "w", write("2")).succeeded(), "{outcome:?}");
        let run = world.group.runs.iter().find(|run| &*run.id == "w").expect("it ran");
        assert!(!run.in_transaction, "{outcome:?}");
        assert!(run.variables.is_empty(), "{outcome:?}");
        assert!(!world.group.has_write(0, "w1"), "{outcome:?}");
    }
}

/// A preparation that is refused as not run, as by a database without room, is repeated like one that failed.
#[test]
fn preparation_refused_for_the_moment() {
    for code in [ErrorCode::Busy, ErrorCode::Lagging] {
        let mut world = World::new(3);
        let caller = world.open(1, BOUNDED, KEY);
        assert!(world.query(caller, "s", set("zone", "north")).succeeded());
        for database in 0..3 {
            let fault = RequestFault::new(RequestKind::Set, FaultOutcome::Error(code));
            world.request_faults.push(RequestFault { database, ..fault.with_count(0, 1) });
        }
        let response = world.query(caller, "r", read("1"));
        assert!(response.succeeded(), "{code:?}: {response:?}");
        assert_eq!(values_of(&world, "r"), north(), "{code:?}");
    }
}

/// A session that ends while its connection is being prepared leaves no values to the next user.
#[test]
fn session_ends_during_preparation() {
    let mut world = world_with_used_connections();
    let caller = session_with_value(&mut world, 0);
    let silence = RequestFault::new(RequestKind::Set, FaultOutcome::Silence).with_count(0, 1);
    world.request_faults.push(silence);
    world.send(caller, "w", write("1"));
    world.run_for(20);
    world.send_message(caller, gateway::message::CallerMessage::Terminate);
    let plain = world.open(0, LATEST, KEY);
    assert!(world.query(plain, "plain", write("2")).succeeded());
    assert_eq!(values_of(&world, "plain"), Some(Vec::new()));
    assert_eq!(values_of(&world, "w"), None, "it did not run");
}

/// The statement is answered within its time limit while no database answers any preparation.
#[test]
fn preparation_is_never_answered() {
    let mut world = World::new(1);
    let caller = session_with_value(&mut world, 0);
    world.request_faults.push(RequestFault::new(RequestKind::Set, FaultOutcome::Silence));
    let began = world.now;
    let response = world.query(caller, "w", write("1"));
    assert_eq!(response.error, Some(ErrorCode::Busy), "{response:?}");
    let took = world.now.since(began);
    assert!(took <= DurationUs::from_ms(1_050), "{took:?}");
    assert_eq!(values_of(&world, "w"), None, "it did not run");
}

/// Guards against slots of a database that stay idle while connections are prepared, and against more statements at a
/// time than it has slots once they are.
#[test]
fn preparation_occupies_no_slot() {
    let mut world = World::unconfigured(1);
    world.databases.iter_mut().for_each(|database| database.slots = 1);
    world.configure(world::catalog(1, 1e6, 100));
    world.run_for(3_000);
    // Opens two connections.
    let holding = world.open(0, LATEST, KEY);
    assert!(world.query(holding, "b", begin(Access::Read)).succeeded());
    assert!(world.query(holding, "r", read("1")).succeeded());
    let plain = world.open(0, LATEST, KEY);
    assert!(world.query(plain, "p", read("1")).succeeded());
    assert!(world.query(holding, "e", Statement::Rollback).succeeded());
    let caller = session_with_value(&mut world, 0);
    world.run_for(50);
    // Preparation and statement are answered 200 ms after they were sent.
    world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(0)), 200);
    world.send(caller, "w", write("1"));
    world.run_for(100);
    world.send(plain, "beside", read("1"));
    world.run_for(50);
    assert!(values_of(&world, "beside").is_some(), "it ran during the preparation");
    world.run_for(100);
    assert_eq!(values_of(&world, "w"), None, "it waits for the slot");
    world.run_for(100);
    assert_eq!(values_of(&world, "w"), north());
    world.run_for(250);
    assert!(world.response(caller).is_some_and(|response| response.succeeded()));
}
