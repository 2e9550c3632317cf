//! Load of the databases as this VM knows it, and the split of reads between near and far databases.
//!
//! A holder measures its databases itself and reports their load with its replies on links. This VM adds what it has
//! sent since. [`crate::spill`] decides on the share; this module provides its input and carries it out.

use model::prelude::*;
use slog::info;

use super::{
    DatabaseState, Engine, Waiter,
    holders::Path,
    placement::{ASSUMED_EXECUTION_US, ASSUMED_ROUND_TRIP_US, ConnectionChoice, Requirement},
};
use crate::{
    effect::{CallerKey, LinkKey, UpstreamKey},
    link::{LinkMessage, LoadReport},
    regions::AllowedRegions,
    session::Transaction,
    spill::{self, DatabaseLoad, Decision, LEVELS, ServiceLoad, Side, Spill, Split},
};

/// Shortest time between two reports on a database over a link. Twenty a second are few beside the replies that
/// they accompany.
const REPORT_INTERVAL: DurationUs = DurationUs::from_ms(50);
/// Time after which an unchanged load is reported again: half of `REPORT_VALIDITY`, so that a receiver can tell an
/// unchanged load from a lost report.
const REPORT_REPEAT: DurationUs = DurationUs::from_ms(250);
/// How long a report is valid.
const REPORT_VALIDITY: DurationUs = DurationUs::from_ms(500);
/// Relative change of the service time that counts as a change of the load. Smaller ones are within the noise of a
/// moving average over ten statements.
const SERVICE_CHANGE: f64 = 0.1;
/// Weight of a new measurement in the moving averages of service times and round trips.
const MEASUREMENT_WEIGHT: f64 = 0.1;
/// Time over which reads of a service are counted for their rate.
const RATE_WINDOW: DurationUs = DurationUs::from_ms(1_000);
/// Longest time for which a read that has drawn the far side waits until a database there can take it. Two reports
/// arrive in this time.
const FAR_WAIT_MAX: DurationUs = DurationUs::from_ms(100);
/// Change of a share that is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// A holder's report on a database.
#[derive(Debug)]
struct ReceivedReport {
    load: LoadReport,
    holder: VmName,
    at: MonoTime,
    /// Statements that this VM has sent through the holder since.
    sent_since: u32,
}

/// Split of a service's reads.
#[derive(Debug)]
struct ServiceSplit {
    spill: Spill,
    decision: Decision,
    /// Share when it was last logged.
    logged_share: f64,
    /// Reads since `counted_from`.
    reads: u32,
    counted_from: MonoTime,
    /// Reads in a second in the last window.
    reads_per_s: f64,
}

/// Load of the databases, and the split of each service's reads.
#[derive(Debug, Default)]
pub(super) struct Balance {
    reports: FxHashMap<DatabaseName, ReceivedReport>,
    /// Mean round trips through holders, in microseconds.
    round_trip_us: FxHashMap<DatabaseName, f64>,
    services: FxHashMap<ServiceName, ServiceSplit>,
    /// Statements sent to databases, by distance.
    sent: [u64; LEVELS],
}

/// The side that a read has drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw {
    split: Split,
    pub(super) side: Side,
    seed: u64,
}

/// The databases that a statement may use, each with its connection.
#[derive(Debug, Default)]
pub(super) struct Candidates<'a> {
    /// By distance, whether there is a database that may be used, also if it is full.
    usable: [bool; LEVELS],
    found: Vec<Candidate<'a>>,
}

#[derive(Debug)]
struct Candidate<'a> {
    cost: f64,
    distance: usize,
    state: &'a DatabaseState,
    choice: ConnectionChoice,
}

impl<'a> Candidates<'a> {
    /// Adds a database that may be used, but may be full.
    pub(super) fn add_usable(&mut self, distance: usize) {
        self.usable[distance] = true;
    }

    /// Adds a database with room.
    pub(super) fn add(
        &mut self,
        cost: f64,
        distance: usize,
        state: &'a DatabaseState,
        choice: ConnectionChoice,
    ) {
        self.found.push(Candidate { cost, distance, state, choice });
    }

