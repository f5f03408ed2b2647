use base::{ClockTime, TimeSpan};

use super::{AnswerReport, AnswerSpan};

/// Shortest time without any answer that counts as an outage of the store: nodes take over reading it
/// from one another within 1.5 s.
const MIN_OUTAGE_GAP: TimeSpan = TimeSpan::new(1_600);
/// Interval at which targets renew their leases, if the settings name none.
const RENEWAL_INTERVAL: TimeSpan = TimeSpan::new(1_200);
/// Time after an outage of the store during which entries whose leases expired in it may reappear.
///
/// The platform restores them within about two seconds.
const RESTORE_WAIT: TimeSpan = TimeSpan::new(2_200);
/// Time after a mass removal for which the targets are still used, if no outage was noticed.
///
/// It has to be below the 2 s after which a leaving target must get no more work.
const DOUBT_WAIT: TimeSpan = TimeSpan::new(1_600);
/// The removal of several targets at once is a mass removal if they are more than one in this many
/// of the ready targets.
const MASS_DIVISOR: usize = 2;

/// Decides whether entries that disappeared are targets that left, or targets that still run and
/// whose leases expired during an outage of the store.
///
/// ```
/// use base::ClockTime;
/// let mut guard = entry::LeaseGuard::default();
/// guard.on_store_answer(ClockTime::new(1_000));
/// guard.on_store_answer(ClockTime::new(5_000));
/// assert!(guard.keep_until(ClockTime::new(5_100), 1, 12).is_some());
/// assert!(guard.keep_until(ClockTime::new(9_000), 1, 12).is_none());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LeaseGuard {
    /// Time without any answer from which on the store counts as having been away.
    outage_gap: TimeSpan,
    /// Time for which the store has been answering this node or others; `None` before the first
    /// answer.
    answers: Option<AnswerSpan>,
    /// When requests of this node last failed in a row.
    failed_at: Option<ClockTime>,
    /// When the store came back from an older copy.
    era_began_at: Option<ClockTime>,
    /// Time as of which the list before the one that is compared with it was complete.
    listed_at: Option<ClockTime>,
}

impl Default for LeaseGuard {
    fn default() -> Self {
        Self::new(RENEWAL_INTERVAL)
    }
}

impl LeaseGuard {
    /// Creates the guard of leases that targets renew at an interval, and that last for three of them.
    ///
    /// No lease expires in an outage of less than two intervals, as the last renewal was at most one
    /// interval before.
    pub fn new(renewal_interval: TimeSpan) -> Self {
        let outage_gap = TimeSpan::new(renewal_interval.as_millis() * 5 / 3);
        Self {
            outage_gap: outage_gap.max(MIN_OUTAGE_GAP),
            answers: None,
            failed_at: None,
            era_began_at: None,
            listed_at: None,
        }
    }

    /// Sets the time as of which the list of targets was complete before its last change; removals
    /// happened after it.
    #[must_use]
    pub fn with_listed_at(mut self, listed_at: Option<ClockTime>) -> Self {
        self.listed_at = listed_at;
        self
    }

    /// Records that requests of this node to the store failed in a row.
    pub fn on_store_failure(&mut self, now: ClockTime) {
        self.failed_at = Some(now);
    }

    /// Records an answer of the store to this node; returns the length of the outage that it ends,
    /// if it is the first answer after one that any node is known to have had.
    pub fn on_store_answer(&mut self, now: ClockTime) -> Option<TimeSpan> {
        self.add_span(AnswerSpan::at(now))
    }

    /// Records the answers of the store that a peer knows of; returns the length of the outage before
    /// them, if this node did not know of it.
    ///
    /// A peer that was cut off, or that did not run, takes that time for an outage. What others know
    /// refutes it.
    pub fn on_peer_report(&mut self, now: ClockTime, report: AnswerReport) -> Option<TimeSpan> {
        self.add_span(report.span(now))
    }

    /// Records that the store answered a peer again after an outage of unknown length, `age` ago.
    pub fn on_outage_end(&mut self, now: ClockTime, age: TimeSpan) -> Option<TimeSpan> {
        let ended_at = now.saturating_sub(age);
        let lost_at = ended_at.saturating_sub(self.outage_gap);
        self.add_span(AnswerSpan::after_outage(ended_at, lost_at))
    }

    fn add_span(&mut self, span: AnswerSpan) -> Option<TimeSpan> {
        let Some(known) = self.answers else {
            self.answers = Some(span);
            return None;
        };
        let merged = known.merge(span, self.outage_gap);
        self.answers = Some(merged);
        (merged.since() > known.until()).then(|| merged.since() - known.until())
    }

    /// What this node knows of the answers of the store, for its peers.
    pub fn report(&self, now: ClockTime) -> Option<AnswerReport> {
        self.answers.map(|span| span.report(now))
    }

    /// Records that the store came back from an older copy, in which entries may be missing until their
    /// targets write them again.
    pub fn on_new_era(&mut self, now: ClockTime) {
        self.era_began_at = Some(now);
    }

    /// Time since the store answered again after an outage; `None` if there was none or its entries
    /// have been restored.
    pub fn regained_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let span = self.answers.filter(AnswerSpan::follows_outage);
        let regained_at = span.map(|span| span.since()).max(self.era_began_at)?;
        let age = now.since(regained_at);
        (age < RESTORE_WAIT).then_some(age)
    }

    /// Whether requests of this node failed and no node is known to have had an answer since.
    pub fn is_store_lost(&self) -> bool {
        let answered_at = self.answers.map(|span| span.until());
        self.failed_at.is_some() && self.failed_at > answered_at
    }

    /// Time until which `removed` of `ready` targets that disappeared without an announcement are
    /// still used; `None` if the removal is taken at once.
    ///
    /// While the store is lost for this node, changes come from peers that it answers, so small
    /// removals are taken at once.
    pub fn keep_until(&self, now: ClockTime, removed: usize, ready: usize) -> Option<ClockTime> {
        if let Some(age) = self.regained_age(now) {
            return Some(now + RESTORE_WAIT.saturating_sub(age));
        }
        let is_mass = removed > 1 && removed * MASS_DIVISOR > ready;
        // From the removal itself, which a node may learn of late.
        let until = self.listed_at.unwrap_or(now) + DOUBT_WAIT;
        (is_mass && until > now).then_some(until)
    }
}
