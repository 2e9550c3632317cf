//! Damaged messages between VMs.

mod world;

use model::prelude::*;
use world::{Corruption, KEY, LATEST, World, read, write};

/// Number of damaged runs; each has its own seed.
const RUNS: u64 = 24;

/// Guards against a message from a peer that ends the process: one VM with damaged memory, or of a build with a
/// fault, would take the whole fleet down.
#[test]
fn peer_messages_with_random_damage() {
    for seed in 0..RUNS {
        let mut world = World::new(7);
        world.corruption = Some(Corruption::new(seed, 6));
        let callers: Vec<_> = (0..7).map(|vm| world.open(vm, LATEST, KEY)).collect();
        for round in 0..12 {
            for caller in &callers {
                let statement = if round % 3 == 0 { write("1") } else { read("1") };
                world.send(*caller, &format!("{round}"), statement);
            }
            world.run_for(120);
        }
        world.corruption = None;
        world.run_for(1_500);
        for caller in callers {
            let answered = world.responses(caller).len();
            assert_eq!(answered, 12, "seed {seed}: a statement has no answer");
        }
    }
}

/// Guards against a lease without an end: a heartbeat may claim any remainder.
#[test]
fn lease_left_beyond_a_lease() {
    let mut world = World::new(5);
    world.corruption = Some(Corruption::new(1, 1));
    world.run_for(2_000);
    for vm in 0..5 {
        world.isolate_vm(vm);
    }
    world.run_for(2_000);
    let ready = (0..5).filter(|vm| world.engines[*vm].is_ready()).count();
    assert_eq!(ready, 0, "VMs without contact have a lease: {:?}", DurationUs::from_ms(2_000));
}
