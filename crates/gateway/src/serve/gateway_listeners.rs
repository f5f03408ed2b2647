use std::io;
use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use web::{WebServer, is_transient_bind_error};

use crate::GatewaySettings;

/// A listening socket could not be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct StartError {
    address: SocketAddr,
    source: io::Error,
}

impl StartError {
    /// Whether the address may become available, as when a predecessor still uses it.
    pub fn is_transient(&self) -> bool {
        is_transient_bind_error(&self.source)
    }
}

/// Listening sockets for callers, readiness checks and peers, not yet served.
pub struct GatewayListeners {
    pub(super) callers: WebServer,
    pub(super) ready: WebServer,
    pub(super) peers: WebServer,
}

impl GatewayListeners {
    /// Opens the sockets; none stays open if one can't be opened, so that no client waits for a
    /// process that does not serve yet.
    ///
    /// # Errors
    /// If a socket can't be opened.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, StartError> {
        // The address for callers comes last: a connection to it is served right away.
        let peers = bind(settings.peer_address).await?;
        let ready = bind(settings.ready_address).await?;
        let callers = bind(settings.caller_address).await?;
        Ok(Self {
            callers,
            ready,
            peers,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<WebServer, StartError> {
    let bound = WebServer::bind(address).await;
    bound.context(StartSnafu { address })
}
