use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, DomainName, ErrorKind, IncarnationNumber, TargetName, TimeSpan};
use calls::RequestFingerprint;
use entry::{
    AttemptId, CallFeatures, FeatureId, GrantId, OpenAttempt, SuspectCall, TargetLoad,
    TargetOutcome, TargetPace, WaitEstimate,
};

use super::GatewayCore;

/// Retry advice to callers of a service that has no target: new ones register within seconds.
const NO_TARGET_RETRY: TimeSpan = TimeSpan::from_secs(1);
/// Retry advice to callers when every target was full.
const FULL_RETRY: TimeSpan = TimeSpan::new(600);
/// Time over which the return of callers is spread after targets asked to back off.
const BACKOFF_RETRY_SPREAD: TimeSpan = TimeSpan::from_secs(1);

/// Part of the time left until its deadline after which a caller still honours `Retry-After`.
const RETURN_PART: u64 = 3;
/// Shortest `Retry-After` of a call that was expected to wait for too long.
const MIN_RETURN: TimeSpan = TimeSpan::new(500);

/// Why no target was chosen for a call; the call was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// The service has no target.
    NoTarget,
    /// No target had capacity in time.
    Full,
    /// All targets asked this node to back off; the first one accepts calls after this time.
    Backoff(TimeSpan),
    /// The rates of calls that all targets name are used up; this caller may return after the time.
    RateUsed(TimeSpan),
    /// The call was expected to wait for longer than it can.
    TooLongWait {
        /// Time until the calls that waited are placed and it is the turn of this caller.
        retry_after: TimeSpan,
        /// Estimate that caused the refusal.
        estimate: WaitEstimate,
    },
}

impl PlacementRefusal {
    /// Kind of the error that the caller gets.
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::NoTarget => ErrorKind::NoTarget,
            Self::Full | Self::Backoff(_) | Self::RateUsed(_) | Self::TooLongWait { .. } => {
                ErrorKind::Overloaded
            }
        }
    }

    /// Time after which a caller with `left` until its deadline may retry. Callers ignore more than a
    /// third of the time that they have.
    pub fn retry_within(self, left: TimeSpan) -> TimeSpan {
        match self {
            Self::TooLongWait { retry_after, .. } => limit_return(retry_after, left),
            Self::NoTarget | Self::Full | Self::Backoff(_) | Self::RateUsed(_) => {
                self.retry_after()
            }
        }
    }

    /// Estimate that caused the refusal, if one did.
    pub fn estimate(self) -> Option<WaitEstimate> {
        match self {
            Self::TooLongWait { estimate, .. } => Some(estimate),
            Self::NoTarget | Self::Full | Self::Backoff(_) | Self::RateUsed(_) => None,
        }
    }

    /// Time after which the caller may retry. After a backoff it is spread at random, so that the
    /// callers do not all return at once.
    pub fn retry_after(self) -> TimeSpan {
        match self {
            Self::NoTarget => NO_TARGET_RETRY,
            Self::Full => FULL_RETRY,
            Self::RateUsed(wait) => wait,
            Self::TooLongWait { retry_after, .. } => retry_after,
            Self::Backoff(left) => {
                left + TimeSpan::new(rand::random_range(0..=BACKOFF_RETRY_SPREAD.as_millis()))
            }
        }
    }
}

/// Time after which a caller with `left` until its deadline is told to return, if it may do so after
/// `wait`: callers ignore more than a third of the time that they have.
fn limit_return(wait: TimeSpan, left: TimeSpan) -> TimeSpan {
    wait.min(left / RETURN_PART).max(MIN_RETURN)
}

/// Capacity of a target that is reserved for one call; released when dropped.
pub struct CapacityReservation {
    core: Arc<GatewayCore>,
    load: TargetLoad,
    attempt: Option<(AttemptId, Box<OpenAttempt>)>,
    suspect: Option<RequestFingerprint>,
    /// The target.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Incarnation number of the target's run.
    pub incarnation: IncarnationNumber,
    /// Load of other calls on the target when it was chosen, as known to this node.
    pub other_load: TargetLoad,
    /// Pace of the target when it was chosen, as known to this node.
    pub pace: TargetPace,
    /// Coordinator that chose the target; `None` if this node did.
    pub coordinator: Option<SocketAddr>,
}

impl CapacityReservation {
    /// Takes over load that was already added to the target; `None`, with the load removed again,
    /// if the target is gone.
    pub(super) fn new(
        core: Arc<GatewayCore>,
        target: TargetName,
        load: TargetLoad,
    ) -> Option<Self> {
        let found = core.with_state(|state, _| {
            let state = state.balancer.target(&target)?;
            let record = &state.record;
            let mut others = state.total();
            others -= load;
            let place = (record.address, record.domain.clone(), record.incarnation);
            Some((place, others, state.pace))
        });
        let Some(((address, domain, incarnation), other_load, pace)) = found else {
            core.with_state(|state, _| state.balancer.remove_load(&target, load));
            return None;
        };
        Some(Self {
            core,
            load,
            attempt: None,
            suspect: None,
            target,
            address,
            domain,
            incarnation,
            other_load,
            pace,
            coordinator: None,
        })
    }

