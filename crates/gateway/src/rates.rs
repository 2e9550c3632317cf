//! Rate limits of the workspaces, divided among the VMs by demand.
//!
//! A small fraction of a rate is divided evenly and always available. One live witness, the home of
//! the workspace's rate, grants about half of the rate for short periods, in proportion to the
//! demand that each VM reports, and lends single tokens from the rest to VMs where operations wait.
//! Fixed shares would refuse operations that the whole rate allows, because a workspace's
//! operations reach the VMs unevenly and in bursts, at a few per second each. A VM without contact
//! falls back to its even share.

use std::collections::BTreeMap;

use model::{prelude::*, request::stable_hash};
use quota::bucket::{MICRO, RateLimit, TokenBucket};
use serde::{Deserialize, Serialize};

use crate::{
    admission::{self, ByClass, CLASSES, UnmetRequests},
    catalog::Workspace,
    share::Share,
    witnesses::LEASE_DURATION,
};

/// Fraction of a rate that is divided evenly: what VMs without contact to the home may still admit.
const EVEN_FRACTION: f64 = 0.04;
/// Greatest fraction of a rate that is granted by demand. The home lends the rest.
const GRANTED_FRACTION: f64 = 0.55;
/// Demand from which a VM gets a grant, in operations per second. With less, most of a grant would
/// expire unused.
const GRANT_MIN_DEMAND_PER_S: f64 = 2.0;
/// The same while a workspace asks for more than its rate and its tokens go to the most urgent operations first,
/// counting the demand that the rate covers. A VM with less spent its grant on less urgent operations between two
/// urgent ones: with 24 VMs at 1.5 urgent operations a second each, a fifth of those got no token.
const GRANT_MIN_COVERED_PER_S: f64 = 20.0;
/// Minimum time between two requests to the home for tokens of one workspace.
const BORROW_INTERVAL: DurationUs = DurationUs::from_ms(40);
/// How long the home's answer is awaited before tokens are requested again. A second request for the
/// same operations while the first one is on its way would take twice the tokens that they need.
const BORROW_TIMEOUT: DurationUs = DurationUs::from_ms(150);
/// Greatest number of tokens in one request to the home.
const BORROW_MAX_TOKENS: u32 = 64;
/// How long a home that lent fewer tokens than requested counts as having none left.
const HOME_EMPTY_BACKOFF: DurationUs = DurationUs::from_ms(300);
/// How long borrowed tokens can be spent.
const LOAN_LIFETIME: DurationUs = DurationUs::from_ms(500);
/// Demand that is assumed in addition to the reported demand, as a fraction of the rate, for VMs
/// that have not yet reported any.
const ASSUMED_DEMAND_FRACTION: f64 = 0.15;
/// How long a grant is valid; it outlasts two lost heartbeats.
pub const GRANT_LIFETIME: DurationUs = DurationUs::from_ms(1_000);
/// How long grants of a home may last after another witness has noticed that it is silent: its last heartbeats to
/// the two VMs may be a period apart, and the last one proves contact at a time up to a period before.
const SILENT_HOME_GRANTS: DurationUs = DurationUs::from_ms(600);
/// How long after a VM became the home, or a rate was handed over, the two still belong together: the longest time in
/// which one of them can hear of a change later than the other, a lease.
const HAND_OVER_MAX: DurationUs = LEASE_DURATION;
/// Time constant of the moving average of demand, in microseconds; short compared to the 5 s window
/// in which rate limits are measured.
const DEMAND_TIME_CONSTANT_US: f64 = 700_000.0;
/// Least time from the end of a run of a VM until its next run admits operations: meanwhile its part of a rate
/// was refilled and not used.
const RESTART_MIN: DurationUs = DurationUs::from_ms(500);
/// Demand below which a VM reports none, in operations per second.
const REPORTED_DEMAND_MIN_PER_S: f64 = 0.05;
/// Operations of a workspace that wait at one VM, beyond which a more urgent one takes the place of a less urgent
/// one: as many as one request asks tokens for.
const QUEUE_MAX: u32 = BORROW_MAX_TOKENS;
/// Longest time after which a refused operation is told to come again: the window in which rates are measured. What
/// more urgent operations leave may be close to nothing.
const RETRY_AFTER_MAX: DurationUs = DurationUs::from_ms(5_000);
/// How long after an operation got no token in time further ones of its class and of less urgent ones count as
/// hopeless; longer than the most urgent ones wait (320 ms), so that the mark lasts while they get none.
const STARVED_PERIOD: DurationUs = DurationUs::from_ms(500);

