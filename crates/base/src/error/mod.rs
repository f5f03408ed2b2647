//! The error kinds that callers can get, the response to each, and parse errors.

mod error_kind;
mod error_response;
mod parse_error;

pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RanState, RetryAdvice};
pub use parse_error::ParseError;