    /// Accepts a grant of a coordinator and counts its load as own; `None` if this node knows that
    /// the target is gone, leaving or evacuated.
    pub(crate) fn from_grant(
        core: Arc<GatewayCore>,
        coordinator: SocketAddr,
        target: TargetName,
        id: GrantId,
        load: TargetLoad,
    ) -> Option<Self> {
        let is_usable = core.with_state(|state, now| {
            let found = state.balancer.target(&target);
            let is_usable = found.is_some_and(|one| one.is_open());
            if is_usable {
                state.balancer.add_load(&target, load);
                state.coordinator.accept_grant(now, id);
            }
            is_usable
        });
        if !is_usable {
            return None;
        }
        let mut reservation = Self::new(core, target, load)?;
        reservation.coordinator = Some(coordinator);
        Some(reservation)
    }

    /// Load that the call puts on the target.
    pub fn load(&self) -> TargetLoad {
        self.load
    }

    /// Records that the call is about to be sent, so that it counts as a possible cause if the
    /// target dies; `trial_features` are the suspected features of which it is a trial.
    pub fn begin_send(&mut self, features: &CallFeatures, trial_features: Vec<FeatureId>) {
        let fingerprint = features.request();
        let mut attempt = OpenAttempt {
            features: features.clone(),
            trial_features,
            earlier_deaths: Vec::new(),
            target: self.target.clone(),
            incarnation: self.incarnation,
            earlier: 0,
            address: self.address,
            began_at: None,
            has_broken_off: false,
        };
        let target = self.target.clone();
        let (id, suspect) = self.core.with_state(|state, now| {
            attempt.earlier = state.facts.death_count(&target, self.incarnation);
            attempt.earlier_deaths = state.facts.earlier_deaths(now, features);
            let id = state.attempts.begin(attempt.clone());
            let verdict = state.facts.verdict(now, features);
            if !verdict.is_suspect(features) {
                return (id, None);
            }
            state.suspects.add_local(SuspectCall {
                fingerprint,
                target,
            });
            (id, Some(fingerprint))
        });
        self.attempt = Some((id, Box::new(attempt)));
        self.suspect = suspect;
    }

    /// Records when the first event of the answer arrived, from this target or from the one that the
    /// generation moved off.
    pub fn record_begin(&mut self, began_at: ClockTime) {
        let Some((id, attempt)) = &mut self.attempt else {
            return;
        };
        attempt.began_at = Some(began_at);
        self.core
            .with_state(|state, _| state.attempts.record_begin(*id, began_at));
    }

    /// Whether the call was sent and its outcome is unknown.
    pub fn is_in_flight(&self) -> bool {
        self.attempt.is_some()
    }

    /// Whether the call was sent as a trial of suspected features.
    pub fn is_trial(&self) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|(_, attempt)| !attempt.trial_features.is_empty())
    }

    /// Records that the target answers, or that the reason why it does not is known. Returns the
    /// call, which may be the cause if the target died.
    pub fn finish_send(&mut self) -> Option<OpenAttempt> {
        let (id, attempt) = self.attempt.take()?;
        self.core.with_state(|state, _| state.attempts.finish(id));
        Some(*attempt)
    }

    /// Removes the prefill load, since the target has read the prompt.
    pub fn end_prefill(&mut self) {
        let prefill = TargetLoad {
            prefill: std::mem::take(&mut self.load.prefill),
            ..TargetLoad::default()
        };
        self.core.with_state(|state, now| {
            state.balancer.remove_load(&self.target, prefill);
            state.serve_queue(now);
        });
    }

    /// Adds tokens that the call holds in the engine's memory beyond the estimate.
    pub fn add_tokens(&mut self, tokens: u64) {
        self.load.tokens += tokens;
        let more = TargetLoad {
            tokens,
            ..TargetLoad::default()
        };
        self.core
            .with_state(|state, _| state.balancer.add_load(&self.target, more));
    }

    /// Removes the load of the copy to the target, since nothing more is copied for this call.
    pub fn end_copy(&mut self) {
        let incoming = TargetLoad {
            incoming: std::mem::take(&mut self.load.incoming),
            ..TargetLoad::default()
        };
        self.core
            .with_state(|state, _| state.balancer.remove_load(&self.target, incoming));
    }

    /// Records how the call ended for the health of the target.
    pub fn record_outcome(&self, outcome: TargetOutcome) {
        self.core.with_state(|state, now| {
            state.balancer.record_outcome(now, &self.target, outcome);
        });
    }
}

impl Drop for CapacityReservation {
    fn drop(&mut self) {
        self.core.with_state(|state, now| {
            state.balancer.remove_load(&self.target, self.load);
            if let Some(fingerprint) = self.suspect {
                let target = self.target.clone();
                state.suspects.remove_local(&SuspectCall {
                    fingerprint,
                    target,
                });
            }
            if let Some((id, _)) = self.attempt {
                state.attempts.abandon(now, id);
            }
            state.serve_queue(now);
        });
    }
}
