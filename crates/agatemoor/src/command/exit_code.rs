/// Exit code of a command that did its work.
pub const EXIT_DONE: u8 = 0;
/// Exit code of a command whose work failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code after wrong usage or settings.
pub const EXIT_USAGE: u8 = 2;
