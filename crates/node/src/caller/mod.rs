//! The interface for callers.

mod error_response;

pub use error_response::{error_object, error_response};