/// The demand of a workspace's callers at the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace whose callers send the operations.
    pub workspace: WorkspaceName,
    /// Operations per second that callers ask for, admitted or not, as a moving average.
    pub per_s: f32,
    /// The part of each class of priorities, the most urgent first. Empty where the sender does not distinguish
    /// them, and towards a home of a version that could not decode it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub by_class: Vec<f32>,
}

impl Demand {
    /// The demand of each class; all in the most urgent one if the sender does not distinguish them.
    pub fn classes(&self) -> ByClass<f64> {
        let mut classes = [0.0; CLASSES];
        match self.by_class.is_empty() {
            true => classes[0] = f64::from(self.per_s),
            false => {
                for (index, per_s) in self.by_class.iter().enumerate() {
                    classes[index.min(CLASSES - 1)] += f64::from(*per_s);
                }
            }
        }
        classes
    }
}

/// How an operation that may wait for a token was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queued {
    /// There was room.
    InRoom,
    /// The queue is full: an operation less urgent than this one is to be refused.
    InPlaceOfLessUrgent,
}

/// Tokens to request from the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Number of tokens.
    pub tokens: u32,
    /// The part of each class of priorities, the most urgent first.
    pub by_class: ByClass<u32>,
}

/// A fraction of a workspace's rate granted to one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateGrant {
    /// The workspace whose rate is granted.
    pub workspace: WorkspaceName,
    /// The VM's share of the fraction of the rate that is granted by demand, from 0 to 1.
    pub part: f32,
}

/// What a home passes on to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedRate {
    /// The workspace whose rate it is.
    pub workspace: WorkspaceName,
    /// Tokens left to lend.
    pub tokens: f32,
    /// Sum of the shares that are granted, from 0 to 1.
    pub granted: f32,
    /// How long the longest of these grants lasts.
    pub granted_for: DurationUs,
    /// Demand of all VMs for each class of priorities, in operations per second.
    pub demand: ByClass<f32>,
}

/// A request to the home for tokens.
#[derive(Clone, Copy, Debug)]
struct BorrowRequest {
    sent_at: MonoTime,
    answered: bool,
}

/// The rate limit of one workspace at this VM.
#[derive(Debug)]
struct WorkspaceLimiter {
    /// The whole rate of the workspace, in operations per second.
    rate_per_s: f64,
    /// The whole burst of the workspace, in operations.
    burst: f64,
    /// Tokens of this VM's even share and grant.
    share: Share,
    /// Moving average of the operations per second of each class that callers ask for, admitted or not.
    demand: ByClass<f64>,
    /// Moving average of the operations per second of each class that got a token.
    served: ByClass<f64>,
    demand_updated_at: MonoTime,
    /// The home's grants to this VM.
    granted: OutstandingGrants,
    /// The home that made them.
    granted_by: Option<VmName>,
    /// Tokens lent to this VM, and until when they can be spent.
    borrowed: (u32, MonoTime),
    /// The last request to the home.
    borrow_request: Option<BorrowRequest>,
    /// Time from the last answered request to its answer.
    loan_delay: DurationUs,
    /// Until when the home counts as having no tokens left.
    home_empty_until: MonoTime,
    /// Number of operations of each class that wait here for a token.
    waiting: ByClass<u32>,
    /// Until when operations of a class, and less urgent ones, are not expected to get a token.
    starved_until: ByClass<MonoTime>,
    /// Tokens left to lend, if this VM is the home.
    lendable: TokenBucket,
    /// Grants that the home before this VM may have made.
    inherited_grants: OutstandingGrants,
    /// When this VM became the home, until the predecessor has handed the rate over.
    taken_over_at: Option<MonoTime>,
    /// What a predecessor handed over before this VM knew that it is the home.
    handed: Option<(HandedRate, MonoTime)>,
    /// Grants to each VM, if this VM is the home.
    outstanding_grants: BTreeMap<VmName, OutstandingGrants>,
    /// Requests that could not be met, if this VM is the home.
    unmet: UnmetRequests,
    /// Demand of all VMs for each class in operations per second, if this VM is the home.
    fleet_demand: ByClass<f64>,
}

/// The grants that a VM may be using, each a share and its expiry. An earlier grant counts until it
/// expires, for the home since the VM may not have received a later one, and for the VM since nobody else
/// may use it meanwhile.
#[derive(Clone, Debug, Default)]
struct OutstandingGrants(Vec<(f64, MonoTime)>);

