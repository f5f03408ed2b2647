use base::TimeSpan;
use strum::{Display, EnumString};

/// Fault that the stand-in platform simulates.
///
/// ```
/// use standin::PlatformFault;
/// assert_eq!("down".parse(), Ok(PlatformFault::Down));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// Every read fails with status 500.
    Down,
    /// Reads return the state at the time when the fault began.
    Stale,
    /// Reads take two seconds longer.
    Slow,
}

impl PlatformFault {
    /// Returns the time by which the fault delays reads.
    pub const fn delay(self) -> TimeSpan {
        match self {
            Self::Slow => TimeSpan::from_secs(2),
            _ => TimeSpan::ZERO,
        }
    }
}
