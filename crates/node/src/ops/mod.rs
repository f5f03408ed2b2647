//! HTTP interface for operators: status, events and metrics.

mod metrics_export;
mod ops_handler;
mod status_page;

pub use metrics_export::MetricsExport;
pub use ops_handler::OpsHandler;
pub use status_page::{StatusNode, StatusPage, StatusRevision, StatusTarget};
