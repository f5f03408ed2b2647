use base::ClockTime;

/// Progress of the start check: a starting or resumed node compares its revision with peers and
/// platform before it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCheck {
    /// Not started; the next event starts it.
    Idle,
    /// Running since this time.
    Running(ClockTime),
    /// Completed; the node may serve.
    Done,
}

impl StartCheck {
    /// Returns since when the check has been running; `None` if it is not running.
    pub fn running_since(self) -> Option<ClockTime> {
        match self {
            Self::Running(since) => Some(since),
            Self::Idle | Self::Done => None,
        }
    }
}
