//! Sessions that share connections: session variables, prepared statements, transactions, and errors.

mod world;

use gateway::message::{Access, ErrorCode, Statement, TransactionState};
use world::{
    BOUNDED, Endpoint, HOST, KEY, LATEST, World, begin, execute, prepare, read, set, write,
};

#[test]
fn values_stay_with_their_session() {
    let mut world = World::new(1);
    let (a, b) = (world.open(0, LATEST, KEY), world.open(0, LATEST, KEY));
    assert!(world.query(a, "a1", set("zone", "north")).succeeded());
    assert!(world.query(b, "b1", set("zone", "south")).succeeded());
    for round in 0..5 {
        for (caller, id) in [(a, "a"), (b, "b")] {
            assert!(world.query(caller, &format!("{id}-{round}"), read("1")).succeeded());
        }
    }
    let plain = world.open(0, LATEST, KEY);
    assert!(world.query(plain, "c", read("1")).succeeded());
    for run in &world.group.runs {
        let expected = match run.id.chars().next() {
            Some('a') => Some("north"),
            Some('b') => Some("south"),
            _ => None,
        };
        assert_eq!(run.variables.get("zone").map(|value| &**value), expected, "{run:?}");
    }
}

#[test]
fn prepared_names_are_separate_between_sessions() {
    let mut world = World::new(1);
    let (a, b) = (world.open(0, LATEST, KEY), world.open(0, LATEST, KEY));
    assert!(world.query(a, "a1", prepare("s", Access::Read, "q-one")).succeeded());
    assert!(world.query(b, "b1", prepare("s", Access::Write, "q-two")).succeeded());
    assert!(world.query(a, "a2", execute("s", "7")).succeeded());
    assert!(world.query(b, "b2", execute("s", "7 x")).succeeded());
    let texts: Vec<&str> = world.group.runs.iter().map(|run| &*run.text).collect();
    assert_eq!(texts, ["q-one 7", "q-two 7 x"]);
    assert!(world.query(a, "a3", Statement::Deallocate { name: "s".into() }).succeeded());
    let response = world.query(a, "a4", execute("s", "7"));
    assert_eq!(response.error, Some(ErrorCode::NoSuchStatement));
}

#[test]
fn transaction_holds_one_connection_from_its_first_statement() {
    let mut world = World::new(1);
    let (a, b) = (world.open(0, LATEST, KEY), world.open(0, LATEST, KEY));
    let response = world.query(a, "a1", begin(Access::Write));
    assert_eq!(response.state, Some(TransactionState::Open));
    assert!(world.group.runs.is_empty());
    assert!(world.query(a, "a2", write("1")).succeeded());
    assert!(world.query(b, "b1", write("2")).succeeded());
    assert!(!world.group.has_write(0, "a2"), "the transaction is not committed");
    assert!(world.query(a, "a3", Statement::Commit).succeeded());
    assert!(world.group.has_write(0, "a2"));
    let inside: Vec<bool> = world.group.runs.iter().map(|run| run.in_transaction).collect();
    assert_eq!(inside, [true, false]);
}

#[test]
fn rollback_keeps_nothing() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    world.query(a, "a1", begin(Access::Write));
    assert!(world.query(a, "a2", write("1")).succeeded());
    let response = world.query(a, "a3", Statement::Rollback);
    assert_eq!((response.succeeded(), response.state), (true, Some(TransactionState::Idle)));
    assert!(world.query(a, "a4", write("2")).succeeded());
    assert!(!world.group.has_write(0, "a2"));
    assert!(world.group.has_write(0, "a4"));
}

#[test]
fn values_set_in_a_rolled_back_transaction_stay() {
    let mut world = World::new(1);
    world.group.rollback_reverts_settings = true;
    let a = world.open(0, LATEST, KEY);
    world.query(a, "a1", begin(Access::Write));
    assert!(world.query(a, "a2", write("1")).succeeded());
    assert!(world.query(a, "a3", set("zone", "north")).succeeded());
    assert!(world.query(a, "a4", read("1")).succeeded());
    assert!(world.query(a, "a5", Statement::Rollback).succeeded());
    // The database undid the setting with the transaction; the next statement reuses the connection.
    world.run_for(50);
    assert!(world.query(a, "a6", read("1")).succeeded());
    let last = world.group.runs.last().expect("it ran");
    assert_eq!(last.variables.get("zone").map(|value| &**value), Some("north"));
}

