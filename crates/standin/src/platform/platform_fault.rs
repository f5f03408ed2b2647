use base::TimeSpan;
use strum::{Display, EnumString};

/// What is wrong with the platform.
///
/// ```
/// use standin::PlatformFault;
/// assert_eq!("down".parse(), Ok(PlatformFault::Down));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformFault {
    /// Nothing.
    #[default]
    None,
    /// Every read fails with status 500.
    Down,
    /// Reads get the state of the moment at which the fault began.
    Stale,
    /// Reads take two seconds longer.
    Slow,
}

impl PlatformFault {
    /// Time by which reads are late.
    pub const fn delay(self) -> TimeSpan {
        match self {
            Self::Slow => TimeSpan::from_secs(2),
            _ => TimeSpan::ZERO,
        }
    }
}
