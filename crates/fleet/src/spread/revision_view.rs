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
    FleetPeer, IncompleteRevision, PureAcceptance, RejectedRevision, RevisionAction,
    RevisionSettings, RevisionStamp, RevisionStatus, SetAcceptance, SetSource,
};
use crate::{DeclarationMistake, FleetDeclaration, KeySet};

/// Rejected revisions that are remembered so that they are not fetched again.
const REFUSED_KEPT: usize = 32;

/// A revision in effect with its keys.
#[derive(Clone, Debug)]
pub struct AcceptedRevision {
    /// The revision.
    pub stamp: RevisionStamp,
    /// The declaration.
    pub declaration: Arc<FleetDeclaration>,
    /// The keys that it was built from.
    pub set: Arc<KeySet>,
}

/// Decides which revision is in effect at this node and how it learns of newer ones.
///
/// It does no I/O: events and the time go in, actions come out. The caller invokes `on_tick`
/// every 100 ms or so and carries out the actions.
///
/// ```
/// use base::ClockTime;
/// use fleet::{RevisionAction, RevisionSettings, RevisionView};
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let mut view = RevisionView::new(node, domain, RevisionSettings::default(), 7);
/// let actions = view.on_reader(ClockTime::ZERO, true);
/// assert_eq!(actions, [RevisionAction::ReadHead { call: 1, index: 0 }]);
/// assert!(!view.is_ready());
/// ```
pub struct RevisionView {
    pub(super) node: NodeName,
    pub(super) domain: DomainName,
    pub(super) settings: RevisionSettings,
    pub(super) rng: Pcg64Mcg,
    pub(super) acceptance: Box<dyn SetAcceptance>,
    pub(super) accepted: Option<AcceptedRevision>,
    pub(super) history: SetHistory,
    pub(super) rejected: Option<RejectedRevision>,
    pub(super) refused: Vec<RevisionStamp>,
    pub(super) ignored: Option<RevisionStamp>,
    pub(super) peers: PeerTable,
    pub(super) pulls: PullTable,
    pub(super) from_peer: Option<PendingSet>,
    pub(super) watch: PlatformWatch,
    pub(super) from_platform: Option<PendingSet>,
    pub(super) platform_stale: Option<RevisionStamp>,
    pub(super) platform_seen_at: Option<ClockTime>,
    pub(super) confirmed_at: Option<ClockTime>,
    pub(super) start: StartCheck,
    pub(super) check_at: ClockTime,
    pub(super) check_backoff: RetryBackoff,
    pub(super) greet_at: ClockTime,
    pub(super) pushes_left: u32,
    pub(super) push_at: ClockTime,
    pub(super) ticked_at: Option<ClockTime>,
}

impl RevisionView {
    /// Creates the view of a node that has no declaration yet.
    pub fn new(node: NodeName, domain: DomainName, settings: RevisionSettings, seed: u64) -> Self {
        Self {
            node,
            domain,
            rng: Pcg64Mcg::seed_from_u64(seed),
            acceptance: Box::new(PureAcceptance),
            accepted: None,
            history: SetHistory::default(),
            rejected: None,
            refused: Vec::new(),
            ignored: None,
            peers: PeerTable::default(),
            pulls: PullTable::default(),
            from_peer: None,
            watch: PlatformWatch::new(&settings),
            from_platform: None,
            platform_stale: None,
            platform_seen_at: None,
            confirmed_at: None,
            start: StartCheck::Idle,
            check_at: ClockTime::ZERO,
            check_backoff: RetryBackoff::new(settings.start_wait, settings.check_backoff_most),
            greet_at: ClockTime::ZERO,
            pushes_left: 0,
            push_at: ClockTime::ZERO,
            ticked_at: None,
            settings,
        }
    }

    /// Returns this view with another verdict on key sets, such as one that caches.
    #[must_use]
    pub fn with_acceptance(mut self, acceptance: Box<dyn SetAcceptance>) -> Self {
        self.acceptance = acceptance;
        self
    }

    /// Takes the live nodes that membership lists: the own domain and links to others.
    pub fn on_peers(&mut self, now: ClockTime, peers: &[FleetPeer]) -> Vec<RevisionAction> {
        self.peers.set_peers(&self.node, &self.domain, peers);
        self.proceed(now, Vec::new())
    }

