//! Planned stops under load.

mod world;

use gateway::message::{Access, ErrorCode, Statement, TransactionState};
use world::{
    Caller, KEY, LATEST, Response, World, begin,
    faults::{FaultOutcome, RequestFault, RequestKind},
    read, set, write,
};

/// Time from half of the grace period until the process ends, with the bounds of most deployments.
const LEFT_MS: u64 = 2_500;

/// Guards against a statement that is cut off at the end of a stop: a caller that sends one after another is never
/// idle for long enough to be closed in between.
#[test]
fn close_sessions_after_answers_busy_caller() {
    let mut world = World::new(3);
    let busy = world.open(0, LATEST, KEY);
    world.stop_vm(0);
    for round in 0..20 {
        assert!(world.query(busy, &format!("r{round}"), read("1")).succeeded());
        world.run_for(100);
    }
    assert!(!world.closed.contains(&busy), "closed while the stop has time left");
    world.end_work(0, LEFT_MS);
    let last = world.query(busy, "last", read("1"));
    world.run_for(10);
    assert!(last.succeeded());
    assert!(world.closed.contains(&busy));
    assert!(world.engines[0].is_stopped());
}

/// A session of VM 0 with an open transaction in which `w1` was written.
fn open_transaction(world: &mut World, vm: usize) -> Caller {
    let caller = world.open(vm, LATEST, KEY);
    assert!(world.query(caller, "begin", begin(Access::Write)).succeeded());
    assert!(world.query(caller, "w1", write("1")).succeeded());
    caller
}

fn outcomes(responses: &[Response]) -> Vec<(Option<ErrorCode>, Option<TransactionState>)> {
    responses.iter().map(|response| (response.error, response.state)).collect()
}

/// The answers to all of a caller's statements but the first `skipped`.
fn outcomes_after(
    world: &World,
    caller: Caller,
    skipped: usize,
) -> Vec<(Option<ErrorCode>, Option<TransactionState>)> {
    outcomes(&world.responses(caller)[skipped..])
}

const ABORTED_OPEN: (Option<ErrorCode>, Option<TransactionState>) =
    (Some(ErrorCode::Aborted), Some(TransactionState::Failed));
const ABORTED: (Option<ErrorCode>, Option<TransactionState>) =
    (Some(ErrorCode::Aborted), Some(TransactionState::Idle));
const BUSY: (Option<ErrorCode>, Option<TransactionState>) =
    (Some(ErrorCode::Busy), Some(TransactionState::Idle));
const DONE: (Option<ErrorCode>, Option<TransactionState>) = (None, Some(TransactionState::Idle));
const DONE_OPEN: (Option<ErrorCode>, Option<TransactionState>) =
    (None, Some(TransactionState::Open));

fn ran(world: &World, id: &str) -> bool {
    world.group.runs.iter().any(|run| &*run.id == id)
}

/// Guards against a transaction that goes on in the second half of the grace period, and whose statement is cut off
/// at the end: it is busy at half, and is rolled back with its next answer.
#[test]
fn end_work_busy_transaction() {
    let mut world = World::new(3);
    let caller = open_transaction(&mut world, 0);
    world.stop_vm(0);
    world.send(caller, "w2", write("2"));
    world.end_work(0, LEFT_MS);
    world.run_for(100);
    assert_eq!(outcomes_after(&world, caller, 2), [DONE_OPEN]);
    assert!(!world.closed.contains(&caller), "its caller does not know yet");
    let next = world.query(caller, "w3", write("3"));
    assert_eq!(outcomes(&[next]), [ABORTED]);
    assert!(!ran(&world, "w3"));
    world.run_for(100);
    assert!(world.closed.contains(&caller));
    assert!(!world.group.has_write(0, "w1"));
    assert!(world.engines[0].is_stopped());
}

/// An idle transaction is rolled back at once.
#[test]
fn end_work_idle_transaction() {
    let mut world = World::new(3);
    let (caller, begun) = (open_transaction(&mut world, 0), world.open(0, LATEST, KEY));
    assert!(world.query(begun, "b", begin(Access::Read)).succeeded());
    world.stop_vm(0);
    world.end_work(0, LEFT_MS);
    world.run_for(100);
    let next = world.query(caller, "c", Statement::Commit);
    assert_eq!(outcomes(&[next]), [ABORTED]);
    let next = world.query(begun, "r", read("1"));
    assert_eq!(outcomes(&[next]), [ABORTED]);
    assert!(world.closed.contains(&caller) && world.closed.contains(&begun));
    assert!(!world.group.has_write(0, "w1"));
}

