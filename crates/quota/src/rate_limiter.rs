//! Rate limiters of all workspaces on one VM, and the lending of tokens between VMs.
//!
//! A lender takes tokens out of its bucket before it sends them, and counts them as outstanding until
//! the borrower can no longer spend them. A lost message loses tokens, a duplicate creates none, and
//! late tokens are dropped: the fleet never spends more than rate x time + burst in any window.

use model::prelude::*;
use proto::tokens::{TokenLoan, TokenLoanRequest, TokenReply, TokenRequest, TokenSettlement};

use crate::{
    bucket::RateLimit,
    lenders::LenderDirectory,
    objects::VmInstance,
    workspace_limiter::{Action, Ticket, WorkspaceLimiter},
};

/// How long a VM goes on spending after its last contact with the platform or another VM of its data
/// centre. Shorter than [`crate::absence::RECLAIM_AFTER`]: it stops before its portions are reclaimed.
pub const CONTACT_TIMEOUT: DurationUs = DurationUs::from_ms(8_000);

/// Borrowers remembered, times the number of workspaces. Beyond that, all are forgotten.
const BORROWERS_PER_WORKSPACE_MAX: usize = 64;
/// Time without contact after which other VMs are probed.
const PROBE_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// Least time between two probes.
const PROBE_INTERVAL: DurationUs = DurationUs::from_ms(500);

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run: its tokens have been taken.
    Granted,
    /// The request waits; a [`RateEffect::Grant`] or [`RateEffect::Refuse`] follows.
    Waiting(Ticket),
    /// The request may not run; it may be retried after this time.
    Refused(DurationUs),
}

/// Output of a [`RateLimiter`]: what its caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateEffect {
    /// Let the waiting request run.
    Grant(Ticket),
    /// Refuse the waiting request, which may be retried after this time.
    Refuse(Ticket, DurationUs),
    /// Ask another VM for tokens, and pass the answer to [`RateLimiter::handle_loan_reply`].
    Ask {
        /// The lender.
        to: VmInstance,
        /// The message.
        ask: TokenLoanRequest,
        /// How long to wait for the answer.
        timeout: DurationUs,
    },
    /// Send a message to another VM, without waiting for the answer.
    Send {
        /// The receiver.
        to: VmInstance,
        /// The message.
        message: TokenRequest,
    },
    /// Send a probe to another VM, and call [`RateLimiter::record_contact`] if it answers.
    Probe(VmInstance),
    /// Call [`RateLimiter::wake`] for the workspace at this time.
    Wake(WorkspaceName, MonoTime),
}

/// Tokens lent to another VM since the last [`RateLimiter::take_lent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LentTokens {
    /// The workspace whose tokens were lent.
    pub workspace: WorkspaceName,
    /// The borrower.
    pub to: VmInstance,
    /// Microtokens lent.
    pub micro: u64,
}

/// Rate limiters of all workspaces on one VM.
#[derive(Debug)]
pub struct RateLimiter {
    me: VmInstance,
    limiters: FxHashMap<WorkspaceName, WorkspaceLimiter>,
    directory: LenderDirectory,
    last_ticket: u64,
    last_loan_request_id: u64,
    /// Number of each borrower's newest loan request, by which duplicates are recognised.
    newest_request_ids: FxHashMap<(VmInstance, WorkspaceName), u64>,
    /// Microtokens lent since the last [`RateLimiter::take_lent`].
    lent: FxHashMap<(WorkspaceName, VmInstance), u64>,
    /// When the latest of the messages that were answered was sent.
    last_contact_at: Option<MonoTime>,
    last_tick_at: MonoTime,
    last_probe_at: Option<MonoTime>,
    probe_count: usize,
}

