use std::sync::Arc;

use base::{ClockTime, DomainName, NodeName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};

use super::parts::cut_parts;
use super::peer_table::PeerTable;
use super::pending_set::PendingSet;
use super::platform_watch::PlatformWatch;
use super::pull_table::PullTable;
use super::retry_backoff::RetryBackoff;
use super::set_history::SetHistory;
use super::start_check::StartCheck;
use super::{
    FleetPeer, IncompleteRevision, RejectedRevision, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionStatus, SetSource, SetValidator, StatelessValidator,
};
use crate::{DeclarationMistake, FleetDeclaration, KeySet};

/// Most rejected revisions that are remembered so that they are not fetched again.
const REJECTED_STAMPS_KEPT: usize = 32;

/// The revision in effect with its declaration and keys.
#[derive(Clone, Debug)]
pub struct AcceptedRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// The declaration.
    pub declaration: Arc<FleetDeclaration>,
    /// The keys that it was built from.
    pub set: Arc<KeySet>,
}

/// State machine that keeps this node's revision in step with the platform and the peers.
///
/// It collects newer revisions from both, validates them and decides which one is in effect. It
/// does no I/O: the caller passes in events with the time, calls `on_tick` about every 100 ms, and
/// carries out the returned actions.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use fleet::{RevisionAction, RevisionSettings, RevisionSync};
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let mut sync = RevisionSync::new(node, domain, RevisionSettings::default(), 7);
/// let actions = sync.on_reader_role(ClockTime::ZERO, true);
/// let wait = TimeSpan::ZERO;
/// assert_eq!(actions, [RevisionAction::ReadHead { call: 1, index: 0, wait }]);
/// assert!(!sync.is_ready());
/// ```
pub struct RevisionSync {
    pub(super) node: NodeName,
    pub(super) domain: DomainName,
    pub(super) settings: RevisionSettings,
    pub(super) rng: Pcg64Mcg,
    pub(super) validator: Box<dyn SetValidator>,
    pub(super) accepted: Option<AcceptedRevision>,
    pub(super) history: SetHistory,
    pub(super) newest_rejected: Option<RejectedRevision>,
    /// Latest rejected revisions, which are not fetched again.
    pub(super) rejected_stamps: Vec<RevisionStamp>,
    /// Older revision that was reported as ignored last, so that it is reported once.
    pub(super) last_ignored: Option<RevisionStamp>,
    pub(super) peers: PeerTable,
    pub(super) pulls: PullTable,
    /// Set that is being pulled from a peer.
    pub(super) peer_set: Option<PendingSet>,
    pub(super) watch: PlatformWatch,
    /// Set that is being read from the platform.
    pub(super) platform_set: Option<PendingSet>,
    /// Revision that the platform returned last, if it is older than the accepted one.
    pub(super) platform_stale: Option<RevisionStamp>,
    /// When the platform last answered a read of `head`.
    pub(super) platform_seen_at: Option<ClockTime>,
    /// When the platform last confirmed the accepted revision, to this node or to a peer.
    pub(super) confirmed_at: Option<ClockTime>,
    pub(super) start_check: StartCheck,
    /// When the start check reads `head` from the platform.
    pub(super) platform_check_at: ClockTime,
    pub(super) platform_check_backoff: RetryBackoff,
    /// When the start check requests digests of peers.
    pub(super) digest_request_at: ClockTime,
    pub(super) push_rounds_left: u32,
    pub(super) next_push_at: ClockTime,
    pub(super) last_tick_at: Option<ClockTime>,
}

impl RevisionSync {
    /// Creates the state machine of a node that has no revision yet.
    pub fn new(node: NodeName, domain: DomainName, settings: RevisionSettings, seed: u64) -> Self {
        Self {
            node,
            domain,
            rng: Pcg64Mcg::seed_from_u64(seed),
            validator: Box::new(StatelessValidator),
            accepted: None,
            history: SetHistory::default(),
            newest_rejected: None,
            rejected_stamps: Vec::new(),
            last_ignored: None,
            peers: PeerTable::default(),
            pulls: PullTable::default(),
            peer_set: None,
            watch: PlatformWatch::new(&settings),
            platform_set: None,
            platform_stale: None,
            platform_seen_at: None,
            confirmed_at: None,
            start_check: StartCheck::Idle,
            platform_check_at: ClockTime::ZERO,
            platform_check_backoff: RetryBackoff::new(
                settings.start_wait,
                settings.check_backoff_max,
            ),
            digest_request_at: ClockTime::ZERO,
            push_rounds_left: 0,
            next_push_at: ClockTime::ZERO,
            last_tick_at: None,
            settings,
        }
    }

