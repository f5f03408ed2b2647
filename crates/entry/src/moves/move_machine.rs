use base::TargetName;
use smol_str::SmolStr;

/// Number of copies of one generation that may be started. After that, it stays on its engine.
const MAX_COPY_ATTEMPTS: u32 = 3;
/// Number of copy requests of one generation that engines may decline before anything was copied:
/// because the destination has no room, or because the source does not know the run yet. Such an
/// answer costs one round trip.
const MAX_DECLINED_COPIES: u32 = 24;

/// Next action of the gateway that relays a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Copy the KV cache of the generation to another engine while it keeps running.
    Copy {
        /// Engine that receives the copy.
        destination: TargetName,
    },
    /// Stop the generation and copy the part of its KV cache that is new since the last copy.
    Stop {
        /// Engine that receives the copy.
        destination: TargetName,
    },
    /// Send the call again, so that the generation continues from its copy.
    Resume {
        /// Engine that continues the generation.
        engine: TargetName,
        /// Handle of the copy to continue from, issued by the engine that stopped.
        handle: SmolStr,
    },
    /// Choose another destination, since the copy failed; the generation keeps running.
    ChooseAnother,
    /// Try again after a pause, since the source does not know the run yet; the generation keeps
    /// running.
    Pause,
    /// Leave the generation on its engine.
    Stay,
}

/// Phase of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MovePhase {
    /// No move is in progress.
    Idle,
    /// The KV cache is being copied while the generation keeps running.
    Copying {
        /// Engine that receives the copy.
        destination: TargetName,
    },
    /// The generation was ordered to stop; the part of its KV cache that is new since the copy is
    /// copied.
    Stopping {
        /// Engine that receives the copy.
        destination: TargetName,
    },
    /// The generation stopped. It is resumed once the stream of the source has closed.
    Stopped {
        /// Engine that continues the generation.
        engine: TargetName,
        /// Handle of the copy to continue from.
        handle: SmolStr,
    },
}

/// State machine of the move of one generation: copy, stop, resume.
///
/// The generation is resumed only after its source engine confirmed that it stopped and closed its
/// stream, so that two engines never run it at the same time.
///
/// ```
/// use entry::{MoveMachine, MoveStep};
/// let source: base::TargetName = "e1".parse().unwrap();
/// let destination: base::TargetName = "e2".parse().unwrap();
/// let mut machine = MoveMachine::new(source);
/// assert_eq!(machine.start(destination.clone()), MoveStep::Copy { destination: destination.clone() });
/// assert_eq!(machine.on_copied(true), MoveStep::Stop { destination: destination.clone() });
/// assert_eq!(machine.on_stopped(Some("h1".into()), true), None);
/// let resume = MoveStep::Resume { engine: destination, handle: "h1".into() };
/// assert_eq!(machine.on_source_closed(), Some(resume));
/// ```
#[derive(Clone, Debug)]
pub struct MoveMachine {
    source: TargetName,
    phase: MovePhase,
    is_source_closed: bool,
    /// Whether the outcome of an order to stop is unknown.
    is_stop_uncertain: bool,
    attempts: u32,
    /// Number of copy requests that were declined before anything was copied.
    declined: u32,
}

impl MoveMachine {
    /// Creates the state of a generation that runs on `source`.
    pub fn new(source: TargetName) -> Self {
        Self {
            source,
            phase: MovePhase::Idle,
            is_source_closed: false,
            is_stop_uncertain: false,
            attempts: 0,
            declined: 0,
        }
    }

    /// Engine on which the generation runs or last ran.
    pub fn source(&self) -> &TargetName {
        &self.source
    }

    /// Phase of the move.
    pub fn phase(&self) -> &MovePhase {
        &self.phase
    }

    /// Whether a move can be started.
    pub fn can_start(&self) -> bool {
        self.phase == MovePhase::Idle
            && !self.is_source_closed
            && self.attempts < MAX_COPY_ATTEMPTS
            && self.declined < MAX_DECLINED_COPIES
    }

    /// Starts a move to another engine; `Stay` if none can be started.
    pub fn start(&mut self, destination: TargetName) -> MoveStep {
        if !self.can_start() {
            return MoveStep::Stay;
        }
        self.attempts += 1;
        self.phase = MovePhase::Copying {
            destination: destination.clone(),
        };
        MoveStep::Copy { destination }
    }

