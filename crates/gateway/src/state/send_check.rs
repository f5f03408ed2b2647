use std::fmt;

use base::{ClockTime, ErrorKind, TargetName, TimeSpan};
use calls::{CrashPrint, CrashVerdict};
use entry::{ConfigVersion, TargetPhase};
use smol_str::SmolStr;

use super::GatewayState;

/// A call that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck<'a> {
    /// What it makes a target do.
    pub print: CrashPrint,
    /// Where it is sent.
    pub target: &'a TargetName,
    /// Host and path by which its route was chosen.
    pub route: (&'a str, &'a str),
    /// Key of its caller.
    pub key: Option<&'a SmolStr>,
    /// Configuration by which it was admitted.
    pub version: ConfigVersion,
    /// Whether a generation goes on, which was admitted before.
    pub is_resume: bool,
}

/// Why a call is not sent although it was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendBar {
    /// It crashed its targets.
    Condemned {
        /// Time until it may be sent again.
        retry_after: TimeSpan,
    },
    /// Its route or key was withdrawn.
    Withdrawn(ErrorKind),
    /// Its target must not get it; another one may.
    Target(&'static str),
}

impl fmt::Display for SendBar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Condemned { .. } => f.write_str("the same call crashed its targets"),
            Self::Withdrawn(kind) => write!(f, "{kind} by a newer configuration"),
            Self::Target(reason) => f.write_str(reason),
        }
    }
}

impl SendBar {
    /// Error and advice for the caller, if no target may get the call.
    pub fn refusal(&self) -> Option<(ErrorKind, Option<TimeSpan>)> {
        match self {
            Self::Condemned { retry_after } => Some((ErrorKind::CrashSuspect, Some(*retry_after))),
            Self::Withdrawn(kind) => Some((*kind, None)),
            Self::Target(_) => None,
        }
    }
}

impl GatewayState {
    /// Whether a call may be sent now. Every send passes here, as what was known when the call was
    /// admitted and placed may have changed.
    ///
    /// # Errors
    /// What forbids it; the call was not sent.
    pub fn check_send(&self, now: ClockTime, check: &SendCheck<'_>) -> Result<(), SendBar> {
        if !check.is_resume {
            self.check_admission(check)?;
        }
        match self.facts.judge(now, check.print) {
            CrashVerdict::Free => {}
            CrashVerdict::Condemned { retry_after } if !check.is_resume => {
                return Err(SendBar::Condemned { retry_after });
            }
            CrashVerdict::Isolated | CrashVerdict::Condemned { .. } => {
                let occupied = self.suspects.occupied(now, check.print);
                if occupied.contains(check.target) {
                    return Err(SendBar::Target("another suspect call runs there"));
                }
            }
        }
        let Some(target) = self.board.target(check.target) else {
            return Err(SendBar::Target("the target is gone"));
        };
        // A generation that found no other engine goes on where its memory is.
        if target.phase == TargetPhase::Leaving && !check.is_resume {
            return Err(SendBar::Target("the target leaves"));
        }
        if target.backoff.left(now).is_some() {
            return Err(SendBar::Target("the target wants nothing now"));
        }
        Ok(())
    }

    /// Whether the configuration in force still admits a call.
    fn check_admission(&self, check: &SendCheck<'_>) -> Result<(), SendBar> {
        let config = self.view.config.as_ref();
        let Some(config) = config.filter(|config| config.version != check.version) else {
            return Ok(());
        };
        let (host, path) = check.route;
        let Some(route) = config.route(host, path) else {
            return Err(SendBar::Withdrawn(ErrorKind::NotFound));
        };
        match config.authorize(route, check.key.map(SmolStr::as_str)) {
            Ok(_) => Ok(()),
            Err(_) => Err(SendBar::Withdrawn(ErrorKind::UnknownKey)),
        }
    }
}