impl OutstandingGrants {
    fn live_fraction(&self, now: MonoTime) -> f64 {
        self.0.iter().filter(|(_, until)| *until > now).fold(0.0, |most, (part, _)| most.max(*part))
    }

    fn live_until(&self, now: MonoTime) -> Option<MonoTime> {
        let live = self.0.iter().filter(|(part, until)| *until > now && *part > 0.0);
        live.map(|(_, until)| *until).max()
    }

    fn add(&mut self, now: MonoTime, part: f64, until: MonoTime) {
        self.0.retain(|(earlier, expires)| *expires > now && (*earlier > part || *expires > until));
        self.0.push((part, until));
    }
}

/// The VM that may have been the home of a rate before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// It, or whichever VM it was, can have lent nothing for [`RESTART_MIN`].
    Silent,
    /// It lends until it learns of its successor.
    Active,
}

impl Predecessor {
    /// Returns what is known of a predecessor that was lost, or was not.
    pub fn new(is_silent: bool) -> Predecessor {
        if is_silent { Predecessor::Silent } else { Predecessor::Active }
    }
}

/// Numbers of tokens since the process started, and of take-overs of rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateCounts {
    /// Tokens of this VM's even shares and grants that operations spent.
    pub spent_own: u64,
    /// Tokens borrowed from homes that operations spent.
    pub spent_borrowed: u64,
    /// Tokens borrowed from homes.
    pub borrowed: u64,
    /// Borrowed tokens that no operation spent in time.
    pub expired: u64,
    /// Tokens that this VM lent as a home, to itself too.
    pub lent: u64,
    /// Tokens that were asked of this VM and not lent.
    pub not_lent: u64,
    /// Rates that this VM took over from another home.
    pub takeovers: u64,
}

/// The rate limits of all workspaces at one VM.
#[derive(Debug, Default)]
pub struct RateLimiter {
    limiters: FxHashMap<WorkspaceName, WorkspaceLimiter>,
    counts: RateCounts,
    vm_count: usize,
    /// Differs from VM to VM; see [`Share::new`].
    seed: u64,
    /// Whether tokens go to the most urgent operations first.
    by_priority: bool,
}

impl RateLimiter {
    /// Creates the limiter of a VM where tokens go to the most urgent operations first if `by_priority` is set.
    pub fn with_priorities(by_priority: bool) -> RateLimiter {
        RateLimiter { by_priority, ..RateLimiter::default() }
    }

    /// Sets a number that differs from VM to VM and from run to run.
    pub fn with_seed(self, seed: u64) -> RateLimiter {
        RateLimiter { seed, ..self }
    }

    /// Replaces the rate and burst of all workspaces.
    pub fn configure(&mut self, now: MonoTime, workspaces: &[Workspace]) {
        let limited: FxHashMap<&WorkspaceName, (f64, f64)> = workspaces
            .iter()
            .filter_map(|w| w.rate_per_s.map(|rate| (&w.name, (rate, w.burst))))
            .collect();
        self.limiters.retain(|name, _| limited.contains_key(name));
        let seed = self.seed;
        for (name, (rate_per_s, burst)) in limited {
            let limiter = self.limiters.entry(name.clone()).or_insert_with(|| WorkspaceLimiter {
                rate_per_s,
                burst,
                share: Share::new(now, phase(seed, name)),
                demand: [0.0; CLASSES],
                served: [0.0; CLASSES],
                demand_updated_at: now,
                granted: OutstandingGrants::default(),
                granted_by: None,
                borrowed: (0, now),
                borrow_request: None,
                loan_delay: DurationUs(0),
                home_empty_until: now,
                waiting: [0; CLASSES],
                starved_until: [now; CLASSES],
                lendable: bucket_after_start(now, rate_per_s, burst),
                inherited_grants: OutstandingGrants::default(),
                taken_over_at: None,
                handed: None,
                outstanding_grants: BTreeMap::new(),
                unmet: UnmetRequests::default(),
                fleet_demand: [0.0; CLASSES],
            });
            limiter.rate_per_s = rate_per_s;
            limiter.burst = burst;
        }
        self.refresh(now);
    }

    /// Sets the number of VMs that share the rates.
    pub fn set_vm_count(&mut self, now: MonoTime, vm_count: usize) {
        if self.vm_count != vm_count {
            self.vm_count = vm_count;
            self.refresh(now);
        }
    }

