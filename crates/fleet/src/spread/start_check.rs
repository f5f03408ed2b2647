use base::ClockTime;

/// The comparison that a starting or resumed node makes before it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCheck {
    /// Nothing happened yet; the first tick starts the comparison.
    Idle,
    /// Since when the node compares its revision with peers and platform.
    Running(ClockTime),
    /// The node may serve.
    Done,
}

impl StartCheck {
    /// Since when the comparison runs, if it does.
    pub fn running_since(self) -> Option<ClockTime> {
        match self {
            Self::Running(since) => Some(since),
            Self::Idle | Self::Done => None,
        }
    }
}
