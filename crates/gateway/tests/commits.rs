//! Sessions whose route moves between services: reads see the session's commits at each of them.

mod world;

use gateway::{
    catalog::{Catalog, Freshness, ServiceLimits},
    commits::{NewestCommit, SessionCommits},
    message::{Access, Statement},
};
use model::prelude::*;
use world::{
    Caller, Endpoint, HOST, KEY, Response, World, begin, execute, prepare, read, route, write,
};

/// The VM of the sessions. All primaries are far away from it, so that it prefers replicas.
const VM: usize = 1;

/// Freshness of a route whose reads accept any age and see the session's own commits.
const OWN_COMMITS: Freshness = Freshness::Bounded { max_age: None, own_commits: true };

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a valid name")
}

/// Three VMs and three services. The logs of the second and the third one are shorter than that of the first.
struct Moves {
    world: World,
    generation: u64,
    caller: Caller,
}

impl Moves {
    fn new() -> Moves {
        Moves::with_vms_without_links(&[])
    }

    /// With VMs that are reached by no links, so that each VM uses connections of its own.
    fn with_vms_without_links(vms: &[usize]) -> Moves {
        let mut world =
            World::unconfigured(3).with_service(name("annex")).with_service(name("stock"));
        world.vms_without_links.extend(vms);
        let mut moves =
            Moves { world, generation: 0, caller: Caller { vm: VM, key: Default::default() } };
        moves.move_to("ledger");
        for primary in [0, 3, 6] {
            moves.world.delays_ms.insert((Endpoint::Vm(VM), Endpoint::Database(primary)), 30);
        }
        moves.world.run_for(3_000);
        moves.caller = moves.world.open(VM, HOST, KEY);
        for number in 0..5 {
            moves.succeed(&format!("early{number}"), write("1"));
        }
        moves.world.run_for(500);
        moves.succeed("early", read("1"));
        moves.world.replicating = false;
        moves
    }

    fn catalog(&mut self, service: &str, freshness: Freshness, services: &[&str]) -> Catalog {
        self.generation += 1;
        let mut catalog = world::catalog(self.generation, 1e6, 100);
        let mut moved = route(freshness);
        moved.service = name(service);
        moved.statement_timeout = DurationUs::from_ms(3_000);
        catalog.routes.insert(HOST.into(), moved);
        let limits = || ServiceLimits { connections: 100, ..ServiceLimits::default() };
        catalog.services = services.iter().map(|service| (name(service), limits())).collect();
        catalog
    }

    /// Moves the route without waiting for anything.
    fn start_move_to(&mut self, service: &str) {
        let catalog = self.catalog(service, OWN_COMMITS, &["ledger", "annex", "stock"]);
        self.world.configure(catalog);
    }

    fn move_to(&mut self, service: &str) {
        self.start_move_to(service);
        self.world.run_for(300);
    }

    fn succeed(&mut self, id: &str, statement: Statement) {
        let response = self.world.query(self.caller, id, statement);
        assert!(response.succeeded(), "{id}: {response:?}");
    }

    /// Whether the database that ran a read has the write `written`.
    fn saw(&mut self, id: &str, written: &str) -> bool {
        (0..3).any(|group| {
            let (group, _) = self.world.group_of(3 * group);
            let ran = group.runs.iter().rev().find(|run| &*run.id == id);
            let member = ran.and_then(|run| group.member_index(&run.database));
            member.is_some_and(|member| group.has_write(member, written))
        })
    }

    /// Reads several times; each read must see the write `written`.
    fn check_sees(&mut self, written: &str) {
        for round in 0..4 {
            let id = format!("{written}-read{}-{round}", self.generation);
            self.succeed(&id, read("1"));
            assert!(self.saw(&id, written), "{id} ran without {written}");
        }
    }
}

/// Guards against a commit that is forgotten once the session commits at another service.
#[test]
fn session_sees_its_commit_after_its_route_moved_and_came_back() {
    let mut moves = Moves::new();
    moves.succeed("w1", write("1"));
    moves.move_to("annex");
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.check_sees("w1");
    moves.move_to("annex");
    moves.check_sees("w2");
}

#[test]
fn session_sees_its_commits_at_three_services() {
    let mut moves = Moves::new();
    let services = ["ledger", "annex", "stock"];
    for (service, id) in services.iter().zip(["w1", "w2", "w3"]) {
        moves.move_to(service);
        moves.succeed(id, write("1"));
    }
    for (service, id) in services.iter().zip(["w1", "w2", "w3"]).rev() {
        moves.move_to(service);
        moves.check_sees(id);
    }
}

