/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a command that failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;
