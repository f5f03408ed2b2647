//! Whether this node has a network path to the targets of each service.

mod path_table;
mod service_path;

pub use path_table::PathTable;
pub use service_path::{PathChange, ServicePath};
