//! Request and response bodies: creating them and reading them with limits.

mod web_body;

pub use web_body::{
    WebBody, empty_body, full_body, json_body, read_body, read_body_if, stream_body,
};