/// The second commit at a service counts, wherever the session was in between.
#[test]
fn session_sees_its_newest_commit_at_a_service() {
    let mut moves = Moves::new();
    moves.succeed("w1", write("1"));
    moves.move_to("annex");
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.succeed("w3", write("1"));
    moves.move_to("annex");
    moves.succeed("w4", write("1"));
    moves.move_to("ledger");
    moves.check_sees("w3");
}

#[test]
fn session_sees_commit_whose_route_moved_within_the_transaction() {
    for moves_before_commit in [true, false] {
        let mut moves = Moves::new();
        moves.succeed("b1", begin(Access::Write));
        moves.succeed("w1", write("1"));
        if moves_before_commit {
            moves.move_to("annex");
            moves.succeed("c1", Statement::Commit);
        } else {
            let caller = moves.caller;
            moves.world.send(caller, "c1", Statement::Commit);
            moves.start_move_to("annex");
            assert_eq!(moves.world.response(caller), None, "the COMMIT is answered already");
            moves.world.run_for(300);
            assert!(moves.world.response(caller).is_some_and(|response| response.succeeded()));
        }
        moves.succeed("w2", write("1"));
        moves.move_to("ledger");
        moves.check_sees("w1");
    }
}

#[test]
fn read_transaction_sees_commit_after_the_route_came_back() {
    let mut moves = Moves::new();
    moves.succeed("w1", write("1"));
    moves.move_to("annex");
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.succeed("b1", begin(Access::Read));
    moves.succeed("r1", read("1"));
    assert!(moves.saw("r1", "w1"));
    moves.succeed("c1", Statement::Commit);
}

#[test]
fn session_sees_commit_of_a_prepared_write() {
    let mut moves = Moves::new();
    moves.succeed("p1", prepare("s", Access::Write, "q"));
    moves.succeed("w1", execute("s", "1"));
    moves.move_to("annex");
    moves.succeed("w2", execute("s", "1"));
    moves.move_to("ledger");
    moves.check_sees("w1");
}

/// Commits count whatever the route's kind was when they were made.
#[test]
fn session_sees_commits_of_a_route_that_changes_its_kind() {
    let bounded =
        Freshness::Bounded { max_age: Some(DurationUs::from_ms(5_000)), own_commits: false };
    for freshness in [Freshness::Latest, bounded] {
        let mut moves = Moves::new();
        let catalog = moves.catalog("ledger", freshness, &["ledger", "annex"]);
        moves.world.configure(catalog);
        moves.succeed("w1", write("1"));
        moves.move_to("annex");
        moves.succeed("w2", write("1"));
        moves.move_to("ledger");
        moves.check_sees("w1");
    }
}

#[test]
fn session_sees_commit_at_a_service_that_was_removed_and_put_back() {
    let mut moves = Moves::new();
    moves.succeed("w1", write("1"));
    let catalog = moves.catalog("annex", OWN_COMMITS, &["annex"]);
    moves.world.configure(catalog);
    moves.world.run_for(300);
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.check_sees("w1");
}

/// A commit of an earlier term: the new primary has it, a replica may lack it.
#[test]
fn session_sees_commit_though_its_service_changed_primaries_meanwhile() {
    let mut moves = Moves::new();
    moves.succeed("w1", write("1"));
    moves.world.deaf.insert(1);
    moves.world.replicating = true;
    moves.move_to("annex");
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.world.crash_database(0);
    // Another session notices the loss.
    let other = moves.world.open(0, world::LATEST, KEY);
    moves.world.send(other, "w3", write("1"));
    moves.world.run_for(4_000);
    assert_eq!(moves.world.promotions, [world::database_name(2)]);
    moves.check_sees("w1");
}

/// A commit whose answer is held back counts for the service at which it was made.
#[test]
fn session_sees_commit_that_was_held_back_until_its_term_was_confirmed() {
    let mut moves = Moves::with_vms_without_links(&[0, 1, 2]);
    let caller = moves.caller;
    // The answer comes once the lease has expired.
    moves.world.isolate_vm(VM);
    moves.world.run_for(900);
    moves.world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(VM)), 420);
    moves.world.send(caller, "w1", write("1"));
    moves.world.run_for(500);
    moves.world.delays_ms.remove(&(Endpoint::Database(0), Endpoint::Vm(VM)));
    assert!(moves.world.group.has_write(0, "w1"), "the write has not run");
    assert_eq!(moves.world.response(caller), None, "the answer is not held back");
    moves.start_move_to("annex");
    moves.world.cuts.clear();
    moves.world.run_for(1_000);
    let response = moves.world.response(caller);
    assert!(response.as_ref().is_some_and(Response::succeeded), "{response:?}");
    moves.succeed("w2", write("1"));
    moves.move_to("ledger");
    moves.check_sees("w1");
}

