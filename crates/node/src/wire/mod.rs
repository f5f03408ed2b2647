//! Names of the headers that callers, nodes and targets exchange.

mod header_names;

pub use header_names::{
    ADMITTED_HEADER, DEADLINE_HEADER, KEY_HEADER, LAST_EVENT_HEADER, RAN_HEADER, read_retry_after,
};
