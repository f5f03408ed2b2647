//! The closed list of error kinds and the answer that callers get for each.

mod error_answer;
mod error_kind;
mod parse_error;

pub use error_answer::{ErrorAnswer, RanState, RetryAdvice};
pub use error_kind::ErrorKind;
pub use parse_error::ParseError;
