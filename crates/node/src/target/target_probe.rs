use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use base::{IncarnationNumber, TargetName, TimeSpan};
use fleet::TargetKind;
use hyper::header::HOST;
use hyper::{Method, Request};
use serde::Deserialize;
use tokio::time::timeout;
use web::{ConnectionPool, SendPhase, WebError, empty_body, read_body};

use super::{EngineClient, EngineError};
use crate::actor::ProbeResult;

/// Maximum time to wait for the response of a service.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Maximum length in bytes of the response of a service.
const RESPONSE_LIMIT: usize = 64 << 10;

/// Pending result of a probe.
pub type ProbeFuture = Pin<Box<dyn Future<Output = ProbeResult> + Send>>;

/// Reads the state of targets.
pub trait TargetProbe: Send + Sync {
    /// Reads the state of the target at `address`.
    fn probe(&self, target: TargetName, kind: TargetKind, address: SocketAddr) -> ProbeFuture;
}

/// Probes engines through their client, and services with `GET /health`.
#[derive(Clone)]
pub struct HttpProbe {
    engine: Arc<dyn EngineClient>,
    pool: ConnectionPool,
}

/// Response of a service to `GET /health`; fields that it does not send have their defaults.
#[derive(Default, Deserialize)]
struct ServiceHealth {
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    incarnation: u64,
}

impl HttpProbe {
    /// Creates a probe that uses `engine` for engines and connections of `pool` for services.
    pub fn new(engine: Arc<dyn EngineClient>, pool: ConnectionPool) -> Self {
        Self { engine, pool }
    }

    async fn probe_engine(self, target: TargetName, address: SocketAddr) -> ProbeResult {
        match self.engine.health_and_load(target, address).await {
            Ok((health, report)) => ProbeResult::Engine { health, report },
            Err(EngineError::Refused) => ProbeResult::Refused,
            Err(_) => ProbeResult::Failed,
        }
    }

    async fn probe_service(self, address: SocketAddr) -> ProbeResult {
        let request = Request::builder()
            .method(Method::GET)
            .uri("/health")
            .header(HOST, address.to_string())
            .body(empty_body());
        let Ok(request) = request else {
            return ProbeResult::Failed;
        };
        let sent = self.pool.send(address, SendPhase::Reuse, request);
        match timeout(RESPONSE_TIMEOUT.into(), sent).await {
            Ok(Ok((response, connection))) => {
                let body = read_body(response.into_body(), RESPONSE_LIMIT, RESPONSE_TIMEOUT).await;
                let Ok(body) = body else {
                    return ProbeResult::Failed;
                };
                self.pool.release(connection);
                // A service need not have a health page: any response shows that it runs.
                let health: ServiceHealth = serde_json::from_slice(&body).unwrap_or_default();
                ProbeResult::Service {
                    leaving: health.leaving,
                    incarnation: IncarnationNumber(health.incarnation),
                }
            }
            Ok(Err(error)) if WebError::is_refused(&error) => ProbeResult::Refused,
            _ => ProbeResult::Failed,
        }
    }
}

impl TargetProbe for HttpProbe {
    fn probe(&self, target: TargetName, kind: TargetKind, address: SocketAddr) -> ProbeFuture {
        let probe = self.clone();
        match kind {
            TargetKind::Engine => Box::pin(probe.probe_engine(target, address)),
            TargetKind::Service => Box::pin(probe.probe_service(address)),
        }
    }
}
