//! The fair queue and the share of connections, in virtual time.

use std::collections::VecDeque;

use model::prelude::*;
use pool::{
    queue::{FairQueue, QUEUE_MAX, QueueFull, Ticket, WORKSPACE_QUEUE_MAX},
    scheduler::{AcquireError, Acquired, ConnectionScheduler, Released},
};
use quickcheck::{Gen, QuickCheck};

const NEVER: MonoTime = MonoTime(u64::MAX);
const HOLD: DurationUs = DurationUs::from_ms(10);

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

/// Takes the next request, of any workspace.
fn pop(queue: &mut FairQueue, now: MonoTime) -> Option<Ticket> {
    queue.pop(|_| true, now).map(|(ticket, _)| ticket)
}

/// Pushes one request for each letter, with the quantum of its workspace, and checks the order.
fn check_order(requests: &str, quanta: &[(char, u32)], expected: &str) {
    let mut queue = FairQueue::default();
    let quantum = |c: char| quanta.iter().find(|(w, _)| *w == c).map_or(1, |(_, q)| *q);
    for (at, c) in requests.chars().enumerate() {
        let name = workspace(&c.to_string());
        queue.push(Ticket(at as u64), &name, quantum(c), NEVER).expect("room");
    }
    let served = std::iter::from_fn(|| pop(&mut queue, MonoTime(0)));
    let order: String = served.filter_map(|t| requests.chars().nth(t.0 as usize)).collect();
    assert_eq!(order, expected, "{requests} with {quanta:?}");
    assert!(queue.is_empty());
}

#[test]
fn pop_serves_workspaces_round_robin() {
    for (requests, quanta, expected) in [
        ("aaaa", &[][..], "aaaa"),
        ("aaaab", &[], "abaaa"),
        ("aaabbc", &[], "abcaba"),
        ("aaaabbbb", &[('a', 2)], "aabaabbb"),
        ("aaaaaabc", &[('a', 3)], "aaabcaaa"),
    ] {
        check_order(requests, quanta, expected);
    }
}

#[test]
fn pop_skips_requests_past_their_deadline() {
    let mut queue = FairQueue::default();
    for (at, deadline) in [(1, 10), (2, 30), (3, 20)] {
        queue.push(Ticket(at), &workspace("a"), 1, MonoTime(deadline)).expect("room");
    }
    assert_eq!(pop(&mut queue, MonoTime(25)), Some(Ticket(2)));
    assert_eq!(pop(&mut queue, MonoTime(25)), None);
    assert_eq!(queue.len(), 0);
}

#[test]
fn push_is_bounded_for_each_workspace_and_for_all() {
    let mut queue = FairQueue::default();
    let mut fill = |name: &str| {
        let name = workspace(name);
        (0..).take_while(|n| queue.push(Ticket(*n), &name, 1, NEVER) != Err(QueueFull)).count()
    };
    assert_eq!(fill("a"), WORKSPACE_QUEUE_MAX);
    let others: usize = (0..10).map(|n| fill(&format!("b{n}"))).sum();
    assert_eq!(others, QUEUE_MAX - WORKSPACE_QUEUE_MAX);
}

