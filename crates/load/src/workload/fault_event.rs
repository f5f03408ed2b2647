use base::{ClockTime, TimeSpan};

/// A fault of an engine at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultEvent {
    /// When it takes place.
    pub at: ClockTime,
    /// Place of the engine, from zero; places from the number of engines on start absent.
    pub engine: usize,
    /// What takes place.
    pub kind: FaultKind,
}

/// What happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It dies at once; with `restart`, an empty one takes its place after that time.
    Killed {
        /// Time until the replacement runs.
        restart: Option<TimeSpan>,
    },
    /// It gets no new work and dies after `notice`.
    Reclaimed {
        /// Time from the announcement to the end.
        notice: TimeSpan,
    },
    /// An empty engine starts.
    Started,
}