impl RateLimiter {
    /// A limiter for the VM instance `me`, without workspaces.
    pub fn new(me: VmInstance) -> RateLimiter {
        RateLimiter {
            me,
            limiters: FxHashMap::default(),
            directory: LenderDirectory::default(),
            last_ticket: 0,
            last_loan_request_id: 0,
            newest_request_ids: FxHashMap::default(),
            lent: FxHashMap::default(),
            last_contact_at: None,
            last_tick_at: MonoTime::default(),
            last_probe_at: None,
            probe_count: 0,
        }
    }

    /// Sets the rate and burst of a whole workspace, and this VM's portion of them. A new workspace
    /// starts without tokens.
    pub fn set_limits(
        &mut self,
        workspace: &WorkspaceName,
        workspace_limit: RateLimit,
        vm_limit: RateLimit,
        now: MonoTime,
    ) {
        if !self.limiters.contains_key(workspace) {
            self.limiters.insert(workspace.clone(), WorkspaceLimiter::new(now));
        }
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.set_limits(workspace_limit, vm_limit, now);
        }
    }

    /// Drops the workspaces for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.limiters.retain(|workspace, _| keep(workspace));
    }

    /// Sets the VMs that may lend tokens.
    pub fn set_directory(&mut self, directory: LenderDirectory) {
        self.directory = directory;
        self.limiters.values_mut().for_each(WorkspaceLimiter::invalidate_lenders);
    }

    /// Records that the platform or another VM of the data centre has answered a message sent at
    /// `sent_at`. The time of the answer proves nothing: it may have waited in a socket buffer while
    /// this process was paused.
    pub fn record_contact(&mut self, sent_at: MonoTime) {
        self.last_contact_at = self.last_contact_at.max(Some(sent_at));
    }

    /// Probes another VM if there was no contact lately; to be called periodically. A VM that is alone
    /// in its data centre needs no contact, since no other VM can reclaim its portions, unless this
    /// process was paused for [`CONTACT_TIMEOUT`] or longer.
    pub fn tick(&mut self, now: MonoTime, effects: &mut Vec<RateEffect>) {
        let paused = now.since(self.last_tick_at) >= CONTACT_TIMEOUT;
        self.last_tick_at = now;
        if self.directory.dc_peers().is_empty() && !paused && self.may_spend(now) {
            self.record_contact(now);
        }
        let dc_peers = self.directory.dc_peers();
        let quiet = self.last_contact_at.is_none_or(|at| now.since(at) >= PROBE_AFTER);
        let due = self.last_probe_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !quiet || !due || dc_peers.is_empty() {
            return;
        }
        self.last_probe_at = Some(now);
        self.probe_count += 1;
        effects.push(RateEffect::Probe(dc_peers[self.probe_count % dc_peers.len()].clone()));
    }

    /// Whether this VM may spend tokens: its last contact is so recent that its portions can't have
    /// been reclaimed.
    pub fn may_spend(&self, now: MonoTime) -> bool {
        self.last_contact_at.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
    }

    /// Takes `weight` tokens of a workspace for a request, or lets the request wait for them.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceName,
        weight: u32,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) -> Admission {
        if !self.may_spend(now) {
            return Admission::Refused(CONTACT_TIMEOUT);
        }
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return Admission::Refused(CONTACT_TIMEOUT);
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        match limiter.admit(ticket, weight, now) {
            Ok(true) => Admission::Granted,
            Ok(false) => {
                self.process_waiting(workspace, now, effects);
                Admission::Waiting(ticket)
            }
            Err(wait) => Admission::Refused(wait),
        }
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: Ticket) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.cancel(ticket);
        }
    }

    /// Looks again at the waiting requests of a workspace.
    pub fn wake(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        self.process_waiting(workspace, now, effects);
    }

    /// Answers a message from another VM.
    pub fn handle_request(&mut self, req: &TokenRequest, now: MonoTime) -> TokenReply {
        match req {
            TokenRequest::Ask(ask) => {
                let (loan, amount_micro) = self.lend(ask, now).unwrap_or((0, 0));
                TokenReply::Loan(TokenLoan { id: ask.id, loan, amount_micro })
            }
            TokenRequest::Settle(settlement) => {
                if let Some(limiter) = self.limiters.get_mut(&settlement.workspace) {
                    limiter.settle(settlement.loan, settlement.unused_micro, now);
                }
                TokenReply::Taken
            }
            TokenRequest::Probe => TokenReply::Taken,
        }
    }

    /// Takes the answer to loan request `id`, or `None` if there was none, and goes on with the waiting
    /// requests.
    pub fn handle_loan_reply(
        &mut self,
        workspace: &WorkspaceName,
        id: u64,
        loan: Option<TokenLoan>,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return;
        };
        match loan {
            Some(loan) => limiter.receive_loan(&loan, now),
            None => limiter.fail_loan_request(id, now),
        }
        self.process_waiting(workspace, now, effects);
    }

    /// Returns the tokens lent since the last call.
    pub fn take_lent(&mut self) -> Vec<LentTokens> {
        let lent = self.lent.drain();
        lent.map(|((workspace, to), micro)| LentTokens { workspace, to, micro }).collect()
    }

    /// Microtokens of a workspace that can be spent here now.
    pub fn level_micro(&mut self, workspace: &WorkspaceName, now: MonoTime) -> u64 {
        self.limiters.get_mut(workspace).map_or(0, |limiter| limiter.level_micro(now))
    }

    fn lend(&mut self, ask: &TokenLoanRequest, now: MonoTime) -> Option<(u64, u64)> {
        if !self.may_spend(now) {
            return None;
        }
        let borrower = VmInstance { vm: ask.vm.clone(), incarnation: ask.incarnation };
        if self.newest_request_ids.len() > BORROWERS_PER_WORKSPACE_MAX * self.limiters.len().max(1)
        {
            // A duplicate request is now answered with another loan. The borrower ignores it: tokens
            // are lost, none are created.
            self.newest_request_ids.clear();
        }
        let key = (borrower.clone(), ask.workspace.clone());
        let newest = self.newest_request_ids.entry(key).or_insert(0);
        if ask.id <= *newest {
            return None;
        }
        *newest = ask.id;
        let limiter = self.limiters.get_mut(&ask.workspace)?;
        let (loan, micro) = limiter.lend(ask.want_micro, ask.lifetime, now);
        if micro > 0 {
            *self.lent.entry((ask.workspace.clone(), borrower)).or_default() += micro;
        }
        Some((loan, micro))
    }

    /// Collects the effects of a workspace's limiter. Refuses all its waiting requests if this VM may
    /// not spend.
    fn process_waiting(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        let may_spend = self.may_spend(now);
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return;
        };
        if !may_spend {
            let refused = limiter.refuse_all();
            effects.extend(refused.map(|ticket| RateEffect::Refuse(ticket, CONTACT_TIMEOUT)));
            return;
        }
        loop {
            if limiter.needs_lenders() {
                limiter.set_lenders(self.directory.lenders(workspace));
            }
            let Some(action) = limiter.next_action(&mut self.last_loan_request_id, now) else {
                return;
            };
            effects.push(match action {
                Action::Grant(ticket) => RateEffect::Grant(ticket),
                Action::Refuse(ticket, wait) => RateEffect::Refuse(ticket, wait),
                Action::Settle(settlement) => RateEffect::Send {
                    to: settlement.to,
                    message: TokenRequest::Settle(TokenSettlement {
                        workspace: workspace.clone(),
                        loan: settlement.loan,
                        unused_micro: settlement.unused_micro,
                    }),
                },
                Action::Wake(at) => RateEffect::Wake(workspace.clone(), at),
                Action::Ask(pending) => RateEffect::Ask {
                    ask: TokenLoanRequest {
                        vm: self.me.vm.clone(),
                        incarnation: self.me.incarnation,
                        workspace: workspace.clone(),
                        id: pending.id,
                        want_micro: pending.want_micro,
                        lifetime: pending.lifetime,
                    },
                    timeout: pending.timeout_at.since(now),
                    to: pending.to,
                },
            });
        }
    }
}
