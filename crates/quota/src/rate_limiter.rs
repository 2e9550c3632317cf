//! The accounts of all workspaces on one VM, and the transfer of tokens between VMs.
//!
//! A lender takes tokens out of its bucket before it sends them, and counts them as present until the
//! borrower can't spend them any more. So a lost message loses tokens, a copy makes none, and what
//! comes late is dropped: no window ever sees more than rate x time + burst.

use model::prelude::*;
use proto::tokens::{TokenLoan, TokenLoanRequest, TokenReply, TokenRequest, TokenSettlement};

use crate::{
    bucket::RateLimit,
    lenders::LenderDirectory,
    objects::VmInstance,
    workspace_limiter::{Action, Ticket, WorkspaceLimiter},
};

/// How long a VM goes on spending after it last reached the platform or another VM of its data centre.
/// Less than [`crate::absence::RECLAIM_AFTER`].
pub const CONTACT_TIMEOUT: DurationUs = DurationUs::from_ms(8_000);

const SEEN_ASKS_PER_WORKSPACE_MAX: usize = 64;
const PROBE_AFTER: DurationUs = DurationUs::from_ms(3_000);
const PROBE_INTERVAL: DurationUs = DurationUs::from_ms(500);

/// What became of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Granted,
    /// It waits; a [`RateEffect::Grant`] or [`RateEffect::Refuse`] follows.
    Waiting(Ticket),
    /// It may not run; when to come back.
    Refused(DurationUs),
}

/// What the accounts ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateEffect {
    /// The request may run.
    Grant(Ticket),
    /// The request may not run; when to come back.
    Refuse(Ticket, DurationUs),
    /// Ask another VM for tokens, and tell the answer to [`RateLimiter::handle_loan_reply`].
    Ask {
        /// The VM.
        to: VmInstance,
        /// The message.
        ask: TokenLoanRequest,
        /// How long to wait for the answer.
        timeout: DurationUs,
    },
    /// Tell another VM; nobody waits for the answer.
    Send {
        /// The VM.
        to: VmInstance,
        /// The message.
        message: TokenRequest,
    },
    /// Ask another VM whether it can be reached, and call [`RateLimiter::record_contact`] if it answers.
    Probe(VmInstance),
    /// Call [`RateLimiter::wake`] at that time.
    Wake(WorkspaceName, MonoTime),
}

/// Tokens lent to another VM since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LentTokens {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The borrower.
    pub to: VmInstance,
    /// Millionths of a token.
    pub micro: u64,
}

/// The accounts of all workspaces on one VM.
#[derive(Debug)]
pub struct RateLimiter {
    me: VmInstance,
    limiters: FxHashMap<WorkspaceName, WorkspaceLimiter>,
    directory: LenderDirectory,
    last_ticket: u64,
    last_ask_id: u64,
    newest_ask_ids: FxHashMap<(VmInstance, WorkspaceName), u64>,
    lent: FxHashMap<(WorkspaceName, VmInstance), u64>,
    last_contact_at: Option<MonoTime>,
    last_tick_at: MonoTime,
    last_probe_at: Option<MonoTime>,
    probe_count: usize,
}

impl RateLimiter {
    /// Accounts of the run `me` of a VM, without tokens.
    pub fn new(me: VmInstance) -> RateLimiter {
        RateLimiter {
            me,
            limiters: FxHashMap::default(),
            directory: LenderDirectory::default(),
            last_ticket: 0,
            last_ask_id: 0,
            newest_ask_ids: FxHashMap::default(),
            lent: FxHashMap::default(),
            last_contact_at: None,
            last_tick_at: MonoTime::default(),
            last_probe_at: None,
            probe_count: 0,
        }
    }

    /// Sets a workspace's whole rate and burst, and this VM's portion of it.
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

    /// Drops the accounts of workspaces that are no more.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.limiters.retain(|workspace, _| keep(workspace));
    }

    /// Sets who may lend tokens.
    pub fn set_directory(&mut self, directory: LenderDirectory) {
        self.directory = directory;
        self.limiters.values_mut().for_each(WorkspaceLimiter::invalidate_lenders);
    }

    /// The platform, or another VM of the data centre, has answered a message sent at `sent_at`. The
    /// time of the answer says nothing: it may have lain in a socket while this process was paused.
    pub fn record_contact(&mut self, sent_at: MonoTime) {
        self.last_contact_at = self.last_contact_at.max(Some(sent_at));
    }

    /// Time passed. A VM that is alone in its data centre needs nobody's contact as long as it runs:
    /// there is no VM that could take its portions back. A pause counts as a lost contact.
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

    /// Whether this VM may spend: its portions can't have been taken back meanwhile.
    pub fn may_spend(&self, now: MonoTime) -> bool {
        self.last_contact_at.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
    }

    /// Takes the tokens of a request.
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

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: Ticket) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.cancel(ticket);
        }
    }

    /// Looks at the requests of a workspace that wait.
    pub fn wake(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        self.process_waiting(workspace, now, effects);
    }

    /// Another VM sent a message.
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

    /// A VM that was asked for tokens has answered, or has not.
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
            None => limiter.fail_ask(id, now),
        }
        self.process_waiting(workspace, now, effects);
    }

    /// What was lent since the last call.
    pub fn take_lent(&mut self) -> Vec<LentTokens> {
        let lent = self.lent.drain();
        lent.map(|((workspace, to), micro)| LentTokens { workspace, to, micro }).collect()
    }

    /// Millionths of a token of a workspace that can be spent here now.
    pub fn level_micro(&mut self, workspace: &WorkspaceName, now: MonoTime) -> u64 {
        self.limiters.get_mut(workspace).map_or(0, |limiter| limiter.level_micro(now))
    }

    fn lend(&mut self, ask: &TokenLoanRequest, now: MonoTime) -> Option<(u64, u64)> {
        if !self.may_spend(now) {
            return None;
        }
        let borrower = VmInstance { vm: ask.vm.clone(), incarnation: ask.incarnation };
        if self.newest_ask_ids.len() > SEEN_ASKS_PER_WORKSPACE_MAX * self.limiters.len().max(1) {
            // A copy that arrives after this loses the tokens that it asks for; it makes none.
            self.newest_ask_ids.clear();
        }
        let account_of = (borrower.clone(), ask.workspace.clone());
        let newest = self.newest_ask_ids.entry(account_of).or_insert(0);
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
            let Some(action) = limiter.next_action(&mut self.last_ask_id, now) else {
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