    /// Numbers of tokens and take-overs since the process started.
    pub fn counts(&self) -> RateCounts {
        self.counts
    }

    /// The class of operations of a priority; one for all where priorities are not distinguished.
    fn class_of(&self, priority: u32) -> usize {
        if self.by_priority { admission::class_of(priority) } else { 0 }
    }

    /// Counts an operation of the workspace as waiting for a token, to be taken with
    /// [`RateLimiter::try_take`].
    ///
    /// # Errors
    /// Returns the expected wait if it exceeds `max_wait` and the home is not expected to lend more
    /// tokens; the operation is to be refused.
    pub fn enqueue(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        priority: u32,
        max_wait: DurationUs,
    ) -> Result<Queued, DurationUs> {
        let (vm_count, class) = (self.vm_count, self.class_of(priority));
        let Some(limiter) = self.limiters.get_mut(workspace) else { return Ok(Queued::InRoom) };
        limiter.record_demand(now, class);
        limiter.refresh(now, vm_count);
        let is_full = limiter.waiting.iter().sum::<u32>() >= QUEUE_MAX;
        let has_less_urgent = limiter.waiting[class + 1..].iter().any(|count| *count > 0);
        let wait = limiter.expected_wait(now, class);
        match self.by_priority {
            true => limiter.check_wait(now, class, wait, max_wait, is_full && !has_less_urgent)?,
            false => {
                let home_is_empty = limiter.home_empty_until > now || is_full;
                if home_is_empty && wait > max_wait {
                    return Err(wait);
                }
            }
        }
        limiter.waiting[class] += 1;
        match is_full && has_less_urgent {
            true => Ok(Queued::InPlaceOfLessUrgent),
            false => Ok(Queued::InRoom),
        }
    }

    /// Spends a token for a waiting operation; returns whether there was one. Always succeeds for a
    /// workspace without a limit.
    pub fn try_take(&mut self, now: MonoTime, workspace: &WorkspaceName, priority: u32) -> bool {
        let (vm_count, class) = (self.vm_count, self.class_of(priority));
        let Some(limiter) = self.limiters.get_mut(workspace) else { return true };
        limiter.refresh(now, vm_count);
        let (borrowed, until) = limiter.borrowed;
        if borrowed > 0 && until > now {
            limiter.borrowed.0 -= 1;
            self.counts.spent_borrowed += 1;
        } else if !limiter.has_to_spare(now, class) || !limiter.share.try_spend(now) {
            return false;
        } else {
            self.counts.spent_own += 1;
        }
        limiter.waiting[class] = limiter.waiting[class].saturating_sub(1);
        limiter.record_served(now, class);
        true
    }