    /// Takes whether membership elected this node as a reader of the platform.
    pub fn on_reader(&mut self, now: ClockTime, is_reader: bool) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.watch.set_reader(is_reader, &mut actions);
        self.proceed(now, actions)
    }

    /// Acts on the time that has passed; a long gap since the last call counts as a pause.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<RevisionAction> {
        let gap = self.ticked_at.map(|last| now - last);
        if gap.is_some_and(|gap| gap >= self.settings.pause_limit) {
            return self.on_resume(now);
        }
        self.ticked_at = Some(now);
        let mut actions = Vec::new();
        self.watch.expire(now, &mut self.rng, &mut actions);
        for late in self.pulls.expire(now, self.settings.pull_timeout) {
            self.pull_failed(now, &late.to, late.for_set);
        }
        self.proceed(now, actions)
    }

    /// Compares the revision afresh after a pause; answers to earlier calls are ignored.
    pub fn on_resume(&mut self, now: ClockTime) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.ticked_at = Some(now);
        self.watch.restart(&mut actions);
        self.pulls.clear();
        self.from_peer = None;
        self.peers.forget_digests();
        self.confirmed_at = None;
        self.platform_seen_at = None;
        self.start = StartCheck::Idle;
        self.proceed(now, actions)
    }

    /// What this node tells others; to be carried by membership messages.
    pub fn digest(&self, now: ClockTime) -> RevisionDigest {
        let age = self.confirmed_at.map(|at| (now - at).as_millis());
        RevisionDigest {
            accepted: self.stamp().map(Into::into),
            rejected: self.newer_rejected().map(|rejected| rejected.stamp.into()),
            confirmed_age_ms: age,
        }
    }

    /// Answers a pull from the accepted sets that are still kept.
    pub fn answer_pull(&self, now: ClockTime, request: &PullRequest) -> PullAnswer {
        let wanted = request.stamp.as_ref().map(RevisionStamp::from);
        let set = wanted.and_then(|stamp| self.history.get(stamp));
        let limit = self.settings.answer_bytes;
        let parts = set.map(|set| cut_parts(set, &request.parts, limit));
        PullAnswer {
            digest: self.digest(now),
            parts: parts.unwrap_or_default(),
        }
    }

    /// The revision in effect.
    pub fn accepted(&self) -> Option<&AcceptedRevision> {
        self.accepted.as_ref()
    }

    /// Whether the node may serve: it has a revision and has compared it.
    pub fn is_ready(&self) -> bool {
        self.accepted.is_some() && self.start == StartCheck::Done
    }

    /// What status pages show.
    pub fn status(&self, now: ClockTime) -> RevisionStatus {
        let pending = [&self.from_platform, &self.from_peer];
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
            platform_lost: self.watch.is_lost(),
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
        let rejected = self.rejected.as_ref()?;
        (Some(rejected.stamp) > self.stamp()).then_some(rejected)
    }

    /// Starts whatever is due after an event.
    pub(super) fn proceed(
        &mut self,
        now: ClockTime,
        mut actions: Vec<RevisionAction>,
    ) -> Vec<RevisionAction> {
        self.proceed_start(now, &mut actions);
        self.proceed_platform(now, &mut actions);
        self.proceed_pull(now, &mut actions);
        self.proceed_push(now, &mut actions);
        actions
    }

    /// Whether a set of `stamp` may still replace the accepted one.
    pub(super) fn is_wanted(&self, stamp: RevisionStamp) -> bool {
        if !self.settings.switches.monotonic {
            return Some(stamp) != self.stamp();
        }
        Some(stamp) > self.stamp() && !self.refused.contains(&stamp)
    }

    /// Judges a set and puts it in effect if it is valid.
    pub(super) fn conclude(
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
        match self.acceptance.judge(&set) {
            Ok(declaration) => self.put_in_effect(now, stamp, source, set, declaration, actions),
            Err(mistakes) => self.refuse(stamp, source, mistakes, actions),
        }
    }

    fn put_in_effect(
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
        self.refused.retain(|refused| *refused > stamp);
        // What vouched for the old revision does not vouch for this one.
        self.confirmed_at = match source {
            SetSource::Platform => Some(now),
            SetSource::Peer(_) => None,
        };
        self.pushes_left = self.settings.push_rounds;
        self.push_at = now;
        actions.push(RevisionAction::Accepted {
            stamp,
            declaration,
            source,
        });
    }

    pub(super) fn refuse(
        &mut self,
        stamp: RevisionStamp,
        source: SetSource,
        mistakes: Vec<DeclarationMistake>,
        actions: &mut Vec<RevisionAction>,
    ) {
        if self.refused.len() == REFUSED_KEPT {
            self.refused.remove(0);
        }
        self.refused.push(stamp);
        let mistakes: Arc<[DeclarationMistake]> = mistakes.into();
        if self.rejected.as_ref().is_none_or(|old| old.stamp < stamp) {
            let mistakes = Arc::clone(&mistakes);
            self.rejected = Some(RejectedRevision { stamp, mistakes });
        }
        actions.push(RevisionAction::Rejected {
            stamp,
            mistakes,
            source,
        });
    }

    pub(super) fn ignore(
        &mut self,
        stamp: RevisionStamp,
        source: SetSource,
        actions: &mut Vec<RevisionAction>,
    ) {
        if self.ignored.replace(stamp) != Some(stamp) {
            actions.push(RevisionAction::Ignored { stamp, source });
        }
    }
}
