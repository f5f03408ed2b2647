//! What the node knows of the fleet, as one immutable value that is replaced as a whole.

mod model_spec;
mod node_view;
mod route_table;
mod target_view;

pub use model_spec::ModelSpec;
pub use node_view::{NodeView, ViewCell};
pub use route_table::{RouteChoice, RouteTable};
pub use target_view::{TargetPhase, TargetView};