/// What was queued behind the statement in progress is answered, too; nothing of it runs outside the transaction.
#[test]
fn end_work_queued_statements() {
    let mut world = World::new(3);
    let caller = open_transaction(&mut world, 0);
    world.stop_vm(0);
    let queued = [("w2", write("2")), ("w3", write("3")), ("s", set("zone", "north"))];
    queued.into_iter().for_each(|(id, statement)| world.send(caller, id, statement));
    world.send(caller, "w4", write("4"));
    world.end_work(0, LEFT_MS);
    world.run_for(100);
    let expected = [DONE_OPEN, ABORTED_OPEN, ABORTED_OPEN, ABORTED];
    assert_eq!(outcomes_after(&world, caller, 2), expected);
    assert!(!ran(&world, "w3") && !ran(&world, "w4"));
    assert!(!world.group.has_write(0, "w1"));
    assert!(world.closed.contains(&caller));
}

/// A `COMMIT` that was read behind the statement in progress is carried out, with what was read before it.
#[test]
fn end_work_queued_commit() {
    let mut world = World::new(3);
    let caller = open_transaction(&mut world, 0);
    world.stop_vm(0);
    world.send(caller, "w2", write("2"));
    world.send(caller, "r", read("3"));
    world.send(caller, "c", Statement::Commit);
    world.end_work(0, LEFT_MS);
    world.run_for(100);
    assert_eq!(outcomes_after(&world, caller, 2), [DONE_OPEN, DONE_OPEN, DONE]);
    assert!(world.group.has_write(0, "w1") && world.group.has_write(0, "w2"));
    assert!(world.closed.contains(&caller));
}

/// A transaction that begins in the second half, on a connection that is still open, is refused with all that was
/// sent for it.
#[test]
fn begin_after_end_of_work() {
    let mut world = World::new(3);
    let caller = world.open(0, LATEST, KEY);
    assert!(world.query(caller, "r", read("1")).succeeded());
    world.stop_vm(0);
    world.end_work(0, LEFT_MS);
    let transaction =
        vec![("b", begin(Access::Write)), ("w", write("1")), ("c", Statement::Commit)];
    world.send_together(caller, transaction);
    world.run_for(100);
    assert_eq!(outcomes_after(&world, caller, 1), [BUSY, BUSY, BUSY]);
    assert!(!ran(&world, "w"));
    assert!(world.closed.contains(&caller));
}

/// Statements that were read together are all answered before their session is closed.
#[test]
fn end_work_statements_read_together() {
    let mut world = World::new(3);
    let caller = world.open(0, LATEST, KEY);
    assert!(world.query(caller, "r", read("1")).succeeded());
    world.stop_vm(0);
    world.end_work(0, LEFT_MS);
    let together = vec![("s", set("zone", "north")), ("r1", read("1")), ("r2", read("2"))];
    world.send_together(caller, together);
    world.run_for(100);
    assert_eq!(outcomes_after(&world, caller, 1), [DONE, DONE, DONE]);
    assert!(world.closed.contains(&caller));
}

/// A statement whose time limit (1 s) ends after the process is not sent to a database, but refused at once.
#[test]
fn single_statement_close_to_the_end() {
    for (left_ms, expected) in [(1_100, DONE), (900, BUSY)] {
        let mut world = World::new(3);
        let caller = world.open(0, LATEST, KEY);
        assert!(world.query(caller, "r", read("1")).succeeded());
        world.stop_vm(0);
        world.end_work(0, left_ms);
        world.send(caller, "w", write("1"));
        if expected == BUSY {
            assert_eq!(outcomes_after(&world, caller, 1), [BUSY], "at once");
        }
        world.run_for(100);
        assert_eq!(outcomes_after(&world, caller, 1), [expected], "{left_ms} ms left");
        assert_eq!(ran(&world, "w"), expected == DONE, "{left_ms} ms left");
        assert!(world.closed.contains(&caller));
    }
}

