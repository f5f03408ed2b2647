//! Facts that nodes agree on: calls that crash targets, and targets that say that they leave.

mod attempt_log;
mod crash_sign;
mod fact_book;
mod leave_word;
mod node_fact;
mod suspect_places;

pub use attempt_log::{AttemptLog, OpenAttempt};
pub use crash_sign::CrashSign;
pub use fact_book::FactBook;
pub use leave_word::LeaveWord;
pub use node_fact::NodeFact;
pub use suspect_places::{SuspectPlace, SuspectPlaces};