#[test]
fn pop_gives_each_workspace_its_quantum() {
    fn holds(requests: Vec<(u8, u8)>) -> bool {
        let mut queue = FairQueue::default();
        let name = |n: u8| workspace(&format!("w{}", n % 4));
        let quantum = |n: u8| u32::from(n % 4) + 1;
        for (at, (n, _)) in requests.iter().enumerate() {
            let _ = queue.push(Ticket(at as u64), &name(*n), quantum(*n), NEVER);
        }
        let owner = |t: Ticket| requests[t.0 as usize].0 % 4;
        let order: Vec<u8> =
            std::iter::from_fn(|| pop(&mut queue, MonoTime(0))).map(owner).collect();
        // Between two turns of a workspace that still waits, no other is served beyond its quantum.
        (0..4).all(|w| {
            let last = order.iter().rposition(|o| *o == w).unwrap_or(0);
            let mut since = [0_u32; 4];
            order[..last].iter().all(|o| {
                since[usize::from(*o)] += 1;
                if *o == w {
                    since = [0; 4];
                }
                since[usize::from(*o)] <= quantum(*o)
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(500)
        .quickcheck(holds as fn(_) -> _);
}

#[test]
fn acquire_opens_reuses_and_queues() {
    let mut scheduler = ConnectionScheduler::default();
    let a = workspace("a");
    let now = MonoTime(1);
    assert_eq!(scheduler.acquire(&a, 1, NEVER, now), Err(AcquireError::NoShare));
    scheduler.set_limit(1);
    assert_eq!(scheduler.acquire(&a, 1, NEVER, now), Ok(Acquired::New));
    assert_eq!(scheduler.acquire(&a, 1, NEVER, now), Ok(Acquired::Queued(Ticket(1))));
    assert_eq!(scheduler.release(&a, HOLD, now), Released::Handed(Ticket(1), a.clone()));
    assert_eq!(scheduler.release(&a, HOLD, now), Released::Idle);
    assert_eq!(scheduler.acquire(&a, 1, NEVER, now), Ok(Acquired::Idle));
    assert_eq!(scheduler.open_count(), 1);
}

#[test]
fn set_limit_closes_surplus_connections() {
    let mut scheduler = ConnectionScheduler::default();
    let a = workspace("a");
    scheduler.set_limit(3);
    for _ in 0..3 {
        assert_eq!(scheduler.acquire(&a, 1, NEVER, MonoTime(1)), Ok(Acquired::New));
    }
    assert_eq!(scheduler.release(&a, HOLD, MonoTime(1)), Released::Idle);
    scheduler.set_limit(1);
    assert_eq!(scheduler.surplus_idle(), 1);
    scheduler.remove_idle(1);
    assert_eq!(scheduler.release(&a, HOLD, MonoTime(1)), Released::Close);
    assert_eq!(scheduler.release(&a, HOLD, MonoTime(1)), Released::Idle);
    assert_eq!(scheduler.open_count(), 1);
}

#[test]
fn acquire_rejects_requests_that_would_miss_their_deadline() {
    let mut scheduler = ConnectionScheduler::default();
    let a = workspace("a");
    scheduler.set_limit(1);
    for _ in 0..200 {
        let _ = scheduler.acquire(&a, 1, NEVER, MonoTime(1));
        scheduler.release(&a, HOLD, MonoTime(1));
    }
    let deadline = MonoTime(1) + DurationUs::from_ms(45);
    assert_eq!(scheduler.acquire(&a, 1, deadline, MonoTime(1)), Ok(Acquired::Idle));
    let taken = (0..10).map(|_| scheduler.acquire(&a, 1, deadline, MonoTime(1)));
    let waits = taken.filter(Result::is_ok).count();
    assert!((3..=5).contains(&waits), "{waits} of 10 can be served in 45 ms");
}

/// Serves requests that arrive at given times on `limit` connections, and returns each one's wait.
fn serve(limit: u32, arrivals: &[(MonoTime, WorkspaceName)]) -> Vec<DurationUs> {
    let mut scheduler = ConnectionScheduler::default();
    scheduler.set_limit(limit);
    let mut waits = vec![DurationUs::default(); arrivals.len()];
    let mut busy: VecDeque<(MonoTime, WorkspaceName)> = VecDeque::new();
    let mut waiting: FxHashMap<Ticket, usize> = FxHashMap::default();
    let mut end = |scheduler: &mut ConnectionScheduler,
                   busy: &mut VecDeque<(MonoTime, WorkspaceName)>,
                   waiting: &mut FxHashMap<Ticket, usize>| {
        let Some((now, workspace)) = busy.pop_front() else {
            return;
        };
        if let Released::Handed(ticket, next) = scheduler.release(&workspace, HOLD, now) {
            if let Some(at) = waiting.remove(&ticket) {
                let arrived: MonoTime = arrivals[at].0;
                waits[at] = now.since(arrived);
            }
            busy.push_back((now + HOLD, next));
        }
    };
    for (at, (arrived, workspace)) in arrivals.iter().enumerate() {
        while busy.front().is_some_and(|(done, _)| done <= arrived) {
            end(&mut scheduler, &mut busy, &mut waiting);
        }
        match scheduler.acquire(workspace, 1, NEVER, *arrived) {
            Ok(Acquired::Queued(ticket)) => {
                waiting.insert(ticket, at);
            }
            Ok(_) => busy.push_back((*arrived + HOLD, workspace.clone())),
            Err(_) => {}
        }
    }
    while !busy.is_empty() {
        end(&mut scheduler, &mut busy, &mut waiting);
    }
    waits
}

#[test]
fn scheduler_isolates_workspaces_from_a_flood() {
    // Ten connections and 10 ms each: a thousand requests a second, of which `a` sends far too many.
    let b = (0..500).map(|n| (MonoTime(n * 4_000), workspace("b")));
    let a = (0..4_000).map(|n| (MonoTime(n * 500 + 1), workspace("a")));
    let mut arrivals: Vec<(MonoTime, WorkspaceName)> = a.chain(b).collect();
    arrivals.sort();
    let waits = serve(10, &arrivals);
    let of_b = arrivals.iter().zip(&waits).filter(|((_, w), _)| w.as_str() == "b");
    let mut of_b: Vec<DurationUs> = of_b.map(|(_, wait)| *wait).collect();
    of_b.sort();
    assert!(of_b.last() <= Some(&HOLD), "b waits for {:?} at most", of_b.last());
    // A connection is kept free for it, but for its first requests.
    let p99 = of_b[of_b.len() * 99 / 100];
    assert_eq!(p99, DurationUs(0));
}
