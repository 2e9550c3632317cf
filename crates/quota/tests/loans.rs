//! Loans of tokens between VMs: expiry, settlement, late and duplicate messages, and loss of contact.

use model::prelude::*;
use proto::tokens::{TokenLoan, TokenLoanRequest, TokenReply, TokenRequest, TokenSettlement};
use quickcheck::{Gen, QuickCheck};
use quota::{
    bucket::{MICRO, RateLimit, TokenBucket},
    objects::VmInstance,
    rate_limiter::{Admission, CONTACT_TIMEOUT, RateEffect, RateLimiter},
    workspace_limiter::{Lender, Ticket, WorkspaceLimiter},
};

fn at_ms(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn instance(name: &str) -> VmInstance {
    VmInstance { vm: VmName::new(name).expect("a name"), incarnation: Incarnation(1) }
}

fn workspace() -> WorkspaceName {
    WorkspaceName::new("w").expect("a name")
}

fn bucket(rate_per_s: u32, burst: u32) -> TokenBucket {
    let mut bucket = TokenBucket::new(MonoTime(0));
    bucket.set_limit(RateLimit::new(rate_per_s, burst, 1, 1), MonoTime(0));
    bucket
}

#[test]
fn lend_takes_up_capacity_until_the_loan_expires() {
    let mut bucket = bucket(10, 20);
    let (_, lent) = bucket.lend(20 * MICRO, at_ms(5_000), at_ms(5_500));
    assert_eq!(lent, 20 * MICRO);
    for (ms, level) in [(5_000, 0), (5_499, 0), (5_500, 0), (5_600, 1), (9_000, 20)] {
        assert_eq!(bucket.level_micro(at_ms(ms)), level * MICRO, "at {ms} ms");
    }
}

#[test]
fn settle_frees_capacity_once_and_returns_unused_tokens() {
    let mut bucket = bucket(10, 20);
    let (first, _) = bucket.lend(20 * MICRO, at_ms(5_000), at_ms(5_500));
    for _ in 0..2 {
        bucket.settle(first, 5 * MICRO, at_ms(5_000));
        assert_eq!(bucket.level_micro(at_ms(5_000)), 5 * MICRO);
    }
    let (second, _) = bucket.lend(MICRO, at_ms(5_000), at_ms(5_500));
    bucket.settle(second, 99 * MICRO, at_ms(5_000));
    assert_eq!(bucket.level_micro(at_ms(5_000)), 5 * MICRO, "returns more than was lent");
    bucket.settle(second + 1, 5 * MICRO, at_ms(5_000));
    assert_eq!(bucket.level_micro(at_ms(5_000)), 5 * MICRO);
}

#[test]
fn lend_and_spend_stay_within_rate_and_burst_in_any_window() {
    // Each step waits, then either spends tokens or lends some, which the borrower spends at some time
    // before the loan expires.
    fn holds(steps: Vec<(u16, u8, u16, bool)>) -> bool {
        let (rate, burst) = (50_u64, 40_u64);
        let mut bucket = bucket(rate as u32, burst as u32);
        let mut now = MonoTime(0);
        let mut spent: Vec<(MonoTime, u64)> = Vec::new();
        for (wait, amount, delay, lends) in steps {
            now = now + DurationUs::from_ms(u64::from(wait % 700));
            let want = u64::from(amount % 50) * MICRO;
            if !lends {
                spent.push((now, bucket.take_up_to(want, now)));
                continue;
            }
            let (_, micro) = bucket.lend(want, now, now + DurationUs::from_ms(500));
            let spent_at = now + DurationUs(u64::from(delay) * 500_000 / 65_536);
            spent.push((spent_at, micro));
        }
        spent.sort();
        (0..spent.len()).all(|from| {
            let mut sum = 0;
            spent[from..].iter().all(|(at, micro)| {
                sum += micro;
                sum <= rate * at.since(spent[from].0).0 + burst * MICRO
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(3_000)
        .quickcheck(holds as fn(_) -> _);
}

/// A limiter without a portion whose only request waits for 5 tokens, and the number of its loan
/// request.
fn short_limiter(now: MonoTime) -> (WorkspaceLimiter, u64) {
    let mut limiter = WorkspaceLimiter::new(now);
    limiter.set_limits(RateLimit::new(100, 100, 1, 1), RateLimit::default(), now);
    assert_eq!(limiter.admit(Ticket(1), 5, now), Ok(false));
    limiter.set_lenders([Lender { instance: instance("b"), same_dc: true }].into_iter());
    let mut id = 0;
    assert!(limiter.next_action(&mut id, now).is_some());
    (limiter, id)
}

#[test]
fn receive_loan_drops_late_and_duplicate_answers() {
    let loan = |id| TokenLoan { id, loan: 1, amount_micro: 7 * MICRO };
    for (first_ms, second_ms, level_ms, level) in [
        (1, None, 1, 7),
        (1, Some(2), 2, 7),
        (1, None, 249, 7),
        (1, None, 250, 0),
        (250, None, 250, 0),
        (251, Some(252), 252, 0),
    ] {
        let (mut limiter, id) = short_limiter(at_ms(0));
        limiter.receive_loan(&loan(id), at_ms(first_ms));
        if let Some(ms) = second_ms {
            limiter.receive_loan(&loan(id), at_ms(ms));
        }
        limiter.receive_loan(&loan(id + 1), at_ms(level_ms));
        let case = format!("{first_ms} {second_ms:?} {level_ms}");
        assert_eq!(limiter.level_micro(at_ms(level_ms)), level * MICRO, "{case}");
    }
}

fn rates(name: &str, portion: RateLimit) -> RateLimiter {
    let mut rates = RateLimiter::new(instance(name));
    rates.set_limits(&workspace(), RateLimit::new(100, 100, 1, 1), portion, at_ms(0));
    rates
}

#[test]
fn admit_and_lend_stop_without_contact() {
    let limit_ms = CONTACT_TIMEOUT.as_ms();
    for (contact_ms, now_ms, spends) in [
        (None, 1_000, false),
        (Some(1_000), 1_000, true),
        (Some(1_000), 999 + limit_ms, true),
        (Some(1_000), 1_000 + limit_ms, false),
    ] {
        let mut rates = rates("a", RateLimit::new(100, 100, 1, 1));
        if let Some(ms) = contact_ms {
            rates.record_contact(at_ms(ms));
        }
        let mut effects = Vec::new();
        let admission = rates.admit(&workspace(), 1, at_ms(now_ms), &mut effects);
        assert_eq!(admission == Admission::Granted, spends, "{contact_ms:?} {now_ms}");
        let ask = TokenLoanRequest {
            vm: instance("b").vm,
            incarnation: Incarnation(1),
            workspace: workspace(),
            id: 1,
            want_micro: MICRO,
            lifetime: DurationUs::from_ms(250),
        };
        let reply = rates.handle_request(&TokenRequest::Ask(ask), at_ms(now_ms));
        let lent = matches!(reply, TokenReply::Loan(loan) if loan.amount_micro > 0);
        assert_eq!(lent, spends, "{contact_ms:?} {now_ms}");
    }
}

#[test]
fn handle_request_lends_once_per_loan_request() {
    let mut rates = rates("a", RateLimit::new(100, 100, 1, 1));
    rates.record_contact(at_ms(2_000));
    let ask = |id| TokenLoanRequest {
        vm: instance("b").vm,
        incarnation: Incarnation(1),
        workspace: workspace(),
        id,
        want_micro: 10 * MICRO,
        lifetime: DurationUs::from_ms(250),
    };
    for (id, left) in [(2, 90), (2, 90), (1, 90), (3, 80)] {
        rates.handle_request(&TokenRequest::Ask(ask(id)), at_ms(2_000));
        assert_eq!(rates.level_micro(&workspace(), at_ms(2_000)), left * MICRO, "message {id}");
    }
    let settlement = TokenSettlement { workspace: workspace(), loan: 1, unused_micro: 4 * MICRO };
    for _ in 0..2 {
        rates.handle_request(&TokenRequest::Settle(settlement.clone()), at_ms(2_000));
        assert_eq!(rates.level_micro(&workspace(), at_ms(2_000)), 84 * MICRO);
    }
}

#[test]
fn admit_refuses_at_once_without_lenders() {
    let mut rates = rates("a", RateLimit::default());
    rates.record_contact(at_ms(1));
    let mut effects = Vec::new();
    let Admission::Waiting(ticket) = rates.admit(&workspace(), 5, at_ms(1), &mut effects) else {
        panic!("the request should wait");
    };
    assert_eq!(effects, [RateEffect::Refuse(ticket, DurationUs(50_001))]);
}