/// A VM that served other services only knows nothing of commits that others acknowledged meanwhile.
#[test]
fn bounded_read_sees_commits_of_other_vms_though_its_service_was_away() {
    let bounded =
        Freshness::Bounded { max_age: Some(DurationUs::from_ms(500)), own_commits: false };
    let mut moves = Moves::new();
    let others = moves.world.open(0, world::LATEST, KEY);
    let catalog = moves.catalog("annex", bounded, &["ledger", "annex"]);
    moves.world.configure(catalog);
    moves.world.run_for(1_000);
    assert!(moves.world.query(others, "w1", write("1")).succeeded());
    moves.world.run_for(600);
    let catalog = moves.catalog("ledger", bounded, &["ledger", "annex"]);
    moves.world.configure(catalog);
    moves.check_sees("w1");
}

fn position(term: u64, index: u64) -> Position {
    Position { term: Term(term), index }
}

fn catalog_of(services: &[&str]) -> Catalog {
    let mut catalog = world::catalog(1, 1e6, 100);
    catalog.services =
        services.iter().map(|service| (name(service), ServiceLimits::default())).collect();
    catalog
}

#[test]
fn newest_commit_is_that_of_the_service() {
    use NewestCommit::{After, At};
    let catalog = catalog_of(&["a", "b", "c"]);
    // Answers to commits with their positions, and the newest commit at `a` then.
    let check = |answers: &[(&str, Option<Position>)], expected: Option<NewestCommit>| {
        let mut commits = SessionCommits::default();
        for (service, position) in answers {
            commits.note(name(service), *position, &catalog);
        }
        assert_eq!(commits.newest(&name("a")), expected, "{answers:?}");
    };
    let (low, high) = (position(1, 90), position(2, 5));
    check(&[], None);
    check(&[("b", Some(high))], None);
    check(&[("a", Some(low))], Some(At(low)));
    check(&[("a", Some(low)), ("b", Some(high))], Some(At(low)));
    check(&[("a", Some(low)), ("b", Some(high)), ("c", None)], Some(At(low)));
    check(&[("a", Some(low)), ("a", Some(high))], Some(At(high)));
    // Answers of two terms come in turn.
    check(&[("a", Some(high)), ("a", Some(low))], Some(At(high)));
    check(&[("a", Some(low)), ("a", None)], Some(After(low)));
    check(&[("a", None)], Some(After(Position::ZERO)));
    check(&[("a", None), ("a", Some(high))], Some(At(high)));
    check(&[("a", Some(high)), ("a", None), ("a", Some(low))], Some(At(high)));
}

/// Guards against a session whose entries grow with each service that was ever configured, and against one that forgets
/// that there was a commit.
#[test]
fn commits_are_bounded_by_the_services_of_the_configuration() {
    let mut commits = SessionCommits::default();
    let (both, first) = (catalog_of(&["a", "b"]), catalog_of(&["a", "c"]));
    commits.note(name("a"), Some(position(1, 1)), &both);
    commits.note(name("b"), Some(position(1, 2)), &both);
    // There is no room for `b`, which is not configured any more.
    commits.note(name("c"), Some(position(1, 3)), &first);
    assert_eq!(commits.newest(&name("a")), Some(NewestCommit::At(position(1, 1))));
    assert_eq!(commits.newest(&name("c")), Some(NewestCommit::At(position(1, 3))));
    assert_eq!(commits.newest(&name("b")), Some(NewestCommit::After(Position::ZERO)));
    commits.note(name("b"), Some(position(1, 4)), &both);
    assert_eq!(commits.newest(&name("b")), Some(NewestCommit::At(position(1, 4))));
    assert_eq!(commits.newest(&name("c")), Some(NewestCommit::After(Position::ZERO)));
}

/// A session costs no more than with the position and the service of one commit.
#[test]
fn session_commits_are_small() {
    let one_commit = size_of::<Option<Position>>() + size_of::<Option<ServiceName>>();
    assert!(size_of::<SessionCommits>() <= one_commit);
}
