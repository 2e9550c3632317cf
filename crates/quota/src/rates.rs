//! The accounts of all workspaces on one VM, and the transfer of tokens between VMs.
//!
//! A lender takes tokens out of its bucket before it sends them, and counts them as present until the
//! borrower can't spend them any more. So a lost message loses tokens, a copy makes none, and what
//! comes late is dropped: no window ever sees more than rate x time + burst.

use model::prelude::*;
use proto::tokens::{TokenAsk, TokenLoan, TokenReply, TokenRequest, TokenSettlement};

use crate::{
    account::{Account, Step, Ticket},
    bucket::Portion,
    lenders::Directory,
    objects::Owner,
};

/// How long a VM goes on spending after it last reached the platform or another VM of its data centre.
/// Less than [`crate::gone::RECLAIM_AFTER`].
pub const CONTACT_LIMIT: DurationUs = DurationUs::from_ms(8_000);

const SEEN_MAX: usize = 64;
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
    /// Ask another VM for tokens, and tell the answer to [`Rates::answered`].
    Ask {
        /// The VM.
        to: Owner,
        /// The message.
        ask: TokenAsk,
        /// How long to wait for the answer.
        timeout: DurationUs,
    },
    /// Tell another VM; nobody waits for the answer.
    Tell {
        /// The VM.
        to: Owner,
        /// The message.
        message: TokenRequest,
    },
    /// Ask another VM whether it can be reached, and call [`Rates::note_contact`] if it answers.
    Probe(Owner),
    /// Call [`Rates::wake`] at that time.
    Wake(WorkspaceName, MonoTime),
}

/// Tokens lent to another VM since the last look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lent {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The borrower.
    pub to: Owner,
    /// Millionths of a token.
    pub micro: u64,
}

/// The accounts of all workspaces on one VM.
#[derive(Debug)]
pub struct Rates {
    me: Owner,
    accounts: FxHashMap<WorkspaceName, Account>,
    directory: Directory,
    last_ticket: u64,
    last_ask: u64,
    seen: FxHashMap<(Owner, WorkspaceName), u64>,
    lent: FxHashMap<(WorkspaceName, Owner), u64>,
    contact_at: Option<MonoTime>,
    ticked_at: MonoTime,
    probed_at: Option<MonoTime>,
    probes: usize,
}

impl Rates {
    /// Accounts of the run `me` of a VM, without tokens.
    pub fn new(me: Owner) -> Rates {
        Rates {
            me,
            accounts: FxHashMap::default(),
            directory: Directory::default(),
            last_ticket: 0,
            last_ask: 0,
            seen: FxHashMap::default(),
            lent: FxHashMap::default(),
            contact_at: None,
            ticked_at: MonoTime::default(),
            probed_at: None,
            probes: 0,
        }
    }

