//! Rate limiter of one workspace on one VM: the VM's token bucket, tokens borrowed from other VMs, and
//! the requests that wait for tokens.

use std::collections::VecDeque;

use model::prelude::*;
use proto::tokens::TokenLoan;

use crate::{
    bucket::{MICRO, RateLimit, TokenBucket},
    objects::VmInstance,
};

/// How long the tokens of a loan may be spent, counted from when the borrower asked for them.
const SAME_DC_LOAN_LIFETIME: DurationUs = DurationUs::from_ms(250);
const OTHER_DC_LOAN_LIFETIME: DurationUs = DurationUs::from_ms(450);

/// Longest time for which a lender counts a loan as outstanding.
pub const LOAN_OUTSTANDING_MAX: DurationUs = with_clock_margin(OTHER_DC_LOAN_LIFETIME);

/// A loan of at least the workspace's burst divided by this is settled as soon as it is spent, so that
/// the lender gets the capacity back; a smaller one takes up capacity until it expires.
const SETTLED_BURST_DIVISOR: u64 = 64;

/// Least time between two loan requests to the same lender.
const LOAN_REQUEST_INTERVAL: DurationUs = DurationUs::from_ms(10);
/// How long to wait for a lender's answer.
const SAME_DC_ANSWER_TIMEOUT: DurationUs = DurationUs::from_ms(50);
const OTHER_DC_ANSWER_TIMEOUT: DurationUs = DurationUs::from_ms(150);
/// How long not to ask a lender that lent less than was wanted.
const SAME_DC_SHORTFALL_PAUSE: DurationUs = DurationUs::from_ms(20);
const OTHER_DC_SHORTFALL_PAUSE: DurationUs = DurationUs::from_ms(100);
/// How long not to ask a lender that did not answer.
const NO_ANSWER_PAUSE: DurationUs = DurationUs::from_ms(1_000);
/// Requests that may wait at a time; any more are refused.
const WAITING_REQUESTS_MAX: usize = 1_024;

/// How long a lender counts a loan as outstanding: a tenth longer than its lifetime, since the
/// borrower's clock may run slower.
const fn with_clock_margin(lifetime: DurationUs) -> DurationUs {
    DurationUs(lifetime.0 + lifetime.0 / 10)
}

/// Identifies a request that waits for tokens on this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A VM that can be asked for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// The VM and its incarnation.
    pub instance: VmInstance,
    /// Whether it is in this VM's data centre.
    pub same_dc: bool,
}

/// A lender, and when it may be asked again.
#[derive(Clone, Debug)]
struct LenderState {
    lender: Lender,
    /// Earliest time of the next loan request.
    next_request_at: MonoTime,
    /// End of the pause after a shortfall or a missing answer.
    paused_until: MonoTime,
    /// First request in the queue when the pause began: the lender is not asked again for this request.
    shortfall_ticket: Option<Ticket>,
}

/// A request that waits for `need_micro` microtokens.
#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    need_micro: u64,
}

/// A request for a loan that the lender has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingLoanRequest {
    /// Number of the request, by which its answer is recognised.
    pub id: u64,
    /// The lender.
    pub to: VmInstance,
    /// Microtokens asked for.
    pub want_micro: u64,
    /// When the request was sent.
    pub requested_at: MonoTime,
    /// How long after `requested_at` the lent tokens may be spent.
    pub lifetime: DurationUs,
    /// When to stop waiting for the answer.
    pub timeout_at: MonoTime,
}

/// What is left of a loan from another VM.
#[derive(Clone, Debug)]
struct BorrowedTokens {
    micro: u64,
    /// When the tokens can no longer be spent.
    until: MonoTime,
    /// To be sent to the lender once the loan is spent; absent for small loans.
    settlement: Option<Settlement>,
}

/// Tells a lender that its loan is spent, except for what the borrower returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The lender.
    pub to: VmInstance,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Microtokens that were not spent and go back to the lender.
    pub unused_micro: u64,
}

