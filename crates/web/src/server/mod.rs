//! HTTP/1 server with limits on connections and request heads.

mod bind_error;
mod server_limits;
mod stop_signal;
mod web_handler;
mod web_server;

pub use bind_error::is_transient_bind_error;
pub use server_limits::ServerLimits;
pub use stop_signal::StopSignal;
pub use web_handler::{HandlerFuture, WebHandler};
pub use web_server::WebServer;
