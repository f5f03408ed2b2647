//! Request and response bodies: creating them and reading them with limits.

mod body_buffer;
mod web_body;

pub use body_buffer::BodyBuffer;
pub use web_body::{
    WebBody, empty_body, full_body, json_body, read_body, read_body_if, stream_body,
};