    /// The first one of the least cost.
    fn into_cheapest(self) -> Option<Candidate<'a>> {
        self.found.into_iter().reduce(|a, b| if b.cost < a.cost { b } else { a })
    }
}

impl LoadReport {
    fn differs_from(&self, other: &LoadReport) -> bool {
        let (service, before) = (self.service.0 as f64, other.service.0 as f64);
        (self.free, self.queued) != (other.free, other.queued)
            || (service - before).abs() > before * SERVICE_CHANGE
    }
}

impl Engine {
    /// Returns the share of each service's reads that leaves its nearest databases.
    pub fn spill_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.balance.services.iter().map(|(service, split)| (service, split.spill.share()))
    }

    /// Returns how many statements were sent to databases of the same data centre, of the same region, and elsewhere.
    pub fn statements_by_distance(&self) -> [u64; LEVELS] {
        self.balance.sent
    }

    /// Counts a statement that is sent to a database.
    pub(super) fn note_sent(&mut self, key: UpstreamKey, requirement: Requirement) {
        let connection = &self.pool.connections[key];
        let Some(state) = self.databases.get(&connection.database) else { return };
        self.balance.sent[self.distance(&state.record.dc)] += 1;
        if !self.id.policy.spread_reads {
            return;
        }
        if connection.link.is_some()
            && let Some(report) = self.balance.reports.get_mut(&connection.database)
        {
            report.sent_since = report.sent_since.saturating_add(1);
        }
        if let Requirement::AtLeast(_) = requirement {
            let now = self.now;
            let split = self.balance.services.entry(state.record.service.clone());
            split.or_insert_with(|| ServiceSplit::new(now)).reads += 1;
        }
    }

    /// Measures the round trip through a holder from the time of an answer, while requests don't wait there.
    pub(super) fn measure_round_trip(&mut self, key: UpstreamKey, took: DurationUs) {
        let connection = &self.pool.connections[key];
        let report = self.balance.reports.get(&connection.database);
        let report = report.filter(|report| {
            self.now.since(report.at) < REPORT_VALIDITY
                && report.load.queued == 0
                && report.load.free > 0
        });
        let (Some(report), Some(_)) = (report, connection.link) else { return };
        let measured = took.0 as f64 - report.load.service.0 as f64;
        let state = self.databases.get(&connection.database);
        let assumed = state.map_or(0.0, |s| ASSUMED_ROUND_TRIP_US[self.distance(&s.record.dc)]);
        let mean = self.balance.round_trip_us.entry(connection.database.clone()).or_insert(assumed);
        *mean = (*mean + (measured - *mean) * MEASUREMENT_WEIGHT).max(0.0);
    }

    /// As a holder, reports a database's load to a peer that decodes reports, if it has changed.
    pub(super) fn report_load(&mut self, link: LinkKey, database: &DatabaseName) {
        let now = self.now;
        let Some(state) = self.links.all.get(link).filter(|link| link.decodes_load) else { return };
        let before = state.reported.get(database);
        if !self.id.policy.spread_reads
            || before.is_some_and(|(at, _)| now.since(*at) < REPORT_INTERVAL)
        {
            return;
        }
        let Some(report) = self.databases.get(database).and_then(|state| self.own_load(state))
        else {
            return;
        };
        let is_due = before.is_none_or(|(at, before)| {
            report.differs_from(before) || now.since(*at) >= REPORT_REPEAT
        });
        if is_due {
            self.links.all[link].reported.insert(database.clone(), (now, report));
            self.send_on_link(link, LinkMessage::Load { database: database.clone(), report });
        }
    }

    /// Takes a holder's report. One from a VM that is no holder of the database is ignored.
    pub(super) fn receive_load(
        &mut self,
        holder: VmName,
        database: DatabaseName,
        load: LoadReport,
    ) {
        if self.holders_of(&database).contains(&holder) {
            let report = ReceivedReport { load, holder, at: self.now, sent_since: 0 };
            self.balance.reports.insert(database, report);
        }
    }

    /// The load of a database that this VM holds; `None` if it holds none of its connections or has not measured it
    /// yet.
    fn own_load(&self, state: &DatabaseState) -> Option<LoadReport> {
        let name = &state.record.name;
        self.own_share(state)?;
        let service = state.service_time.mean()?;
        let slots = state.record.slots.max(1);
        let free = slots - u32::try_from(self.pool.running_count(name)).unwrap_or(slots).min(slots);
        let waiting = self.waiting.iter().filter(|waiter| self.waits_for(**waiter, state)).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        // Right after an answer the next request has not been placed yet.
        Some(LoadReport {
            free: free.saturating_sub(waiting),
            queued: waiting.saturating_sub(free),
            service,
        })
    }

    /// Whether a waiting statement or request may be meant for a database.
    fn waits_for(&self, waiter: Waiter, state: &DatabaseState) -> bool {
        match waiter {
            Waiter::Channel(key) => self.channels.waits_for(key, &state.record.name),
            Waiter::Session(key) => self.sessions.get(key).is_some_and(|session| {
                let auth = session.authorization.as_ref();
                auth.is_some_and(|auth| auth.route.service == state.record.service)
                    && session.current.as_ref().is_some_and(|current| !current.needs_token)
                    && self
                        .requirement(session)
                        .is_some_and(|requirement| self.database_meets(state, requirement))
            }),
        }
    }

    /// The load of a database as this VM knows it; `None` if it has no valid report.
    fn known_load(&self, state: &DatabaseState) -> Option<DatabaseLoad> {
        let name = &state.record.name;
        let (report, round_trip_us, sent) = match self.path_to(state, &AllowedRegions::All) {
            // The measured service time includes the way to the database.
            Path::Own(_) => (self.own_load(state)?, 0.0, 0),
            Path::Through(holder) => {
                let report = self.balance.reports.get(name).filter(|report| {
                    report.holder == holder && self.now.since(report.at) < REPORT_VALIDITY
                })?;
                let assumed = ASSUMED_ROUND_TRIP_US[self.distance(&state.record.dc)];
                let round_trip = self.balance.round_trip_us.get(name).copied().unwrap_or(assumed);
                // What was sent since and has been answered occupies no slot any more.
                let busy = u32::try_from(self.pool.busy_count(name)).unwrap_or(u32::MAX);
                (report.load, round_trip, report.sent_since.min(busy))
            }
        };
        let service = self.services.get(&state.record.service);
        let slots = state.record.slots.max(1);
        let load = DatabaseLoad {
            slots,
            free: report.free.min(slots),
            queued: report.queued,
            service_us: report.service.0 as f64,
            round_trip_us,
            is_primary: service.is_some_and(|s| s.primary.as_ref() == Some(name)),
        };
        Some(load.with_sent(sent))
    }

    /// Decides on the split of each service's reads.
    pub(super) fn update_splits(&mut self) {
        if !self.id.policy.spread_reads {
            return;
        }
        let now = self.now;
        let databases = &self.databases;
        self.balance.reports.retain(|name, _| databases.contains_key(name));
        self.balance.round_trip_us.retain(|name, _| databases.contains_key(name));
        let mut splits = std::mem::take(&mut self.balance.services);
        splits.retain(|service, split| {
            split.update_rate(now);
            let load = self.service_load(service, split.reads_per_s);
            split.decision = split.spill.decide(&load, now);
            let (share, before) = (split.spill.share(), split.logged_share);
            if (share - before).abs() > LOGGED_CHANGE {
                split.logged_share = share;
                info!(self.log, "share of reads for farther databases changed";
                    "service" => %service, "share" => (share * 1e3).round() / 1e3,
                    "before" => (before * 1e3).round() / 1e3,
                    "reads_per_s" => split.reads_per_s.round());
            }
            split.reads_per_s > 0.0 || split.reads > 0 || share > 0.0
        });
        self.balance.services = splits;
    }

    fn service_load(&self, service: &ServiceName, reads_per_s: f64) -> ServiceLoad {
        let mut load = ServiceLoad { reads_per_s, ..ServiceLoad::default() };
        for state in self.databases.values().filter(|state| state.record.service == *service) {
            let is_usable = self.database_meets(state, Requirement::AtLeast(None))
                && state.avoided_until <= self.now
                && !self.evacuations.contains(&state.record.dc);
            if is_usable {
                load.levels[self.distance(&state.record.dc)].add(self.known_load(state));
            }
        }
        load
    }

    /// Draws the side of a session's current statement; `None` if it goes where its estimated time is least.
    pub(super) fn draw_side(
        &self,
        key: CallerKey,
        service: &ServiceName,
        requirement: Requirement,
    ) -> Option<Draw> {
        let Decision::Split(split) = self.balance.services.get(service)?.decision else {
            return None;
        };
        let Requirement::AtLeast(_) = requirement else { return None };
        let session = self.sessions.get(key)?;
        let current = session.current.as_ref()?;
        if let Transaction::Pinned { .. } = session.transaction {
            return None;
        }
        // The same for each attempt to place it, and another one after it was sent and refused.
        let statement = slotmap::Key::data(&key).as_ffi() ^ current.arrived.0.rotate_left(32);
        let seed = spill::mix(self.id.incarnation.0 ^ spill::mix(statement))
            .wrapping_add(u64::from(current.tries));
        Some(Draw { split, side: split.side(seed), seed: spill::mix(!seed) })
    }

    /// Chooses among the databases that a statement may use: the one with the least estimated time, or, where reads
    /// are split, one of the drawn side at random.
    pub(super) fn choose_candidate(
        &self,
        draw: Option<Draw>,
        candidates: Candidates<'_>,
        waited: DurationUs,
    ) -> Option<(DatabaseName, ConnectionChoice)> {
        let chosen = match draw {
            Some(draw) if candidates.usable[draw.split.near] => {
                self.choose_on_side(draw, candidates, waited)
            }
            // No database of the near level may run this statement.
            _ => candidates.into_cheapest(),
        };
        chosen.map(|Candidate { state, choice, .. }| (state.record.name.clone(), choice))
    }

    fn choose_on_side<'a>(
        &self,
        draw: Draw,
        mut candidates: Candidates<'a>,
        waited: DurationUs,
    ) -> Option<Candidate<'a>> {
        let Draw { split, side, seed } = draw;
        let weights = |level: usize, side: Side| -> Vec<f64> {
            let weight = |candidate: &Candidate<'_>| match candidate.distance == level {
                true => self.candidate_weight(candidate.state, side),
                false => 0.0,
            };
            candidates.found.iter().map(weight).collect()
        };
        let far = match side {
            Side::Far => spill::pick(&weights(split.far, Side::Far), seed),
            Side::Near => None,
        };
        let near_is_free = candidates.found.iter().any(|candidate| {
            candidate.distance == split.near
                && self.known_load(candidate.state).is_none_or(|load| load.free > 0)
        });
        let may_wait = candidates.usable[split.far] && !near_is_free && waited < FAR_WAIT_MAX;
        if side == Side::Far && far.is_none() && may_wait {
            return None;
        }
        // A full near database is waited for: only the share leaves it.
        let index = far.or_else(|| spill::pick(&weights(split.near, Side::Near), seed))?;
        Some(candidates.found.swap_remove(index))
    }

    /// The weight of a database for a read. One of the far side needs capacity to spare, also for what this VM has
    /// sent since the report.
    fn candidate_weight(&self, state: &DatabaseState, side: Side) -> f64 {
        let slots = f64::from(state.record.slots.max(1));
        match (self.known_load(state), side) {
            (Some(load), Side::Far) if !load.accepts_far_reads() => 0.0,
            (Some(load), _) => load.weight(),
            (None, Side::Near) => slots / ASSUMED_EXECUTION_US,
            // One read at a time brings a report.
            (None, Side::Far) if self.pool.busy_count(&state.record.name) == 0 => {
                1.0 / ASSUMED_EXECUTION_US
            }
            (None, Side::Far) => 0.0,
        }
    }
}

impl ServiceSplit {
    fn new(now: MonoTime) -> ServiceSplit {
        ServiceSplit {
            spill: Spill::default(),
            decision: Decision::Unrestricted,
            logged_share: 0.0,
            reads: 0,
            counted_from: now,
            reads_per_s: 0.0,
        }
    }

    fn update_rate(&mut self, now: MonoTime) {
        let span = now.since(self.counted_from);
        if span >= RATE_WINDOW {
            self.reads_per_s = f64::from(self.reads) * 1e6 / span.0 as f64;
            self.reads = 0;
            self.counted_from = now;
        }
    }
}
