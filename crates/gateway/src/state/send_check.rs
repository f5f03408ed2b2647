use std::fmt;

use base::{ClockTime, ErrorKind, ServiceName, TargetName, TimeSpan};
use entry::{CallFeatures, CallVerdict, ConfigVersion, SendPermit, TargetPhase, WorkspaceIdentity};
use smol_str::SmolStr;

use super::{CallTimes, GatewayState};

/// `Retry-After` for calls that this node can't serve but other nodes may.
pub const OTHER_NODE_RETRY: TimeSpan = TimeSpan::new(100);

/// How a call was admitted that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck<'a> {
    /// Host and path from which its route was chosen.
    pub route: (&'a str, &'a str),
    /// Key of its caller.
    pub key: Option<&'a SmolStr>,
    /// Version of the configuration under which it was admitted.
    pub version: ConfigVersion,
    /// Service for which it was admitted.
    pub service: &'a ServiceName,
    /// Workspace as of which it is sent.
    pub workspace: Option<&'a WorkspaceIdentity>,
}

/// What is checked of a call before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck<'a> {
    /// Features of the call that can be blamed for crashes.
    pub features: &'a CallFeatures,
    /// Whether the call may run as the trial of a suspected feature.
    pub is_trial: bool,
    /// Target that it is sent to.
    pub target: &'a TargetName,
    /// How it was admitted; `None` if that is not checked, as for a generation that resumes.
    pub admission: Option<AdmissionCheck<'a>>,
    /// How long the call may take.
    pub times: CallTimes,
    /// Whether the send resumes a generation, which was admitted before.
    pub is_resume: bool,
    /// Whether the generation ran on this target until now, which keeps its KV cache.
    pub is_source: bool,
    /// Permit of the send, which a target that names a rate requires; `None` if it is requested
    /// only after this check.
    pub permit: Option<SendPermit>,
}

/// Why a call must not be sent although a target was chosen for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// Earlier sends of the same call, or of calls with a part of its prompt, crashed their targets.
    CrashSuspect {
        /// Time until it may be sent again.
        retry_after: TimeSpan,
    },
    /// A feature of it is suspected, and it may only run as a trial, which it has not requested.
    TrialRequired,
    /// A newer configuration does not admit it: its route is gone or its key is not valid.
    AdmissionRevoked(ErrorKind),
    /// A newer configuration admits it for another service or as of another workspace.
    AdmissionChanged,
    /// It may take longer than the time left before this node stops.
    Stopping,
    /// The chosen target must not get it, for this reason; another one may.
    TargetUnavailable(&'static str),
    /// The rate of calls that the chosen target names is used up; another target may get it.
    RateUsed {
        /// Time until this node may send to the target again.
        retry_after: TimeSpan,
    },
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CrashSuspect { .. } => {
                f.write_str("the same call, or a part of its prompt, crashed targets")
            }
            Self::TrialRequired => f.write_str("a part of its prompt may have crashed targets"),
            Self::AdmissionRevoked(kind) => write!(f, "{kind} by a newer configuration"),
            Self::AdmissionChanged => f.write_str("a newer configuration admits it in another way"),
            Self::Stopping => f.write_str("it may take longer than this node still runs"),
            Self::TargetUnavailable(reason) => f.write_str(reason),
            Self::RateUsed { retry_after } => {
                write!(f, "the rate that it names is used up for {retry_after}")
            }
        }
    }
}

impl SendRefusal {
    /// Error for the caller and the time after which it may retry; `None` if another target may get
    /// the call.
    pub fn caller_error(&self) -> Option<(ErrorKind, Option<TimeSpan>)> {
        match self {
            Self::CrashSuspect { retry_after } => {
                Some((ErrorKind::CrashSuspect, Some(*retry_after)))
            }
            Self::AdmissionRevoked(kind) => Some((*kind, None)),
            Self::Stopping => Some((ErrorKind::Stopping, Some(OTHER_NODE_RETRY))),
            Self::TrialRequired
            | Self::AdmissionChanged
            | Self::TargetUnavailable(_)
            | Self::RateUsed { .. } => None,
        }
    }

    /// Whether the same target may get the call once it is placed anew.
    pub fn allows_same_target(&self) -> bool {
        matches!(self, Self::TrialRequired | Self::AdmissionChanged)
    }
}

impl GatewayState {
    /// Checks whether a call may be sent now. Every send is checked, since what was known when the
    /// call was admitted and placed may have changed.
    ///
    /// # Errors
    /// If the call must not be sent; it was not.
    pub fn check_send(&self, now: ClockTime, check: &SendCheck<'_>) -> Result<(), SendRefusal> {
        if let Some(admission) = &check.admission {
            self.check_admission(admission)?;
        }
        if !check.is_resume && !self.can_finish(now, check.times) {
            return Err(SendRefusal::Stopping);
        }
        let verdict = self.facts.verdict(now, check.features);
        match verdict {
            CallVerdict::Refused { retry_after, .. } if !check.is_resume => {
                return Err(SendRefusal::CrashSuspect { retry_after });
            }
            // The answer of a generation that resumes has begun, which clears the parts.
            CallVerdict::Trial { .. } if !check.is_trial && !check.is_resume => {
                return Err(SendRefusal::TrialRequired);
            }
            CallVerdict::Unrestricted
            | CallVerdict::Isolated
            | CallVerdict::Trial { .. }
            | CallVerdict::Refused { .. } => {}
        }
        if verdict.is_suspect(check.features) {
            let request = check.features.request();
            let occupied = self.suspects.occupied_targets(now, request);
            if occupied.contains(check.target) {
                return Err(SendRefusal::TargetUnavailable(
                    "another suspect call runs there",
                ));
            }
        }
        let Some(target) = self.balancer.target(check.target) else {
            return Err(SendRefusal::TargetUnavailable("the target is gone"));
        };
        // A generation that found no other engine is resumed on the engine that it ran on.
        if target.phase == TargetPhase::Leaving && !check.is_source {
            return Err(SendRefusal::TargetUnavailable("the target leaves"));
        }
        if target.is_evacuated && !(check.is_resume && self.may_send_for_move(now, check.target)) {
            return Err(SendRefusal::TargetUnavailable(
                "the failure domain of the target is evacuated",
            ));
        }
        if target.backoff.left(now).is_some() {
            return Err(SendRefusal::TargetUnavailable(
                "the target wants nothing now",
            ));
        }
        let is_limited = target.rate.limit_at(now).is_some();
        if is_limited && check.permit.is_some_and(|permit| !permit.is_valid(now)) {
            return Err(SendRefusal::TargetUnavailable(
                "no permit for the rate that the target names",
            ));
        }
        Ok(())
    }

    /// Checks whether the configuration in force still admits a call.
    fn check_admission(&self, check: &AdmissionCheck<'_>) -> Result<(), SendRefusal> {
        let config = self.view.config.as_ref();
        let Some(config) = config.filter(|config| config.version != check.version) else {
            return Ok(());
        };
        let (host, path) = check.route;
        let Some(route) = config.route(host, path) else {
            return Err(SendRefusal::AdmissionRevoked(ErrorKind::NotFound));
        };
        let Ok(workspace) = config.authorize(route, check.key.map(SmolStr::as_str)) else {
            return Err(SendRefusal::AdmissionRevoked(ErrorKind::UnknownKey));
        };
        let identity = workspace.map(|rule| &rule.identity);
        match identity == check.workspace && route.has_service(check.service) {
            true => Ok(()),
            false => Err(SendRefusal::AdmissionChanged),
        }
    }
}
