//! One workspace's tokens on one VM: its bucket, borrowed tokens, and requests that wait for tokens.

use std::collections::VecDeque;

use model::prelude::*;
use proto::tokens::TokenLoan;

use crate::{
    bucket::{MICRO, RateLimit, TokenBucket},
    objects::VmInstance,
};

const SAME_DC_LOAN_LIFETIME: DurationUs = DurationUs::from_ms(250);
const OTHER_DC_LOAN_LIFETIME: DurationUs = DurationUs::from_ms(450);

/// Longest time for which lent tokens can be outstanding.
pub const LOAN_OUTSTANDING_MAX: DurationUs = with_clock_margin(OTHER_DC_LOAN_LIFETIME);

/// A loan of at least this fraction of the whole burst is settled as soon as it is spent.
const SETTLED_BURST_DIVISOR: u64 = 64;

const ASK_INTERVAL: DurationUs = DurationUs::from_ms(10);
const SAME_DC_ASK_TIMEOUT: DurationUs = DurationUs::from_ms(50);
const OTHER_DC_ASK_TIMEOUT: DurationUs = DurationUs::from_ms(150);
const SAME_DC_SHORTFALL_PAUSE: DurationUs = DurationUs::from_ms(20);
const OTHER_DC_SHORTFALL_PAUSE: DurationUs = DurationUs::from_ms(100);
const NO_ANSWER_PAUSE: DurationUs = DurationUs::from_ms(1_000);
const WAITING_REQUESTS_MAX: usize = 1_024;

/// How long a lender takes lent tokens for unspent: a tenth longer, for clocks that run unevenly.
const fn with_clock_margin(lifetime: DurationUs) -> DurationUs {
    DurationUs(lifetime.0 + lifetime.0 / 10)
}

/// Identifies a request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A VM that may lend tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// The VM.
    pub instance: VmInstance,
    /// Whether it stands in the same data centre.
    pub same_dc: bool,
}

#[derive(Clone, Debug)]
struct LenderState {
    lender: Lender,
    next_ask_at: MonoTime,
    paused_until: MonoTime,
    /// The first waiting request when it last had less than was wanted.
    shortfall_ticket: Option<Ticket>,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    need_micro: u64,
}

/// A message to a lender that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingAsk {
    /// Its number.
    pub id: u64,
    /// Whom it went to.
    pub to: VmInstance,
    /// What was wanted.
    pub want_micro: u64,
    /// When it was sent.
    pub asked_at: MonoTime,
    /// How long after that its answer may be spent.
    pub lifetime: DurationUs,
    /// When it is given up.
    pub timeout_at: MonoTime,
}

#[derive(Clone, Debug)]
struct BorrowedTokens {
    micro: u64,
    until: MonoTime,
    settlement: Option<Settlement>,
}

/// A loan that can't be spent any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The lender.
    pub to: VmInstance,
    /// Its number there.
    pub loan: u64,
    /// What was not spent.
    pub unused_micro: u64,
}

/// What to do next for the requests that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request has its tokens.
    Grant(Ticket),
    /// No tokens can be had for the request now; when to come back.
    Refuse(Ticket, DurationUs),
    /// Ask the lender for tokens.
    Ask(PendingAsk),
    /// Tell the lender.
    Settle(Settlement),
    /// Look again at that time.
    Wake(MonoTime),
}

/// One workspace's tokens on one VM.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    workspace_limit: RateLimit,
    bucket: TokenBucket,
    borrowed: Vec<BorrowedTokens>,
    due_settlements: Vec<Settlement>,
    waiting: VecDeque<WaitingRequest>,
    pending_ask: Option<PendingAsk>,
    lenders: Option<Vec<LenderState>>,
    wake_at: Option<MonoTime>,
}

impl WorkspaceLimiter {
    /// An account without tokens.
    pub fn new(now: MonoTime) -> WorkspaceLimiter {
        WorkspaceLimiter {
            workspace_limit: RateLimit::default(),
            bucket: TokenBucket::new(now),
            borrowed: Vec::new(),
            due_settlements: Vec::new(),
            waiting: VecDeque::new(),
            pending_ask: None,
            lenders: None,
            wake_at: None,
        }
    }