    /// Replaces the validator of key sets, for example by one that caches.
    #[must_use]
    pub fn with_validator(mut self, validator: Box<dyn SetValidator>) -> Self {
        self.validator = validator;
        self
    }

    /// Handles a new list of live nodes from membership: those of the own domain and a few of
    /// others.
    pub fn on_peers(&mut self, now: ClockTime, peers: &[FleetPeer]) -> Vec<RevisionAction> {
        self.peers.set_peers(&self.node, &self.domain, peers);
        self.advance(now, Vec::new())
    }

    /// Handles the outcome of membership's election: whether this node is a reader of the platform.
    pub fn on_reader_role(&mut self, now: ClockTime, is_reader: bool) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.watch.set_reader(is_reader, &mut actions);
        self.advance(now, actions)
    }

    /// Handles the passing of time; a long gap since the last call counts as a pause.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<RevisionAction> {
        let gap = self.last_tick_at.map(|last| now - last);
        if gap.is_some_and(|gap| gap >= self.settings.pause_threshold) {
            return self.on_resume(now);
        }
        self.last_tick_at = Some(now);
        let mut actions = Vec::new();
        self.watch.expire(now, &mut self.rng, &mut actions);
        for late in self.pulls.expire(now, self.settings.pull_timeout) {
            self.record_pull_failure(now, &late.to, late.for_set);
        }
        self.advance(now, actions)
    }

    /// Handles the end of a pause: starts a new start check and ignores answers to earlier calls.
    pub fn on_resume(&mut self, now: ClockTime) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.last_tick_at = Some(now);
        self.watch.restart(&mut actions);
        self.pulls.clear();
        self.peer_set = None;
        self.peers.forget_digests();
        self.confirmed_at = None;
        self.platform_seen_at = None;
        self.start_check = StartCheck::Idle;
        self.advance(now, actions)
    }

    /// Returns the digest that this node sends to peers, also within membership messages.
    pub fn digest(&self, now: ClockTime) -> RevisionDigest {
        let age = self.confirmed_at.map(|at| (now - at).as_millis());
        RevisionDigest {
            accepted: self.stamp().map(Into::into),
            rejected: self.newer_rejected().map(|rejected| rejected.stamp.into()),
            confirmed_age_ms: age,
        }
    }

    /// Returns the answer to a peer's pull, from the accepted sets that are still kept.
    pub fn answer_pull(&self, now: ClockTime, request: &PullRequest) -> PullAnswer {
        let wanted = request.stamp.as_ref().map(RevisionStamp::from);
        let set = wanted.and_then(|stamp| self.history.get(stamp));
        let limit = self.settings.answer_byte_limit;
        let parts = set.map(|set| cut_parts(set, &request.parts, limit));
        PullAnswer {
            digest: self.digest(now),
            parts: parts.unwrap_or_default(),
        }
    }

    /// Returns the revision in effect.
    pub fn accepted(&self) -> Option<&AcceptedRevision> {
        self.accepted.as_ref()
    }

    /// Returns whether the node may serve: it has a revision and has completed the start check.
    pub fn is_ready(&self) -> bool {
        self.accepted.is_some() && self.start_check == StartCheck::Done
    }

    /// Returns the state for status pages.
    pub fn status(&self, now: ClockTime) -> RevisionStatus {
        let pending = [&self.platform_set, &self.peer_set];
        let incomplete = pending.into_iter().flatten().map(|set| IncompleteRevision {
            stamp: set.stamp,
            source: set.source.clone(),
            missing: set.missing().cloned().collect(),
        });
        let accepted = self.accepted.as_ref();
        RevisionStatus {
            accepted: self.stamp(),
            warnings: accepted.map_or_else(Vec::new, |a| a.declaration.warnings.clone()),
            basis: self.basis(now),
            is_ready: self.is_ready(),
            is_reader: self.watch.is_reader(),
            platform_lost: self.watch.is_unreachable(),
            platform_stale: self.platform_stale,
            confirmed_age: self.confirmed_at.map(|at| now - at),
            rejected: self.newer_rejected().cloned(),
            rejected_by_peer: self.peers.newest_rejected(self.stamp()),
            incomplete: incomplete.collect(),
            platform_calls: self.watch.calls(),
        }
    }

    pub(super) fn stamp(&self) -> Option<RevisionStamp> {
        self.accepted.as_ref().map(|accepted| accepted.stamp)
    }

    fn newer_rejected(&self) -> Option<&RejectedRevision> {
        let rejected = self.newest_rejected.as_ref()?;
        (Some(rejected.stamp) > self.stamp()).then_some(rejected)
    }

    /// Starts all work that is due after an event and returns its actions after `actions`.
    pub(super) fn advance(
        &mut self,
        now: ClockTime,
        mut actions: Vec<RevisionAction>,
    ) -> Vec<RevisionAction> {
        self.advance_start_check(now, &mut actions);
        self.advance_platform(now, &mut actions);
        self.advance_pull(now, &mut actions);
        self.advance_push(now, &mut actions);
        actions
    }

    /// Returns whether the revision `stamp` may replace the accepted one.
    pub(super) fn is_wanted(&self, stamp: RevisionStamp) -> bool {
        if !self.settings.switches.monotonic {
            return Some(stamp) != self.stamp();
        }
        Some(stamp) > self.stamp() && !self.rejected_stamps.contains(&stamp)
    }

    /// Validates a set and applies or rejects it.
    pub(super) fn validate_and_apply(
        &mut self,
        now: ClockTime,
        stamp: RevisionStamp,
        source: SetSource,
        set: KeySet,
        actions: &mut Vec<RevisionAction>,
    ) {
        if !self.is_wanted(stamp) {
            return;
        }
        match self.validator.validate(&set) {
            Ok(declaration) => self.apply(now, stamp, source, set, declaration, actions),
            Err(mistakes) => self.reject(stamp, source, mistakes, actions),
        }
    }

    /// Makes a valid set the accepted revision.
    fn apply(
        &mut self,
        now: ClockTime,
        stamp: RevisionStamp,
        source: SetSource,
        set: KeySet,
        declaration: Arc<FleetDeclaration>,
        actions: &mut Vec<RevisionAction>,
    ) {
        let set = Arc::new(set);
        self.history.push(stamp, Arc::clone(&set));
        self.accepted = Some(AcceptedRevision {
            stamp,
            declaration: Arc::clone(&declaration),
            set,
        });
        self.rejected_stamps.retain(|rejected| *rejected > stamp);
        // A confirmation of the previous revision does not hold for this one.
        self.confirmed_at = match source {
            SetSource::Platform => Some(now),
            SetSource::Peer(_) => None,
        };
        self.push_rounds_left = self.settings.push_rounds;
        self.next_push_at = now;
        actions.push(RevisionAction::Accepted {
            stamp,
            declaration,
            source,
        });
    }

    /// Records a revision as rejected and reports it.
    pub(super) fn reject(
        &mut self,
        stamp: RevisionStamp,
        source: SetSource,
        mistakes: Vec<DeclarationMistake>,
        actions: &mut Vec<RevisionAction>,
    ) {
        if self.rejected_stamps.len() == REJECTED_STAMPS_KEPT {
            self.rejected_stamps.remove(0);
        }
        self.rejected_stamps.push(stamp);
        let mistakes: Arc<[DeclarationMistake]> = mistakes.into();
        if self
            .newest_rejected
            .as_ref()
            .is_none_or(|old| old.stamp < stamp)
        {
            let mistakes = Arc::clone(&mistakes);
            self.newest_rejected = Some(RejectedRevision { stamp, mistakes });
        }
        actions.push(RevisionAction::Rejected {
            stamp,
            mistakes,
            source,
        });
    }

    /// Reports that a source offered an older revision, once for the same revision.
    pub(super) fn report_ignored(
        &mut self,
        stamp: RevisionStamp,
        source: SetSource,
        actions: &mut Vec<RevisionAction>,
    ) {
        if self.last_ignored.replace(stamp) != Some(stamp) {
            actions.push(RevisionAction::Ignored { stamp, source });
        }
    }
}
