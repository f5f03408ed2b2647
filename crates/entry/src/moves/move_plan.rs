use base::TargetName;
use smol_str::SmolStr;

/// Copies of one generation that may be started before it is left to end where it runs.
const COPY_TRIES: u32 = 3;

/// What the relay of a generation does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Copy the memory to another engine while the generation goes on.
    Copy {
        /// Where to.
        to: TargetName,
    },
    /// Stop the generation and copy what is new since the last copy.
    Stop {
        /// Where to.
        to: TargetName,
    },
    /// Send the call again, so that it continues from a copy.
    Resume {
        /// Engine that goes on.
        at: TargetName,
        /// Copy to go on from; it belongs to the engine that stopped.
        handle: SmolStr,
    },
    /// Ask for another destination, since the copy failed and the generation goes on.
    Replace,
    /// Leave the generation where it is.
    Stay,
}

/// Progress of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// No move.
    Settled,
    /// The memory is being copied; the generation goes on.
    Copying {
        /// Destination.
        to: TargetName,
    },
    /// The generation was told to stop; only what is new is copied.
    Stopping {
        /// Destination.
        to: TargetName,
    },
    /// The generation stopped; it goes on once the last events of the source have arrived.
    Stopped {
        /// Engine that goes on.
        at: TargetName,
        /// Copy to go on from.
        handle: SmolStr,
    },
}

/// The move of one generation: copy, stop, resume.
///
/// The generation is resumed only after its source confirmed that it stopped and closed its
/// stream, so that two engines never work on it.
///
/// ```
/// use entry::{MovePlan, MoveStep};
/// let (from, to): (base::TargetName, base::TargetName) =
///     ("e1".parse().unwrap(), "e2".parse().unwrap());
/// let mut plan = MovePlan::new(from);
/// assert_eq!(plan.start(to.clone()), MoveStep::Copy { to: to.clone() });
/// assert_eq!(plan.on_copied(true), MoveStep::Stop { to: to.clone() });
/// assert_eq!(plan.on_stopped(Some("h1".into()), true), None);
/// let resume = MoveStep::Resume { at: to, handle: "h1".into() };
/// assert_eq!(plan.on_source_closed(), Some(resume));
/// ```
#[derive(Clone, Debug)]
pub struct MovePlan {
    source: TargetName,
    phase: MovePhase,
    is_source_closed: bool,
    tries: u32,
}

impl MovePlan {
    /// Creates the plan of a generation that runs on `source`.
    pub fn new(source: TargetName) -> Self {
        Self {
            source,
            phase: MovePhase::Settled,
            is_source_closed: false,
            tries: 0,
        }
    }

    /// Engine on which the generation runs or last ran.
    pub fn source(&self) -> &TargetName {
        &self.source
    }

    /// Progress of the move.
    pub fn phase(&self) -> &MovePhase {
        &self.phase
    }

    /// Whether a move can be started.
    pub fn can_start(&self) -> bool {
        self.phase == MovePhase::Settled && !self.is_source_closed && self.tries < COPY_TRIES
    }

    /// Starts a move to another engine.
    pub fn start(&mut self, to: TargetName) -> MoveStep {
        if !self.can_start() {
            return MoveStep::Stay;
        }
        self.tries += 1;
        self.phase = MovePhase::Copying { to: to.clone() };
        MoveStep::Copy { to }
    }

    /// The copy ended; `is_whole` unless the engine refused it.
    pub fn on_copied(&mut self, is_whole: bool) -> MoveStep {
        let MovePhase::Copying { to } = &self.phase else {
            return MoveStep::Stay;
        };
        let to = to.clone();
        if self.is_source_closed {
            self.phase = MovePhase::Settled;
            return MoveStep::Stay;
        }
        if is_whole {
            self.phase = MovePhase::Stopping { to: to.clone() };
            return MoveStep::Stop { to };
        }
        self.phase = MovePhase::Settled;
        match self.tries < COPY_TRIES {
            true => MoveStep::Replace,
            false => MoveStep::Stay,
        }
    }

    /// The engine answered the order to stop: with a handle if it stopped, and whether the
    /// destination holds the whole copy. Without it, the generation goes on at its source.
    pub fn on_stopped(&mut self, handle: Option<SmolStr>, is_whole: bool) -> Option<MoveStep> {
        let MovePhase::Stopping { to } = &self.phase else {
            return None;
        };
        let to = to.clone();
        let Some(handle) = handle else {
            self.phase = MovePhase::Settled;
            return Some(MoveStep::Stay);
        };
        let at = match is_whole {
            true => to,
            false => self.source.clone(),
        };
        self.phase = MovePhase::Stopped { at, handle };
        match self.is_source_closed {
            true => self.take_resume(),
            false => None,
        }
    }

    /// The stream of the source ended without its end.
    ///
    /// Returns the resume if the generation is known to have stopped. While the answer to the
    /// order to stop is outstanding, that answer decides.
    pub fn on_source_closed(&mut self) -> Option<MoveStep> {
        self.is_source_closed = true;
        self.take_resume()
    }

    /// Whether the stream of the source ended while an answer to the order to stop is outstanding.
    pub fn awaits_stop(&self) -> bool {
        self.is_source_closed && matches!(self.phase, MovePhase::Stopping { .. })
    }

    /// The generation goes on at another engine.
    pub fn on_resumed(&mut self, at: TargetName) {
        *self = Self::new(at);
    }

    fn take_resume(&self) -> Option<MoveStep> {
        let MovePhase::Stopped { at, handle } = &self.phase else {
            return None;
        };
        let (at, handle) = (at.clone(), handle.clone());
        Some(MoveStep::Resume { at, handle })
    }
}