/// Statements that wait for a primary when half of the grace period is over are refused at once if they could not be
/// answered before the end; the transaction of one is rolled back.
#[test]
fn end_work_waiting_statements() {
    let mut world = World::new(3);
    let (single, transaction) = (world.open(0, LATEST, KEY), world.open(0, LATEST, KEY));
    assert!(world.query(transaction, "b", begin(Access::Write)).succeeded());
    world.crash_database(0);
    world.run_for(600);
    world.stop_vm(0);
    world.send(single, "w", write("1"));
    world.send(transaction, "t", write("2"));
    world.run_for(50);
    assert_eq!(world.response(single), None, "it waits for the next primary");
    world.end_work(0, 800);
    assert_eq!(outcomes_after(&world, single, 0), [BUSY]);
    assert_eq!(outcomes_after(&world, transaction, 1), [ABORTED]);
    assert!(world.closed.contains(&single) && world.closed.contains(&transaction));
}

/// What is at a database that does not answer is answered when the process has to end: what may have taken effect as
/// in doubt, and never more than once.
#[test]
fn answer_outstanding_at_the_end() {
    let mut world = World::new(3);
    let (single, transaction) = (world.open(0, LATEST, KEY), open_transaction(&mut world, 0));
    assert!(world.query(single, "r", read("1")).succeeded());
    let silent = RequestFault::new(RequestKind::Statement, FaultOutcome::Silence);
    world.request_faults = (0..3).map(|database| RequestFault { database, ..silent }).collect();
    world.stop_vm(0);
    world.send(single, "w", write("1"));
    world.send(single, "r2", read("2"));
    world.send(transaction, "t", write("2"));
    world.end_work(0, 300);
    world.run_for(300);
    assert_eq!(world.response(single), None);
    world.answer_outstanding(0);
    let in_doubt = (Some(ErrorCode::InDoubt), Some(TransactionState::Idle));
    assert_eq!(outcomes_after(&world, single, 1), [in_doubt, BUSY]);
    assert_eq!(outcomes_after(&world, transaction, 2), [ABORTED]);
    assert!(world.engines[0].is_stopped());
    world.run_for(500);
    assert_eq!(world.responses(single).len(), 3);
}

/// A fleet in which most VMs use the connections of others.
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

/// Transactions of peers end at a holder that stops, also those with a request in progress. A `COMMIT` that is on its way
/// is known not to have run.
#[test]
fn end_work_transactions_of_peers() {
    for (busy, commits) in [(false, false), (false, true), (true, false), (true, true)] {
        let case = format!("busy: {busy}, commits: {commits}");
        let mut world = holders_world();
        let (holder, vm) = (world.holder(0), distant_vm(&world));
        let caller = open_transaction(&mut world, vm);
        world.stop_vm(holder);
        world.run_for(20);
        let mut skipped = 2;
        if busy {
            world.send(caller, "w2", write("2"));
            // The request has reached the holder, and its answer has not come back.
            world.run_for(10);
            skipped = 3;
        }
        let statement = if commits { Statement::Commit } else { write("3") };
        world.send(caller, "next", statement);
        world.end_work(holder, LEFT_MS);
        world.run_for(200);
        let answer = world.responses(caller)[skipped].clone();
        assert_eq!(answer.error, Some(ErrorCode::Aborted), "{case}: {answer:?}");
        assert!(!world.group.has_write(0, "w1"), "{case}");
        assert!(world.engines[holder].is_stopped(), "{case}");
    }
}

/// The VM of a session stops while its transaction is open at a holder that goes on.
#[test]
fn end_work_transaction_at_a_holder() {
    for commits in [false, true] {
        let mut world = holders_world();
        let vm = distant_vm(&world);
        let caller = open_transaction(&mut world, vm);
        world.stop_vm(vm);
        world.send(caller, "w2", write("2"));
        if commits {
            world.send(caller, "c", Statement::Commit);
        }
        world.end_work(vm, LEFT_MS);
        world.run_for(200);
        assert!(world.responses(caller)[2].succeeded());
        assert_eq!(world.group.has_write(0, "w1"), commits);
        if !commits {
            let next = world.query(caller, "w3", write("3"));
            assert_eq!(outcomes(&[next]), [ABORTED]);
        }
        world.run_for(100);
        assert!(world.closed.contains(&caller) && world.engines[vm].is_stopped());
    }
}

/// A session start that waits for the first configuration is answered before its connection is closed.
#[test]
fn stop_before_the_configuration() {
    let mut world = World::unconfigured(1);
    let caller = world.open(0, LATEST, KEY);
    world.await_start(caller);
    world.stop_vm(0);
    world.run_for(500);
    assert_eq!(world.responses(caller)[0].error, Some(ErrorCode::Busy));
    assert!(world.closed.contains(&caller));
}