#[test]
fn idle_transaction_is_rolled_back() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    world.query(a, "a1", begin(Access::Write));
    assert!(world.query(a, "a2", write("1")).succeeded());
    world.run_for(3_200);
    let response = world.query(a, "a3", write("2"));
    assert_eq!(response.error, Some(ErrorCode::Aborted));
    assert_eq!(response.state, Some(TransactionState::Failed));
    assert_eq!(world.query(a, "a4", read("2")).error, Some(ErrorCode::Malformed));
    assert!(world.query(a, "a5", Statement::Rollback).succeeded());
    assert!(world.query(a, "a6", write("3")).succeeded());
    assert!(!world.group.has_write(0, "a2"));
}

#[test]
fn busy_refusal_is_retried() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    world.group.members[0].busy_replies = 3;
    let response = world.query(a, "a1", write("1"));
    assert!(response.succeeded(), "{response:?}");
    assert_eq!(world.group.runs.len(), 1);
}

#[test]
fn revoked_key_ends_open_sessions() {
    let mut world = World::new(1);
    let (a, b) = (world.open(0, LATEST, KEY), world.open(0, LATEST, KEY));
    world.query(b, "b0", begin(Access::Write));
    assert!(world.query(b, "b1", write("1")).succeeded());
    let mut next = world::catalog(2, 1e6, 100);
    next.keys.remove(KEY);
    world.configure(next);
    assert!(world.closed.contains(&a), "the session was idle");
    assert_eq!(world.query(b, "b2", write("2")).error, Some(ErrorCode::NoAuth));
    world.run_for(50);
    assert!(!world.group.has_write(0, "b1"));
    let late = world.open(0, LATEST, KEY);
    assert!(world.closed.contains(&late));
}

#[test]
fn single_write_without_an_answer_is_in_doubt() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    assert!(world.query(a, "a0", write("0")).succeeded());
    world.cut_database_from_vms(0);
    let response = world.query(a, "a1", write("1"));
    assert_eq!(response.error, Some(ErrorCode::InDoubt));
}

#[test]
fn read_without_an_answer_runs_elsewhere() {
    let mut world = World::new(3);
    let a = world.open(1, BOUNDED, KEY);
    let writer = world.open(1, LATEST, KEY);
    assert!(world.query(writer, "w", write("1")).succeeded());
    assert!(world.query(a, "a0", read("1")).succeeded());
    world.cut_database_from_vms(1);
    let response = world.query(a, "a1", read("1"));
    assert!(response.succeeded(), "{response:?}");
}

#[test]
fn session_reads_its_own_commits_with_lagging_replicas() {
    let mut world = World::new(3);
    let a = world.open(1, HOST, KEY);
    assert!(world.query(a, "first", read("1")).succeeded());
    world.replicating = false;
    // The primary is far away, so replicas are preferred.
    world.delays_ms.insert((Endpoint::Vm(1), Endpoint::Database(0)), 100);
    for round in 0..6 {
        let (w, r) = (format!("w{round}"), format!("r{round}"));
        assert!(world.query(a, &w, write("1")).succeeded());
        assert!(world.query(a, &r, read("1")).succeeded());
        let run = world.group.runs.iter().find(|run| *run.id == *r).expect("it ran");
        let member = world.group.member_index(&run.database).expect("a member");
        assert!(world.group.has_write(member, &w), "{run:?} lacks {w}");
    }
}

#[test]
fn start_waits_for_the_configuration() {
    let mut world = World::unconfigured(1);
    let a = world.open(0, LATEST, KEY);
    world.run_for(200);
    assert!(!world.closed.contains(&a), "routes are not known yet");
    world.configure(world::catalog(1, 1e6, 100));
    world.run_for(1_000);
    assert!(world.query(a, "a1", read("1")).succeeded());
    let unknown = world.open(0, "nowhere", KEY);
    assert!(world.closed.contains(&unknown));
}
