//! The interface for callers.

mod answer_body;
mod call_input;
mod call_run;
mod call_service;
mod caller_api;
mod caller_auth;
mod error_response;
mod forward_call;
mod generation_call;
mod keyed_call;
mod model_list;

pub use call_input::CallInput;
pub use call_run::{CallRun, RunPart};
pub use caller_api::CallerApi;
pub use error_response::{error_object, error_response};
pub use generation_call::InputFault;
