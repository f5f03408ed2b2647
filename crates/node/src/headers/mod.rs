//! Names of the HTTP headers that callers, nodes and targets exchange.

mod header_names;

pub use header_names::{
    ADMITTED_HEADER, IDEMPOTENCY_KEY_HEADER, LAST_EVENT_ID_HEADER, REQUEST_RAN_HEADER,
    REQUEST_TIMEOUT_HEADER, read_retry_after,
};