    /// Sets the workspace's whole rate and burst, and this VM's portion of it.
    pub fn set_limits(&mut self, workspace_limit: RateLimit, vm_limit: RateLimit, now: MonoTime) {
        self.workspace_limit = workspace_limit;
        if self.bucket.limit() != vm_limit {
            self.bucket.set_limit(vm_limit, now);
        }
    }

    /// Whether the lenders have to be set before the next [`WorkspaceLimiter::next_action`].
    pub fn needs_lenders(&self) -> bool {
        self.lenders.is_none() && !self.waiting.is_empty()
    }

    /// Forgets the lenders, since others may own portions now.
    pub fn invalidate_lenders(&mut self) {
        self.lenders = None;
    }

    /// Sets the lenders, in the order in which to ask them.
    pub fn set_lenders(&mut self, lenders: impl Iterator<Item = Lender>) {
        let state = |lender| LenderState {
            lender,
            next_ask_at: MonoTime::default(),
            paused_until: MonoTime::default(),
            shortfall_ticket: None,
        };
        self.lenders = Some(lenders.map(state).collect());
    }

    /// Takes a request's tokens if they are here and nobody waits; otherwise the request waits.
    pub fn admit(
        &mut self,
        ticket: Ticket,
        weight: u32,
        now: MonoTime,
    ) -> Result<bool, DurationUs> {
        let need_micro = u64::from(weight) * MICRO;
        self.drop_expired_loans(now);
        if self.waiting.is_empty() && self.try_take(need_micro, now) {
            return Ok(true);
        }
        if need_micro > self.workspace_limit.burst_micro
            || self.waiting.len() >= WAITING_REQUESTS_MAX
        {
            return Err(self.retry_after(need_micro));
        }
        self.waiting.push_back(WaitingRequest { ticket, need_micro });
        Ok(false)
    }

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Refuses every request that waits.
    pub fn refuse_all(&mut self) -> impl Iterator<Item = Ticket> {
        std::mem::take(&mut self.waiting).into_iter().map(|w| w.ticket)
    }

    /// Lends tokens to another VM, which may spend them for `lifetime`: only what no request waits for
    /// here. Returns the number of the loan and what it comes to.
    pub fn lend(&mut self, want_micro: u64, lifetime: DurationUs, now: MonoTime) -> (u64, u64) {
        if !self.waiting.is_empty() {
            return (0, 0);
        }
        let until = now + with_clock_margin(lifetime.min(OTHER_DC_LOAN_LIFETIME));
        self.bucket.lend(want_micro, now, until)
    }

    /// A borrower can't spend a loan any more.
    pub fn settle(&mut self, loan: u64, unused_micro: u64, now: MonoTime) {
        self.bucket.settle(loan, unused_micro, now);
    }

    /// Takes the answer to the pending message; what is late, or no answer to it, is dropped.
    pub fn receive_loan(&mut self, loan: &TokenLoan, now: MonoTime) {
        let Some(pending) = self.pending_ask.take_if(|pending| pending.id == loan.id) else {
            return;
        };
        let micro = loan.amount_micro;
        let until = pending.asked_at + pending.lifetime;
        if until > now && micro > 0 {
            let large = micro >= self.workspace_limit.burst_micro / SETTLED_BURST_DIVISOR;
            let settlement =
                Settlement { to: pending.to.clone(), loan: loan.loan, unused_micro: 0 };
            self.borrowed.push(BorrowedTokens {
                micro,
                until,
                settlement: large.then_some(settlement),
            });
        }
        if micro < pending.want_micro {
            let pause =
                |same_dc| if same_dc { SAME_DC_SHORTFALL_PAUSE } else { OTHER_DC_SHORTFALL_PAUSE };
            self.pause(&pending.to, pause, now);
        }
    }

    /// The pending message got no answer.
    pub fn fail_ask(&mut self, id: u64, now: MonoTime) {
        if let Some(pending) = self.pending_ask.take_if(|pending| pending.id == id) {
            self.pause(&pending.to, |_| NO_ANSWER_PAUSE, now);
        }
    }