/// Output of a [`WorkspaceLimiter`]: what its caller has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Let the request run: its tokens have been taken.
    Grant(Ticket),
    /// Refuse the request, which may be retried after this time.
    Refuse(Ticket, DurationUs),
    /// Ask a lender for tokens.
    Ask(PendingLoanRequest),
    /// Send a settlement to its lender.
    Settle(Settlement),
    /// Call [`WorkspaceLimiter::next_action`] at this time.
    Wake(MonoTime),
}

/// Rate limiter of one workspace on one VM.
#[derive(Debug)]
pub struct WorkspaceLimiter {
    /// Rate and burst of the whole workspace.
    workspace_limit: RateLimit,
    /// This VM's portion.
    bucket: TokenBucket,
    borrowed: Vec<BorrowedTokens>,
    /// Settlements to be sent.
    due_settlements: Vec<Settlement>,
    waiting: VecDeque<WaitingRequest>,
    pending_loan_request: Option<PendingLoanRequest>,
    /// In the order in which to ask them; absent until they are set.
    lenders: Option<Vec<LenderState>>,
    /// Time that the last [`Action::Wake`] names.
    wake_at: Option<MonoTime>,
}

impl WorkspaceLimiter {
    /// A limiter without a portion and without tokens.
    pub fn new(now: MonoTime) -> WorkspaceLimiter {
        WorkspaceLimiter {
            workspace_limit: RateLimit::default(),
            bucket: TokenBucket::new(now),
            borrowed: Vec::new(),
            due_settlements: Vec::new(),
            waiting: VecDeque::new(),
            pending_loan_request: None,
            lenders: None,
            wake_at: None,
        }
    }

    /// Sets the rate and burst of the whole workspace, and this VM's portion of them.
    pub fn set_limits(&mut self, workspace_limit: RateLimit, vm_limit: RateLimit, now: MonoTime) {
        self.workspace_limit = workspace_limit;
        if self.bucket.limit() != vm_limit {
            self.bucket.set_limit(vm_limit, now);
        }
    }

    /// Whether [`WorkspaceLimiter::set_lenders`] must be called before the next
    /// [`WorkspaceLimiter::next_action`].
    pub fn needs_lenders(&self) -> bool {
        self.lenders.is_none() && !self.waiting.is_empty()
    }

    /// Drops the lenders, since other VMs may own portions now.
    pub fn invalidate_lenders(&mut self) {
        self.lenders = None;
    }

    /// Sets the lenders, in the order in which to ask them.
    pub fn set_lenders(&mut self, lenders: impl Iterator<Item = Lender>) {
        let state = |lender| LenderState {
            lender,
            next_request_at: MonoTime::default(),
            paused_until: MonoTime::default(),
            shortfall_ticket: None,
        };
        self.lenders = Some(lenders.map(state).collect());
    }

    /// Takes `weight` tokens for a request and returns true, or queues the request and returns false if
    /// there are too few or others wait. Refuses it, with the time after which to retry, if it needs
    /// more than the workspace's burst or the queue is full.
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

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Empties the queue and returns the tickets of its requests, which the caller has to refuse.
    pub fn refuse_all(&mut self) -> impl Iterator<Item = Ticket> {
        std::mem::take(&mut self.waiting).into_iter().map(|w| w.ticket)
    }

    /// Lends up to `want_micro` microtokens to another VM, which may spend them for `lifetime`; nothing
    /// while requests wait here. Returns the loan's number and its microtokens, both zero if nothing
    /// was lent.
    pub fn lend(&mut self, want_micro: u64, lifetime: DurationUs, now: MonoTime) -> (u64, u64) {
        if !self.waiting.is_empty() {
            return (0, 0);
        }
        let until = now + with_clock_margin(lifetime.min(OTHER_DC_LOAN_LIFETIME));
        self.bucket.lend(want_micro, now, until)
    }

    /// Ends a loan to another VM, which returns `unused_micro` microtokens.
    pub fn settle(&mut self, loan: u64, unused_micro: u64, now: MonoTime) {
        self.bucket.settle(loan, unused_micro, now);
    }