    /// Removes a waiting operation without spending a token.
    pub fn cancel(&mut self, workspace: &WorkspaceName, priority: u32) {
        let class = self.class_of(priority);
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.waiting[class] = limiter.waiting[class].saturating_sub(1);
        }
    }

    /// Removes an operation that has waited for a token for too long. Its class counts as getting none if the home
    /// had too few; otherwise the operation may only have had too little time to ask.
    pub fn expire(&mut self, now: MonoTime, workspace: &WorkspaceName, priority: u32) {
        self.cancel(workspace, priority);
        let class = self.class_of(priority);
        if let Some(limiter) = self.limiters.get_mut(workspace)
            && limiter.home_empty_until > now
        {
            limiter.starved_until[class] = now + STARVED_PERIOD;
        }
    }

    /// Whether tokens are to be requested for an operation that waits until `refuse_at`: it can still use one when
    /// the answer arrives, or it may not have been in a request yet. The latter counts for operations that may
    /// wait for less than the way to the home takes: what is lent for one serves the next.
    pub fn may_borrow(
        &self,
        now: MonoTime,
        workspace: &WorkspaceName,
        arrived: MonoTime,
        refuse_at: MonoTime,
    ) -> bool {
        let delay = self.limiters.get(workspace).map_or(DurationUs(0), |l| l.loan_delay);
        now + delay < refuse_at || now < arrived + delay + BORROW_INTERVAL
    }

    /// The tokens to request from the home now, if any, at most `in_time` of each class: the waiting operations
    /// that can still use them once the answer arrives.
    pub fn tokens_to_borrow(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        in_time: &ByClass<u32>,
    ) -> Option<TokenRequest> {
        let limiter = self.limiters.get_mut(workspace)?;
        let is_due = limiter.borrow_request.is_none_or(|request| {
            let pause = if request.answered { BORROW_INTERVAL } else { BORROW_TIMEOUT };
            now.since(request.sent_at) >= pause
        });
        let mut tokens = 0;
        let mut by_class = limiter.waiting;
        for (asked, in_time) in by_class.iter_mut().zip(in_time) {
            *asked = (*asked).min(*in_time).min(BORROW_MAX_TOKENS - tokens);
            tokens += *asked;
        }
        if tokens == 0 || !is_due {
            return None;
        }
        limiter.borrow_request = Some(BorrowRequest { sent_at: now, answered: false });
        Some(TokenRequest { tokens, by_class })
    }

    /// As the home: spends up to `asked` tokens for another VM and returns how many.
    pub fn lend(&mut self, now: MonoTime, workspace: &WorkspaceName, asked: u32) -> u32 {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0 };
        limiter.refresh(now, self.vm_count);
        let asked = asked.min(BORROW_MAX_TOKENS);
        let lent = limiter.lend(now, asked, 0.0);
        self.counts.record_loan(asked, lent);
        lent
    }

    /// Like [`RateLimiter::lend`], for a request that says how many tokens each class asks for. Where priorities
    /// count, tokens that more urgent operations at other VMs want are kept for them.
    pub fn lend_by_class(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        vm: &VmName,
        asked: &ByClass<u32>,
    ) -> u32 {
        if !self.by_priority {
            let asked = asked.iter().fold(0, |sum: u32, count| sum.saturating_add(*count));
            return self.lend(now, workspace, asked);
        }
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0 };
        limiter.refresh(now, self.vm_count);
        let mut lent = 0;
        let mut unmet = [0; CLASSES];
        for class in 0..CLASSES {
            let wanted = asked[class].min(BORROW_MAX_TOKENS - lent);
            let kept = limiter.kept_for_others(now, vm, class);
            let got = limiter.lend(now, wanted, kept);
            unmet[class] = wanted - got;
            lent += got;
        }
        limiter.unmet.record(now, vm, unmet);
        self.counts.record_loan(lent + unmet.iter().sum::<u32>(), lent);
        lent
    }

    /// Adds tokens lent by the home; `all` says whether they are as many as requested.
    pub fn receive_loan(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        tokens: u32,
        all: bool,
    ) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            if let Some(request) = &mut limiter.borrow_request {
                request.answered = true;
                // A longer delay is not kept: nothing would be requested that could show a shorter one.
                limiter.loan_delay = now.since(request.sent_at).min(BORROW_TIMEOUT);
            }
            if !all {
                limiter.home_empty_until = now + HOME_EMPTY_BACKOFF;
            }
            let (held, until) = limiter.borrowed;
            let (held, expired) = if until > now { (held, 0) } else { (0, held) };
            limiter.borrowed = (held + tokens, now + LOAN_LIFETIME);
            self.counts.borrowed += u64::from(tokens);
            self.counts.expired += u64::from(expired);
        }
    }

    /// The demand at this VM, for the workspaces where it is worth reporting.
    pub fn demands(&mut self, now: MonoTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (workspace, limiter) in &mut self.limiters {
            limiter.decay(now);
            let per_s: f64 = limiter.demand.iter().sum();
            if per_s >= REPORTED_DEMAND_MIN_PER_S {
                // Without the classes at the end that nobody asks for: heartbeats are single datagrams.
                let last = limiter.demand.iter().rposition(|d| *d >= REPORTED_DEMAND_MIN_PER_S);
                let count = if self.by_priority { last.map_or(1, |last| last + 1) } else { 0 };
                let by_class = limiter.demand[..count].iter().map(|d| *d as f32).collect();
                demands.push(Demand {
                    workspace: workspace.clone(),
                    per_s: per_s as f32,
                    by_class,
                });
            }
        }
        demands
    }

    /// The demand of each class for a workspace at this VM, in operations per second; 0 if it is too low to
    /// report.
    pub fn demand_for(&mut self, now: MonoTime, workspace: &WorkspaceName) -> ByClass<f64> {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return [0.0; CLASSES] };
        limiter.decay(now);
        let is_reported = limiter.demand.iter().sum::<f64>() >= REPORTED_DEMAND_MIN_PER_S;
        if is_reported { limiter.demand } else { [0.0; CLASSES] }
    }

    /// As the home of `workspace`: grants `vm` a share by the demand of that VM and of all VMs, in
    /// operations per second of each class. Shares of all valid grants never exceed 1 in total.
    pub fn grant(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        vm: &VmName,
        demand_of_vm: &ByClass<f64>,
        demand_of_all: &ByClass<f64>,
    ) -> Option<RateGrant> {
        let vm_count = self.vm_count;
        let limiter = self.limiters.get_mut(workspace)?;
        limiter.fleet_demand = *demand_of_all;
        let (mut of_vm, mut of_all) =
            (demand_of_vm.iter().sum::<f64>(), demand_of_all.iter().sum::<f64>());
        let mut least = GRANT_MIN_DEMAND_PER_S;
        if self.by_priority && of_all > limiter.rate_per_s {
            least = GRANT_MIN_COVERED_PER_S;
            // Only the demand that the rate covers counts, so that VMs with more of the urgent get more.
            let covered = admission::covered(demand_of_all, limiter.rate_per_s);
            let part = |class: usize| match demand_of_all[class] {
                wanted if wanted > 0.0 => demand_of_vm[class] * covered[class] / wanted,
                _ => 0.0,
            };
            (of_vm, of_all) = ((0..CLASSES).map(part).sum(), covered.iter().sum());
        }
        let assumed = limiter.rate_per_s * ASSUMED_DEMAND_FRACTION;
        let is_steady = of_vm >= least;
        let target = if is_steady { of_vm / (of_all + assumed) } else { 0.0 };
        let others: f64 = limiter
            .outstanding_grants
            .iter()
            .filter(|(other, _)| *other != vm)
            .map(|(_, grants)| grants.live_fraction(now))
            .sum();
        // A VM drops its grant of the home before with the first one of this home.
        let inherited = limiter.inherited_grants.live_fraction(now) - others - target;
        let part = target.min(1.0 - others - inherited.max(0.0)).max(0.0);
        let until = now + GRANT_LIFETIME;
        limiter.outstanding_grants.entry(vm.clone()).or_default().add(now, part, until);
        limiter.refresh(now, vm_count);
        Some(RateGrant { workspace: workspace.clone(), part: part as f32 })
    }

    /// As the new home of `workspace`: takes over from another home. The bucket of this VM was refilled while that one
    /// lent the same rate, so it starts anew. Grants of a silent home last for [`SILENT_HOME_GRANTS`] at most.
    pub fn take_over(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        predecessor: Predecessor,
    ) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.restart_lending(now, SILENT_HOME_GRANTS, predecessor);
            limiter.refresh(now, self.vm_count);
            self.counts.takeovers += 1;
        }
    }

    /// Takes over all workspaces, as a VM that had no lease for a while: another VM may have been their home until
    /// now, and nothing is granted until its grants have expired.
    pub fn take_over_all(&mut self, now: MonoTime, predecessor: Predecessor) {
        for limiter in self.limiters.values_mut() {
            limiter.restart_lending(now, GRANT_LIFETIME, predecessor);
            limiter.refresh(now, self.vm_count);
        }
    }

    /// As the home of `workspace` until now: gives up what is left, for the successor.
    pub fn hand_over(&mut self, now: MonoTime, workspace: &WorkspaceName) -> Option<HandedRate> {
        let limiter = self.limiters.get_mut(workspace)?;
        limiter.refresh(now, self.vm_count);
        let level = limiter.lendable.level_micro(now);
        limiter.lendable.take_up_to(level, now);
        let granted = limiter.granted_to_all(now).min(1.0);
        let grants = limiter.outstanding_grants.values().chain([&limiter.inherited_grants]);
        let last = grants.filter_map(|grants| grants.live_until(now)).max();
        Some(HandedRate {
            workspace: workspace.clone(),
            tokens: (level as f64 / MICRO as f64) as f32,
            granted: granted as f32,
            granted_for: last.map_or(DurationUs(0), |until| until.since(now)),
            demand: limiter.fleet_demand.map(|per_s| per_s as f32),
        })
    }

    /// Accepts what the predecessor of this VM as a home has left, once for each time that this VM takes over.
    pub fn receive_rate(&mut self, now: MonoTime, handed: HandedRate) {
        let Some(limiter) = self.limiters.get_mut(&handed.workspace) else { return };
        limiter.handed = Some((handed, now));
        limiter.use_handed(now);
        limiter.refresh(now, self.vm_count);
    }

    /// Accepts grants from the home, which were sent at `sent_after` or later on this VM's clock. They replace those of
    /// another home.
    pub fn accept_grants(
        &mut self,
        now: MonoTime,
        home: &VmName,
        sent_after: MonoTime,
        grants: &[RateGrant],
    ) {
        for grant in grants {
            if let Some(limiter) = self.limiters.get_mut(&grant.workspace) {
                if limiter.granted_by.as_ref() != Some(home) {
                    limiter.granted = OutstandingGrants::default();
                    limiter.granted_by = Some(home.clone());
                }
                let until = sent_after + GRANT_LIFETIME;
                limiter.granted.add(now, f64::from(grant.part), until);
                limiter.refresh(now, self.vm_count);
            }
        }
    }

    fn refresh(&mut self, now: MonoTime) {
        for limiter in self.limiters.values_mut() {
            limiter.refresh(now, self.vm_count);
        }
    }
}

