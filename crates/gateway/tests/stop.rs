//! Planned stops under load.

mod world;

use world::{KEY, LATEST, World, read};

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
    world.close_sessions_after_answers(0);
    let last = world.query(busy, "last", read("1"));
    world.run_for(10);
    assert!(last.succeeded());
    assert!(world.closed.contains(&busy));
    assert!(world.engines[0].is_stopped());
}
