//! Recorded traces and random schedules of failing primaries.

use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use replay::{
    failover::{self, Event, world::World},
    trace,
};

#[test]
fn replay_failover_traces() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/failover");
    let mut names: Vec<String> = std::fs::read_dir(dir)
        .expect("the directory of traces")
        .map(|entry| entry.expect("a directory entry").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let mut failures = Vec::new();
    for name in &names {
        let lines = trace::read::<Event>(&format!("failover/{name}")).expect("a valid trace");
        if let Err(error) = failover::replay(&lines) {
            failures.push(format!("{name}: {error}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Injects random faults for a while, then ends them and expects service and every acknowledged write.
/// At most a minority of the databases is killed. Returns the number of acknowledged writes.
fn run_schedule(seed: u64) -> Result<usize, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let databases = [3, 5][rng.random_range(0..2)];
    let mut world = World::new(6, databases, seed);
    let node = |rng: &mut StdRng| match rng.random_range(0..3) {
        0 => format!("v{}", rng.random_range(1..=6)),
        _ => format!("d{}", rng.random_range(1..=databases)),
    };
    let mut killed = 0;
    let mut frozen: Vec<String> = Vec::new();
    for _ in 0..24 {
        let event = match rng.random_range(0..13) {
            0 if killed < databases / 2 => {
                killed += 1;
                Event::Kill { node: format!("d{killed}") }
            }
            1 | 2 => {
                let node = node(&mut rng);
                frozen.push(node.clone());
                Event::Freeze { node }
            }
            3 | 4 => Event::Thaw { node: frozen.pop().unwrap_or_else(|| "v1".to_owned()) },
            5 => Event::Cut { node: node(&mut rng), from: vec![node(&mut rng), node(&mut rng)] },
            6 => Event::Partition { side: vec![node(&mut rng)] },
            7 => Event::Partition { side: vec![node(&mut rng), node(&mut rng), node(&mut rng)] },
            8 => Event::Lag { node: node(&mut rng), ms: rng.random_range(0..1_500) },
            9 | 10 => Event::Slow { ms: rng.random_range(20..400) },
            _ => Event::Heal {},
        };
        // A killed database is never frozen or thawed, which would bring it back.
        let revives = matches!(&event, Event::Freeze { node } | Event::Thaw { node }
            if (1..=killed).any(|n| *node == format!("d{n}")));
        if !revives {
            failover::apply(&mut world, &event)?;
        }
        world.run_until(world.now + DurationUs::from_ms(rng.random_range(50..1_500)));
        world.history.check()?;
    }
    end_faults(&mut world, databases, killed);
    world.run_until(world.now + DurationUs::from_ms(6_000));
    failover::apply(&mut world, &Event::ExpectService { within_ms: 300 })?;
    world.run_until(world.now + DurationUs::from_ms(2_500));
    let primary = world.history.primary().map(|(_, name)| name.to_owned()).ok_or("no primary")?;
    world.history.check_final(&primary, &world.databases[&primary].data);
    world.history.check()?;
    Ok(world.history.acknowledged_count())
}

fn end_faults(world: &mut World, databases: usize, killed: usize) {
    world.network.heal();
    let vms = (1..=6).map(|n| format!("v{n}"));
    let alive = (killed + 1..=databases).map(|n| format!("d{n}"));
    for node in vms.chain(alive) {
        world.set_lag(&node, DurationUs::default());
        world.thaw(&node);
    }
}

#[test]
fn schedule_keeps_acknowledged_writes_and_ends_in_service() {
    let failures: Vec<String> = (0..24)
        .filter_map(|seed| run_schedule(seed).err().map(|error| format!("seed {seed}: {error}")))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// The primary is killed while one replica lags, so that only the other replica holds every
/// acknowledged write. That one must become primary, whichever of the two grants the new term first.
#[test]
fn promote_never_picks_replica_missing_acknowledged_writes() {
    for seed in 100..108 {
        let mut world = World::new(6, 3, seed);
        world.run_until(MonoTime(3_000_000));
        for event in [Event::Lag { node: "d3".to_owned(), ms: 4_000 }, Event::Slow { ms: 300 }] {
            failover::apply(&mut world, &event).expect("the event applies");
        }
        world.run_until(MonoTime(6_000_000));
        world.kill("d1");
        world.run_until(MonoTime(12_000_000));
        world.network.heal();
        world.run_until(MonoTime(15_000_000));
        let ended = world.history.check().and_then(|()| {
            failover::apply(
                &mut world,
                &Event::ExpectPrimary { database: Some("d2".to_owned()), not: Vec::new() },
            )
        });
        assert_eq!(ended, Ok(()), "seed {seed}");
    }
}
