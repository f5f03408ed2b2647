//! The node's view of the fleet, as an immutable value that is replaced as a whole, and the routing
//! candidates that are computed from it.

mod model_spec;
mod node_view;
mod route_cache;
mod target_view;

pub use model_spec::ModelSpec;
pub use node_view::{NodeView, ViewCell};
pub use route_cache::{RouteCache, RouteCandidates};
pub use target_view::{TargetPhase, TargetView};
