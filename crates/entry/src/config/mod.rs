//! The configuration that operators publish, in the form in which requests look it up.

mod config_lag;
mod config_omission;
mod config_version;
mod request_limits;
mod route_rule;
mod serve_config;
mod service_spec;
mod workspace_identity;
mod workspace_rule;

pub use config_lag::ConfigLag;
pub use config_omission::ConfigOmission;
pub use config_version::ConfigVersion;
pub use request_limits::RequestLimits;
pub use route_rule::{RepeatPolicy, RouteRule, ServiceWeight};
pub use serve_config::{KeyDenial, ServeConfig};
pub use service_spec::{EngineSpec, ServiceSpec};
pub use workspace_identity::WorkspaceIdentity;
pub use workspace_rule::WorkspaceRule;