    /// Sets a workspace's whole rate and burst, and this VM's portion of it.
    pub fn set_portion(
        &mut self,
        workspace: &WorkspaceName,
        whole: Portion,
        portion: Portion,
        now: MonoTime,
    ) {
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.clone(), Account::new(now));
        }
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.set_portion(whole, portion, now);
        }
    }

    /// Drops the accounts of workspaces that are no more.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.accounts.retain(|workspace, _| keep(workspace));
    }

    /// Sets who may lend tokens.
    pub fn set_directory(&mut self, directory: Directory) {
        self.directory = directory;
        self.accounts.values_mut().for_each(Account::forget_lenders);
    }

    /// The platform, or another VM of the data centre, has answered a message sent at `sent_at`. The
    /// time of the answer says nothing: it may have lain in a socket while this process was paused.
    pub fn note_contact(&mut self, sent_at: MonoTime) {
        self.contact_at = self.contact_at.max(Some(sent_at));
    }

    /// Time passed. A VM that is alone in its data centre needs nobody's contact as long as it runs:
    /// there is no VM that could take its portions back. A pause counts as a lost contact.
    pub fn tick(&mut self, now: MonoTime, effects: &mut Vec<RateEffect>) {
        let paused = now.since(self.ticked_at) >= CONTACT_LIMIT;
        self.ticked_at = now;
        if self.directory.neighbours().is_empty() && !paused && self.may_spend(now) {
            self.note_contact(now);
        }
        let neighbours = self.directory.neighbours();
        let quiet = self.contact_at.is_none_or(|at| now.since(at) >= PROBE_AFTER);
        let due = self.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !quiet || !due || neighbours.is_empty() {
            return;
        }
        self.probed_at = Some(now);
        self.probes += 1;
        effects.push(RateEffect::Probe(neighbours[self.probes % neighbours.len()].clone()));
    }

    /// Whether this VM may spend: its portions can't have been taken back meanwhile.
    pub fn may_spend(&self, now: MonoTime) -> bool {
        self.contact_at.is_some_and(|at| now.since(at) < CONTACT_LIMIT)
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
            return Admission::Refused(CONTACT_LIMIT);
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Admission::Refused(CONTACT_LIMIT);
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        match account.admit(ticket, weight, now) {
            Ok(true) => Admission::Granted,
            Ok(false) => {
                self.run(workspace, now, effects);
                Admission::Waiting(ticket)
            }
            Err(wait) => Admission::Refused(wait),
        }
    }

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, workspace: &WorkspaceName, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.cancel(ticket);
        }
    }

    /// Looks at the requests of a workspace that wait.
    pub fn wake(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        self.run(workspace, now, effects);
    }

    /// Another VM sent a message.
    pub fn take(&mut self, req: &TokenRequest, now: MonoTime) -> TokenReply {
        match req {
            TokenRequest::Ask(ask) => {
                let (loan, amount_micro) = self.lend(ask, now).unwrap_or((0, 0));
                TokenReply::Loan(TokenLoan { id: ask.id, loan, amount_micro })
            }
            TokenRequest::Settle(settlement) => {
                if let Some(account) = self.accounts.get_mut(&settlement.workspace) {
                    account.settle(settlement.loan, settlement.unused_micro, now);
                }
                TokenReply::Taken
            }
            TokenRequest::Probe => TokenReply::Taken,
        }
    }

    /// A VM that was asked for tokens has answered, or has not.
    pub fn answered(
        &mut self,
        workspace: &WorkspaceName,
        id: u64,
        loan: Option<TokenLoan>,
        now: MonoTime,
        effects: &mut Vec<RateEffect>,
    ) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        match loan {
            Some(loan) => account.take_loan(&loan, now),
            None => account.lose_loan(id, now),
        }
        self.run(workspace, now, effects);
    }

    /// What was lent since the last call.
    pub fn take_lent(&mut self) -> Vec<Lent> {
        let lent = self.lent.drain();
        lent.map(|((workspace, to), micro)| Lent { workspace, to, micro }).collect()
    }

    /// Millionths of a token of a workspace that can be spent here now.
    pub fn level_micro(&mut self, workspace: &WorkspaceName, now: MonoTime) -> u64 {
        self.accounts.get_mut(workspace).map_or(0, |account| account.level_micro(now))
    }

    fn lend(&mut self, ask: &TokenAsk, now: MonoTime) -> Option<(u64, u64)> {
        if !self.may_spend(now) {
            return None;
        }
        let borrower = Owner { vm: ask.vm.clone(), incarnation: ask.incarnation };
        if self.seen.len() > SEEN_MAX * self.accounts.len().max(1) {
            // A copy that arrives after this loses the tokens that it asks for; it makes none.
            self.seen.clear();
        }
        let account_of = (borrower.clone(), ask.workspace.clone());
        let newest = self.seen.entry(account_of).or_insert(0);
        if ask.id <= *newest {
            return None;
        }
        *newest = ask.id;
        let account = self.accounts.get_mut(&ask.workspace)?;
        let (loan, micro) = account.lend(ask.want_micro, ask.lifetime, now);
        if micro > 0 {
            *self.lent.entry((ask.workspace.clone(), borrower)).or_default() += micro;
        }
        Some((loan, micro))
    }

    fn run(&mut self, workspace: &WorkspaceName, now: MonoTime, effects: &mut Vec<RateEffect>) {
        let may_spend = self.may_spend(now);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        if !may_spend {
            let refused = account.refuse_all();
            effects.extend(refused.map(|ticket| RateEffect::Refuse(ticket, CONTACT_LIMIT)));
            return;
        }
        loop {
            if account.needs_lenders() {
                account.set_lenders(self.directory.lenders(workspace));
            }
            let Some(step) = account.step(&mut self.last_ask, now) else {
                return;
            };
            effects.push(match step {
                Step::Grant(ticket) => RateEffect::Grant(ticket),
                Step::Refuse(ticket, wait) => RateEffect::Refuse(ticket, wait),
                Step::Settle(settlement) => RateEffect::Tell {
                    to: settlement.to,
                    message: TokenRequest::Settle(TokenSettlement {
                        workspace: workspace.clone(),
                        loan: settlement.loan,
                        unused_micro: settlement.unused_micro,
                    }),
                },
                Step::Wake(at) => RateEffect::Wake(workspace.clone(), at),
                Step::Ask(pending) => RateEffect::Ask {
                    ask: TokenAsk {
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
