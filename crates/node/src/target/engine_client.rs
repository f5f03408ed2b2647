use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use base::{
    AdapterName, GenerationId, IncarnationNumber, ModelName, RequestId, TargetName, TimeSpan,
    VersionName,
};
use sched::{LoadReport, RequestPriority};
use schema::declaration::EngineRole;
use serde::{Deserialize, Serialize};

use super::{EngineError, EngineStream};

/// Pending result of a request to an engine.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, EngineError>> + Send + 'a>>;

/// Request to an engine to start a generation.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Id of the caller's request that the generation answers.
    pub request: RequestId,
    /// Path under `/v1/`, such as `completions`.
    pub path: &'static str,
    /// Body of the caller's request; the client adds `stream`, `priority` and `request_id`.
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Priority at the engine; a lower number runs first.
    pub priority: RequestPriority,
    /// Maximum time to wait for the response head.
    pub head_timeout: TimeSpan,
    /// Time left until the caller's deadline.
    pub time_left: Option<TimeSpan>,
}

/// A model version that an engine has in memory, is loading or failed to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedVersion {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters of this version, sorted by name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Whether it can serve; false while weights are loading.
    pub ready: bool,
    /// Why loading it failed; `None` if it did not fail.
    #[serde(default)]
    pub failure: Option<String>,
    /// Maximum rate, in bytes per second, at which a load in progress reads from the weight store.
    #[serde(default)]
    pub load_rate: Option<u64>,
}

/// State that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHealth {
    /// Incarnation of the engine's process.
    pub incarnation: IncarnationNumber,
    /// Whether the platform is about to take the engine's VM away.
    pub leaving: bool,
    /// Current role.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Versions in memory.
    #[serde(default)]
    pub loaded: Vec<LoadedVersion>,
    /// Highest fencing number that the engine has seen; `None` if it does not report one.
    #[serde(default)]
    pub fencing: Option<String>,
}

/// Command that changes what an engine has loaded or its role; sent as JSON.
///
/// An engine that checks fencing numbers refuses an order with a lower one than it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number in a text form that sorts like the number.
    pub fencing: String,
    /// Action: `load`, `unload`, `load_adapter`, `unload_adapter` or `set_role`.
    pub action: String,
    /// Name of the model, for all actions except `set_role`.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Version of the model.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Name of the adapter, for `load_adapter` and `unload_adapter`.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// New role, for `set_role`.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Maximum rate, in bytes per second, at which the engine may read weights.
    #[serde(default)]
    pub rate: Option<u64>,
}

/// Progress of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProgress {
    /// Incarnation of the engine's process.
    pub incarnation: IncarnationNumber,
    /// Number of tokens that the generation has produced.
    #[serde(default)]
    pub produced: u64,
    /// Id of the generation, in the response about a request; `None` if the engine does not know
    /// the request.
    #[serde(default)]
    pub generation: Option<GenerationId>,
}

/// New connection to an engine on which no request was sent yet.
pub trait EngineConnection: Send + Sync {
    /// Sends a call on this connection and waits for the response head.
    ///
    /// As connecting is a separate step, a failure to connect proves that the call was not sent.
    fn start(self: Box<Self>, call: EngineCall) -> EngineFuture<'static, EngineStream>;
}

/// Client for the API of one kind of engine.
pub trait EngineClient: Send + Sync {
    /// Opens a new connection without sending anything.
    fn connect(&self, address: SocketAddr) -> EngineFuture<'_, Box<dyn EngineConnection>>;

    /// Reads a running or retained generation from the token at `offset`, on a new connection.
    fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> EngineFuture<'_, EngineStream>;

    /// Reads the progress of a generation, on a new connection.
    fn progress(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> EngineFuture<'_, EngineProgress>;

    /// Reads which generation answers a request and its progress, on a new connection.
    fn request_progress(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> EngineFuture<'_, EngineProgress>;

    /// Cancels a generation; succeeds too if the engine does not know it.
    fn cancel(&self, address: SocketAddr, generation: GenerationId) -> EngineFuture<'_, ()>;

    /// Changes the priority of a running generation.
    fn set_priority(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> EngineFuture<'_, ()>;

    /// Sends an order; succeeds once the engine has accepted it.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> EngineFuture<'_, ()>;

    /// Reads the state of the engine.
    fn health(&self, address: SocketAddr) -> EngineFuture<'_, EngineHealth>;

    /// Reads the state and the load of the engine, in one request if the engine supports that.
    fn health_and_load(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> EngineFuture<'_, (EngineHealth, LoadReport)>;
}