    /// The next thing to do, if there is any. To be called until there is none.
    pub fn next_action(&mut self, next_id: &mut u64, now: MonoTime) -> Option<Action> {
        self.drop_expired_loans(now);
        if let Some(pending) = self.pending_ask.clone().filter(|p| p.timeout_at <= now) {
            self.fail_ask(pending.id, now);
        }
        let Some(head) = self.waiting.front().cloned() else {
            return self.next_settlement();
        };
        if self.try_take(head.need_micro, now) {
            self.waiting.pop_front();
            return Some(Action::Grant(head.ticket));
        }
        if let Some(pending) = &self.pending_ask {
            let at = pending.timeout_at;
            return self.wake(at, now);
        }
        let lenders = self.lenders.as_mut()?;
        let Some(state) = lenders
            .iter_mut()
            .find(|l| l.paused_until <= now && l.shortfall_ticket != Some(head.ticket))
        else {
            self.waiting.pop_front();
            return Some(Action::Refuse(head.ticket, self.retry_after(head.need_micro)));
        };
        if state.next_ask_at > now {
            let at = state.next_ask_at;
            return self.wake(at, now);
        }
        state.next_ask_at = now + ASK_INTERVAL;
        let (lifetime, timeout) = match state.lender.same_dc {
            true => (SAME_DC_LOAN_LIFETIME, SAME_DC_ASK_TIMEOUT),
            false => (OTHER_DC_LOAN_LIFETIME, OTHER_DC_ASK_TIMEOUT),
        };
        let to = state.lender.instance.clone();
        *next_id += 1;
        let want_micro = self.shortage(now);
        let pending = PendingAsk {
            id: *next_id,
            to,
            want_micro,
            asked_at: now,
            lifetime,
            timeout_at: now + timeout,
        };
        self.pending_ask = Some(pending.clone());
        Some(Action::Ask(pending))
    }

    /// Millionths of a token that can be spent here now.
    pub fn level_micro(&mut self, now: MonoTime) -> u64 {
        self.drop_expired_loans(now);
        self.bucket.level_micro(now) + self.borrowed.iter().map(|b| b.micro).sum::<u64>()
    }

    fn shortage(&mut self, now: MonoTime) -> u64 {
        let need: u64 = self.waiting.iter().map(|w| w.need_micro).sum();
        need.min(self.workspace_limit.burst_micro).saturating_sub(self.level_micro(now)).max(1)
    }

    fn wake(&mut self, at: MonoTime, now: MonoTime) -> Option<Action> {
        if self.wake_at.is_some_and(|wake_at| wake_at > now && wake_at <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(Action::Wake(at))
    }

    fn pause(&mut self, lender: &VmInstance, pause: impl Fn(bool) -> DurationUs, now: MonoTime) {
        let head = self.waiting.front().map(|w| w.ticket);
        let lenders = self.lenders.iter_mut().flatten();
        for state in lenders.filter(|state| state.lender.instance == *lender) {
            state.paused_until = now + pause(state.lender.same_dc);
            state.shortfall_ticket = head;
        }
    }

    /// Takes tokens, borrowed ones first.
    fn try_take(&mut self, need_micro: u64, now: MonoTime) -> bool {
        if self.level_micro(now) < need_micro {
            return false;
        }
        let mut need = need_micro;
        while let Some(first) = self.borrowed.first_mut().filter(|_| need > 0) {
            let taken = first.micro.min(need);
            first.micro -= taken;
            need -= taken;
            if first.micro > 0 {
                break;
            }
            let spent = self.borrowed.remove(0);
            self.due_settlements.extend(spent.settlement);
        }
        self.bucket.take_up_to(need, now);
        true
    }

    /// Settles large loans when no request waits: what is left of them is dropped here.
    fn next_settlement(&mut self) -> Option<Action> {
        let dropped = self.borrowed.extract_if(.., |b| b.settlement.is_some());
        let settled = dropped.filter_map(|b| {
            b.settlement.map(|settlement| Settlement { unused_micro: b.micro, ..settlement })
        });
        self.due_settlements.extend(settled);
        self.due_settlements.pop().map(Action::Settle)
    }

    fn drop_expired_loans(&mut self, now: MonoTime) {
        self.borrowed.retain(|b| b.until > now);
    }

    fn retry_after(&self, need_micro: u64) -> DurationUs {
        let rate = u128::from(self.workspace_limit.rate_micro_per_s).max(1);
        let us = u128::from(need_micro) * u128::from(MICRO) / rate;
        DurationUs(us.min(u128::from(60 * MICRO)) as u64 + 1)
    }
}
