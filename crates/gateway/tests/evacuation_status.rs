//! What a VM knows of evacuations: readiness and status.

mod world;

use gateway::{message::Access, policy::Policy};
use model::prelude::*;
use world::{KEY, LATEST, World, begin, catalog, dc, write};

/// Three VMs of a deployment with or without evacuations, in contact with each other.
fn world(evacuation_bound: Option<DurationUs>) -> World {
    let policy = Policy { evacuation_bound, ..Policy::default() };
    let mut world = World::with_policy(3, policy, FxHashMap::default());
    world.configure(catalog(1, 1_000.0, 40));
    world.run_for(2_000);
    world
}

const BOUND: Option<DurationUs> = Some(DurationUs::from_ms(5_000));

fn set_evacuations(world: &mut World, version: u64, dcs: &[DcName]) {
    for engine in &mut world.engines {
        engine.set_evacuations(world.now, version, dcs.to_vec());
    }
}

/// Guards against a VM that takes callers before it knows which databases must get no work.
#[test]
fn vm_is_ready_once_the_evacuations_are_known() {
    let mut world = world(BOUND);
    assert!(!world.engines[0].is_ready());
    set_evacuations(&mut world, 1, &[]);
    assert!(world.engines[0].is_ready());
}

#[test]
fn vm_is_ready_where_the_deployment_has_no_evacuations() {
    assert!(world(None).engines[0].is_ready());
}

/// Guards against a list of an earlier version that ends an evacuation.
#[test]
fn older_list_changes_nothing() {
    let mut world = world(BOUND);
    set_evacuations(&mut world, 5, &[dc(0)]);
    set_evacuations(&mut world, 4, &[]);
    assert_eq!(world.engines[0].evacuations_version(), 5);
    assert_eq!(world.engines[0].evacuation_status().len(), 1);
    set_evacuations(&mut world, 6, &[]);
    assert!(world.engines[0].evacuation_status().is_empty());
}

/// Guards against a status that hides what still runs in a data centre, over all VMs together.
#[test]
fn status_counts_open_transactions_in_the_data_centre() {
    let mut world = world(BOUND);
    set_evacuations(&mut world, 1, &[]);
    let caller = world.open(0, LATEST, KEY);
    world.query(caller, "b", begin(Access::Write));
    assert!(world.query(caller, "w", write("1")).succeeded());
    set_evacuations(&mut world, 2, &[dc(0)]);
    let status = world.engines.iter().flat_map(|engine| engine.evacuation_status());
    let in_use: usize = status.map(|status| status.in_use).sum();
    assert_eq!(in_use, 1);
    world.run_for(300);
    let status = world.engines[1].evacuation_status();
    assert!(status[0].age >= DurationUs::from_ms(250), "{status:?}");
}