    /// Starts a move in one step: the generation stops at once and is copied while it is stopped.
    /// Used when the engine ends too soon for two steps; `Stay` if no move can be started.
    ///
    /// ```
    /// use entry::{MoveMachine, MoveStep};
    /// let destination: base::TargetName = "e2".parse().unwrap();
    /// let mut machine = MoveMachine::new("e1".parse().unwrap());
    /// let stop = MoveStep::Stop { destination: destination.clone() };
    /// assert_eq!(machine.start_stopped(destination), stop);
    /// ```
    pub fn start_stopped(&mut self, destination: TargetName) -> MoveStep {
        if !self.can_start() {
            return MoveStep::Stay;
        }
        self.attempts += 1;
        self.phase = MovePhase::Stopping {
            destination: destination.clone(),
        };
        MoveStep::Stop { destination }
    }

    /// Handles the response that the destination has no room for the first copy. It does not count
    /// as an attempt, since nothing was copied.
    pub fn on_copy_refused(&mut self) -> MoveStep {
        self.decline_copy(MoveStep::ChooseAnother)
    }

    /// Handles the response that the source does not know the run, or that another copy of it is in
    /// progress. That happens right after a generation started or resumed, so it does not count as
    /// an attempt.
    pub fn on_copy_unknown(&mut self) -> MoveStep {
        self.decline_copy(MoveStep::Pause)
    }

    /// Returns to the state before a first copy that was declined; `next` is the step while the
    /// generation may still be moved.
    fn decline_copy(&mut self, next: MoveStep) -> MoveStep {
        if !matches!(self.phase, MovePhase::Copying { .. }) {
            return MoveStep::Stay;
        }
        self.phase = MovePhase::Idle;
        self.attempts = self.attempts.saturating_sub(1);
        self.declined += 1;
        match self.can_start() {
            true => next,
            false => MoveStep::Stay,
        }
    }

    /// Handles the end of the first copy; `is_complete` is false if the engine refused it.
    pub fn on_copied(&mut self, is_complete: bool) -> MoveStep {
        let MovePhase::Copying { destination } = &self.phase else {
            return MoveStep::Stay;
        };
        let destination = destination.clone();
        if self.is_source_closed {
            self.phase = MovePhase::Idle;
            return MoveStep::Stay;
        }
        if is_complete {
            self.phase = MovePhase::Stopping {
                destination: destination.clone(),
            };
            return MoveStep::Stop { destination };
        }
        self.phase = MovePhase::Idle;
        match self.attempts < MAX_COPY_ATTEMPTS {
            true => MoveStep::ChooseAnother,
            false => MoveStep::Stay,
        }
    }

    /// Handles the response of the source to the order to stop. It has a handle if the generation
    /// stopped; otherwise the generation keeps running there. If the copy at the destination is not
    /// complete, the generation is resumed on its source.
    pub fn on_stopped(&mut self, handle: Option<SmolStr>, is_complete: bool) -> Option<MoveStep> {
        let MovePhase::Stopping { destination } = &self.phase else {
            return None;
        };
        let destination = destination.clone();
        let Some(handle) = handle else {
            self.phase = MovePhase::Idle;
            return Some(MoveStep::Stay);
        };
        let engine = match is_complete {
            true => destination,
            false => self.source.clone(),
        };
        self.phase = MovePhase::Stopped { engine, handle };
        match self.is_source_closed {
            true => self.resume_step(),
            false => None,
        }
    }

    /// Handles the loss of the response to the order to stop: the source may have stopped the
    /// generation or not.
    pub fn on_stop_lost(&mut self) -> Option<MoveStep> {
        self.is_stop_uncertain = true;
        self.on_stopped(None, false)
    }

    /// Whether the source may have stopped the generation, so that an end of its stream need not be
    /// the end of the generation.
    pub fn may_have_stopped(&self) -> bool {
        match self.phase {
            MovePhase::Idle | MovePhase::Copying { .. } => self.is_stop_uncertain,
            MovePhase::Stopping { .. } | MovePhase::Stopped { .. } => true,
        }
    }

    /// Handles the close of the source's stream before the generation was complete.
    ///
    /// Returns the step to resume if the generation is known to have stopped. While the response to
    /// the order to stop is outstanding, that response decides what happens next.
    pub fn on_source_closed(&mut self) -> Option<MoveStep> {
        self.is_source_closed = true;
        self.resume_step()
    }

    /// Whether the stream of the source closed while the response to the order to stop is
    /// outstanding.
    pub fn awaits_stop_response(&self) -> bool {
        self.is_source_closed && matches!(self.phase, MovePhase::Stopping { .. })
    }

    /// Starts over for the engine on which the generation was resumed.
    pub fn on_resumed(&mut self, engine: TargetName) {
        *self = Self::new(engine);
    }

    /// The step to resume if the generation has stopped.
    fn resume_step(&self) -> Option<MoveStep> {
        let MovePhase::Stopped { engine, handle } = &self.phase else {
            return None;
        };
        let (engine, handle) = (engine.clone(), handle.clone());
        Some(MoveStep::Resume { engine, handle })
    }
}
