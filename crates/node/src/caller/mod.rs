//! The HTTP interface for callers: authentication, parsing of requests, idempotency keys,
//! forwarding to other nodes and responses.

mod active_call;
mod call_input;
mod call_response;
mod caller_api;
mod caller_auth;
mod error_response;
mod forward_call;
mod generation_call;
mod keyed_call;
mod model_list;
mod service_call;

pub use active_call::{ActiveCall, ResponsePart};
pub use call_input::CallInput;
pub use caller_api::CallerApi;
pub use error_response::{error_object, error_response};
pub use generation_call::RequestError;
