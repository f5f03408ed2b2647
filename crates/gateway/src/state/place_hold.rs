use std::net::SocketAddr;
use std::sync::Arc;

use base::{DomainName, ErrorKind, IncarnationNumber, TargetName, TimeSpan};
use calls::{CrashPrint, CrashVerdict};
use entry::{CrashSign, GrantId, SuspectPlace, TargetLoad, TargetOutcome, TargetPhase};

use super::GatewayCore;

/// Advice to callers of a service that has no target: new ones register within seconds.
const ABSENT_RETRY: TimeSpan = TimeSpan::from_secs(1);
/// Advice to callers that found every target full.
const FULL_RETRY: TimeSpan = TimeSpan::new(600);
/// Time over which the return of callers is spread after targets wanted quiet.
const QUIET_SPREAD: TimeSpan = TimeSpan::from_secs(1);

/// Why a call gets no target; it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceRefusal {
    /// The service has none.
    Absent,
    /// None had room in time.
    Full,
    /// All want quiet from this node, the first one for this time.
    Quiet(TimeSpan),
}

impl PlaceRefusal {
    /// Kind of error.
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::Absent => ErrorKind::NoTarget,
            Self::Full | Self::Quiet(_) => ErrorKind::Overloaded,
        }
    }

    /// When the caller may come back; callers that targets kept away do not come back together.
    pub fn retry_after(self) -> TimeSpan {
        match self {
            Self::Absent => ABSENT_RETRY,
            Self::Full => FULL_RETRY,
            Self::Quiet(left) => {
                left + TimeSpan::new(rand::random_range(0..=QUIET_SPREAD.as_millis()))
            }
        }
    }
}

/// Room of one call on a target; given back when dropped.
pub struct PlaceHold {
    core: Arc<GatewayCore>,
    load: TargetLoad,
    sign: Option<Box<CrashSign>>,
    suspect: Option<CrashPrint>,
    /// The target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Load of others on the target when it was chosen, as known here.
    pub load_seen: TargetLoad,
    /// Desk that chose the target; `None` if this node did.
    pub desk: Option<SocketAddr>,
}

impl PlaceHold {
    /// Takes over load that was already added to the board.
    pub(super) fn new(
        core: Arc<GatewayCore>,
        target: TargetName,
        load: TargetLoad,
    ) -> Option<Self> {
        let found = core.with_state(|state, _| {
            let state = state.board.target(&target)?;
            let record = &state.record;
            let mut seen = state.total();
            seen -= load;
            let place = (record.address, record.domain.clone(), record.incarnation);
            Some((place, seen))
        });
        let Some(((address, domain, incarnation), load_seen)) = found else {
            core.with_state(|state, _| state.board.remove_load(&target, load));
            return None;
        };
        Some(Self {
            core,
            load,
            sign: None,
            suspect: None,
            target,
            address,
            domain,
            incarnation,
            load_seen,
            desk: None,
        })
    }

    /// Takes over room that a desk granted; `None` if this node knows that the target is not there.
    pub(crate) fn accept(
        core: Arc<GatewayCore>,
        desk: SocketAddr,
        target: TargetName,
        id: GrantId,
        load: TargetLoad,
    ) -> Option<Self> {
        let is_usable = core.with_state(|state, now| {
            let found = state.board.target(&target);
            let is_usable = found.is_some_and(|one| one.phase != TargetPhase::Leaving);
            if is_usable {
                state.board.add_load(&target, load);
                state.desk.accept(now, id);
            }
            is_usable
        });
        if !is_usable {
            return None;
        }
        let mut hold = Self::new(core, target, load)?;
        hold.desk = Some(desk);
        Some(hold)
    }

    /// Load that the call puts on the target.
    pub fn load(&self) -> TargetLoad {
        self.load
    }

    /// Notes that a call is about to be sent, should it crash the target.
    pub fn begin_send(&mut self, print: CrashPrint) {
        let target = self.target.clone();
        let (sign, suspect) = self.core.with_state(|state, now| {
            let sign = state.facts.sign(print, &target, self.incarnation);
            state.attempts.begin(sign.clone(), self.address);
            if state.facts.judge(now, print) == CrashVerdict::Free {
                return (sign, None);
            }
            state.suspects.enter(SuspectPlace { print, target });
            (sign, Some(print))
        });
        self.sign = Some(Box::new(sign));
        self.suspect = suspect;
    }

    /// Notes that the target answers, or that it is known why not; returns the sign that the call
    /// leaves if the target died.
    pub fn settle(&mut self) -> Option<CrashSign> {
        let sign = self.sign.take()?;
        self.core
            .with_state(|state, _| state.attempts.settle(&sign));
        Some(*sign)
    }

    /// Notes that the prompt was read.
    pub fn end_prefill(&mut self) {
        let prefill = TargetLoad {
            prefill: std::mem::take(&mut self.load.prefill),
            ..TargetLoad::default()
        };
        self.core.with_state(|state, now| {
            state.board.remove_load(&self.target, prefill);
            state.serve_line(now);
        });
    }

    /// Notes that the call holds more memory than was expected.
    pub fn add_tokens(&mut self, tokens: u64) {
        self.load.tokens += tokens;
        let more = TargetLoad {
            tokens,
            ..TargetLoad::default()
        };
        self.core
            .with_state(|state, _| state.board.add_load(&self.target, more));
    }

    /// Notes that nothing more is copied to the target for this call.
    pub fn end_copy(&mut self) {
        let incoming = TargetLoad {
            incoming: std::mem::take(&mut self.load.incoming),
            ..TargetLoad::default()
        };
        self.core
            .with_state(|state, _| state.board.remove_load(&self.target, incoming));
    }

    /// Notes how the call ended, for the health of the target.
    pub fn note(&self, outcome: TargetOutcome) {
        self.core
            .with_state(|state, now| state.board.record_outcome(now, &self.target, outcome));
    }
}

impl Drop for PlaceHold {
    fn drop(&mut self) {
        self.core.with_state(|state, now| {
            state.board.remove_load(&self.target, self.load);
            if let Some(print) = self.suspect {
                let target = self.target.clone();
                state.suspects.leave(&SuspectPlace { print, target });
            }
            if let Some(sign) = &self.sign {
                state.attempts.abandon(now, sign);
            }
            state.serve_line(now);
        });
    }
}