    /// Takes the answer to the pending loan request. Late tokens, and answers to other requests, are
    /// dropped.
    pub fn receive_loan(&mut self, loan: &TokenLoan, now: MonoTime) {
        let Some(pending) = self.pending_loan_request.take_if(|pending| pending.id == loan.id)
        else {
            return;
        };
        let micro = loan.amount_micro;
        let until = pending.requested_at + pending.lifetime;
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

    /// Drops the pending loan request, if its number is `id`, since it got no answer.
    pub fn fail_loan_request(&mut self, id: u64, now: MonoTime) {
        if let Some(pending) = self.pending_loan_request.take_if(|pending| pending.id == id) {
            self.pause(&pending.to, |_| NO_ANSWER_PAUSE, now);
        }
    }

    /// The next action, if there is one; to be called until there is none. `last_loan_request_id` is
    /// the number of this VM's last loan request and rises with each one.
    pub fn next_action(&mut self, last_loan_request_id: &mut u64, now: MonoTime) -> Option<Action> {
        self.drop_expired_loans(now);
        if let Some(pending) = self.pending_loan_request.clone().filter(|p| p.timeout_at <= now) {
            self.fail_loan_request(pending.id, now);
        }
        let Some(head) = self.waiting.front().cloned() else {
            return self.next_settlement();
        };
        if self.try_take(head.need_micro, now) {
            self.waiting.pop_front();
            return Some(Action::Grant(head.ticket));
        }
        if let Some(pending) = &self.pending_loan_request {
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
        if state.next_request_at > now {
            let at = state.next_request_at;
            return self.wake(at, now);
        }
        state.next_request_at = now + LOAN_REQUEST_INTERVAL;
        let (lifetime, timeout) = match state.lender.same_dc {
            true => (SAME_DC_LOAN_LIFETIME, SAME_DC_ANSWER_TIMEOUT),
            false => (OTHER_DC_LOAN_LIFETIME, OTHER_DC_ANSWER_TIMEOUT),
        };
        let to = state.lender.instance.clone();
        *last_loan_request_id += 1;
        let want_micro = self.shortage(now);
        let pending = PendingLoanRequest {
            id: *last_loan_request_id,
            to,
            want_micro,
            requested_at: now,
            lifetime,
            timeout_at: now + timeout,
        };
        self.pending_loan_request = Some(pending.clone());
        Some(Action::Ask(pending))
    }

    /// Microtokens that can be spent here now, borrowed ones included.
    pub fn level_micro(&mut self, now: MonoTime) -> u64 {
        self.drop_expired_loans(now);
        self.bucket.level_micro(now) + self.borrowed.iter().map(|b| b.micro).sum::<u64>()
    }

    /// Microtokens to ask for: what all waiting requests need, up to the workspace's burst, less what
    /// is here.
    fn shortage(&mut self, now: MonoTime) -> u64 {
        let need: u64 = self.waiting.iter().map(|w| w.need_micro).sum();
        need.min(self.workspace_limit.burst_micro).saturating_sub(self.level_micro(now)).max(1)
    }

    /// An [`Action::Wake`] at `at`, unless an earlier one is still ahead.
    fn wake(&mut self, at: MonoTime, now: MonoTime) -> Option<Action> {
        if self.wake_at.is_some_and(|wake_at| wake_at > now && wake_at <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(Action::Wake(at))
    }

    /// Does not ask the lender for a while, which `pause` returns for a lender in the same data centre
    /// or another one.
    fn pause(&mut self, lender: &VmInstance, pause: impl Fn(bool) -> DurationUs, now: MonoTime) {
        let head = self.waiting.front().map(|w| w.ticket);
        let lenders = self.lenders.iter_mut().flatten();
        for state in lenders.filter(|state| state.lender.instance == *lender) {
            state.paused_until = now + pause(state.lender.same_dc);
            state.shortfall_ticket = head;
        }
    }

    /// Takes tokens if there are enough: borrowed ones first, since they expire.
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

    /// Ends the borrowed loans that have to be settled, since no request needs them, and returns the
    /// next settlement to send.
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

    /// Time in which the whole workspace gains `need_micro` microtokens, but no more than a minute.
    fn retry_after(&self, need_micro: u64) -> DurationUs {
        let rate = u128::from(self.workspace_limit.rate_micro_per_s).max(1);
        let us = u128::from(need_micro) * u128::from(MICRO) / rate;
        DurationUs(us.min(u128::from(60 * MICRO)) as u64 + 1)
    }
}