impl RateCounts {
    fn record_loan(&mut self, asked: u32, lent: u32) {
        self.lent += u64::from(lent);
        self.not_lent += u64::from(asked - lent);
    }
}

impl WorkspaceLimiter {
    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.demand_updated_at).0 as f64;
        let factor = (-elapsed / DEMAND_TIME_CONSTANT_US).exp();
        self.demand.iter_mut().chain(&mut self.served).for_each(|per_s| *per_s *= factor);
        self.demand_updated_at = now;
    }

    fn record_demand(&mut self, now: MonoTime, class: usize) {
        self.decay(now);
        self.demand[class] += 1e6 / DEMAND_TIME_CONSTANT_US;
    }

    fn record_served(&mut self, now: MonoTime, class: usize) {
        self.decay(now);
        self.served[class] += 1e6 / DEMAND_TIME_CONSTANT_US;
    }

    /// Decides by priority whether an operation may wait for a token; returns the time to retry after if not.
    fn check_wait(
        &self,
        now: MonoTime,
        class: usize,
        wait: DurationUs,
        max_wait: DurationUs,
        is_full: bool,
    ) -> Result<(), DurationUs> {
        if let Some(until) = self.starved_until[..class].iter().copied().find(|u| *u > now) {
            // What more urgent operations want exceeds the rate.
            return Err(until.since(now));
        }
        // One operation may always wait: only its request tells the home of the demand.
        let is_first = self.waiting[..=class].iter().all(|count| *count == 0);
        let is_starved = self.starved_until[class] > now;
        if (is_full || (is_starved && !is_first)) && wait > max_wait {
            return Err(wait.min(RETRY_AFTER_MAX));
        }
        Ok(())
    }

    /// Whether the bucket has a token for an operation of `class` beyond those kept for more urgent ones.
    fn has_to_spare(&mut self, now: MonoTime, class: usize) -> bool {
        if class == 0 || self.home_empty_until <= now {
            return true;
        }
        let kept = admission::reserve(&self.demand, class, self.share.capacity());
        self.share.level_micro(now) as f64 >= (kept + 1.0) * MICRO as f64
    }

    /// As the home: number of tokens to keep for operations more urgent than `class`, at VMs other than `vm` or
    /// soon expected.
    fn kept_for_others(&mut self, now: MonoTime, vm: &VmName, class: usize) -> f64 {
        let capacity = self.lendable.limit().burst_micro as f64 / MICRO as f64;
        let waiting = f64::from(self.unmet.more_urgent(now, vm, class)).min(capacity - 1.0);
        let is_over = self.fleet_demand.iter().sum::<f64>() > self.rate_per_s;
        let expected =
            if is_over { admission::reserve(&self.fleet_demand, class, capacity) } else { 0.0 };
        waiting.max(expected).max(0.0)
    }

    /// As the home: spends up to `asked` tokens while more than `kept` are left, and returns how many.
    fn lend(&mut self, now: MonoTime, asked: u32, kept: f64) -> u32 {
        let level = self.lendable.level_micro(now) as f64 / MICRO as f64;
        let asked = asked.min((level - kept).max(0.0) as u32);
        (0..asked).take_while(|_| self.lendable.try_spend(1, now).is_ok()).count() as u32
    }

    /// Empties the bucket to lend from but for what no predecessor can have lent, and counts all of the rate that may
    /// be granted as granted for `grants`.
    fn restart_lending(&mut self, now: MonoTime, grants: DurationUs, predecessor: Predecessor) {
        self.lendable = match predecessor {
            Predecessor::Silent => bucket_after_start(now, self.rate_per_s, self.burst),
            Predecessor::Active => TokenBucket::new(now),
        };
        self.taken_over_at = Some(now);
        self.inherited_grants.add(now, 1.0, now + grants);
        self.use_handed(now);
    }

    /// As a new home: uses what its predecessor has handed over, if both happened lately.
    fn use_handed(&mut self, now: MonoTime) {
        let is_new = self.taken_over_at.is_some_and(|at| now.since(at) < HAND_OVER_MAX);
        let Some((handed, _)) =
            self.handed.take_if(|(_, at)| is_new && now.since(*at) < HAND_OVER_MAX)
        else {
            return;
        };
        self.taken_over_at = None;
        let until = now + handed.granted_for.min(GRANT_LIFETIME);
        let granted = f64::from(handed.granted).clamp(0.0, 1.0);
        self.inherited_grants = OutstandingGrants(vec![(granted, until)]);
        self.fleet_demand = handed.demand.map(f64::from);
        let (rate, burst) = (self.rate_per_s, self.burst);
        let lendable = self.lendable_fraction(now);
        set_fraction(&mut self.lendable, rate, burst, lendable, now);
        self.lendable.put((f64::from(handed.tokens) * MICRO as f64) as u64, now);
    }

    /// Sum of the shares that are granted to VMs, by this VM as the home or the one before it.
    fn granted_to_all(&self, now: MonoTime) -> f64 {
        let granted: f64 =
            self.outstanding_grants.values().map(|grants| grants.live_fraction(now)).sum();
        granted.max(self.inherited_grants.live_fraction(now))
    }

    fn lendable_fraction(&self, now: MonoTime) -> f64 {
        1.0 - EVEN_FRACTION - GRANTED_FRACTION * self.granted_to_all(now)
    }

    fn refresh(&mut self, now: MonoTime, vm_count: usize) {
        let granted = self.granted.live_fraction(now);
        let fraction = EVEN_FRACTION / vm_count.max(1) as f64 + GRANTED_FRACTION * granted;
        let (rate, burst) = (self.rate_per_s, self.burst);
        self.share.set(rate, burst, fraction, now);
        let lendable = self.lendable_fraction(now);
        set_fraction(&mut self.lendable, rate, burst, lendable, now);
    }

    /// Expected wait of a new operation of `class` for a token, at this VM's share of the whole rate that more
    /// urgent operations leave.
    fn expected_wait(&mut self, now: MonoTime, class: usize) -> DurationUs {
        let level = self.share.level_micro(now);
        let need = u64::from(self.waiting[..=class].iter().sum::<u32>() + 1) * MICRO;
        // The home lends this VM at least the same share of the rest.
        let rate = self.share.rate_micro_per_s().max(1);
        let rate = (rate as f64 / (EVEN_FRACTION + GRANTED_FRACTION)) as u64;
        let rate = self.left_for(class, rate);
        let missing = u128::from(need.saturating_sub(level));
        DurationUs((missing * u128::from(MICRO) / u128::from(rate)) as u64)
    }

    /// The part of a rate in microtokens per second that operations more urgent than `class` leave, or what the
    /// class got lately if that is more. The most urgent class has all of it.
    fn left_for(&self, class: usize, rate: u64) -> u64 {
        if class == 0 {
            return rate;
        }
        let wanted: f64 = self.demand[..class].iter().sum();
        let left = (rate as f64 / MICRO as f64 - wanted).max(self.served[class]);
        ((left * MICRO as f64) as u64).max(1)
    }
}

/// The part of a token of its share that a VM counts as gained when it starts.
fn phase(seed: u64, workspace: &WorkspaceName) -> f64 {
    stable_hash(&format!("{seed}/{workspace}")) as f64 / u64::MAX as f64
}

/// Returns a bucket with the tokens that were refilled while this VM was starting.
fn bucket_after_start(now: MonoTime, rate_per_s: f64, burst: f64) -> TokenBucket {
    let ended = MonoTime(now.0.saturating_sub(RESTART_MIN.0));
    let mut bucket = TokenBucket::new(ended);
    set_fraction(&mut bucket, rate_per_s, burst, 1.0, ended);
    bucket
}

fn set_fraction(
    bucket: &mut TokenBucket,
    rate_per_s: f64,
    burst: f64,
    fraction: f64,
    now: MonoTime,
) {
    let limit = RateLimit {
        rate_micro_per_s: (rate_per_s * fraction * MICRO as f64) as u64,
        burst_micro: (burst * fraction * MICRO as f64).max(MICRO as f64) as u64,
    };
    if limit != bucket.limit() {
        bucket.set_limit(limit, now);
    }
}
