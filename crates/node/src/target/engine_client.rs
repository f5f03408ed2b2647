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

use super::{EngineFault, EngineStream};

/// Result of a call that is under way.
pub type CallFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, EngineFault>> + Send + 'a>>;

/// A generation to be started.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Request that the generation answers.
    pub request: RequestId,
    /// Path under `/v1/`, such as `completions`.
    pub path: &'static str,
    /// Body of the caller as a JSON object, to be sent with `stream` set.
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Priority at the engine; a lower number runs first.
    pub priority: RequestPriority,
    /// Longest wait for the response head.
    pub wait: TimeSpan,
    /// Time left to the deadline of the caller.
    pub time_left: Option<TimeSpan>,
}

/// A model version that an engine has in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedVersion {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters of this version, sorted by name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Whether it can serve; false while weights are loading.
    pub ready: bool,
    /// Why it can't be loaded, if it failed.
    #[serde(default)]
    pub failure: Option<String>,
    /// Bytes a second that a load in progress may read from the weight store.
    #[serde(default)]
    pub load_rate: Option<u64>,
}

/// State of an engine as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHealth {
    /// Run of the engine's process.
    pub incarnation: IncarnationNumber,
    /// Whether the engine is about to be taken away.
    pub leaving: bool,
    /// Role in force.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Versions in memory.
    #[serde(default)]
    pub loaded: Vec<LoadedVersion>,
    /// Highest fencing number that the engine has seen, if it tells.
    #[serde(default)]
    pub fencing: Option<String>,
}

/// An order to an engine, as JSON with the fencing number in text form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number, comparable as text.
    pub fencing: String,
    /// What to do: `load`, `unload`, `load_adapter`, `unload_adapter` or `set_role`.
    pub action: String,
    /// Model, for all actions but `set_role`.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Version of the model.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Adapter, for the adapter actions.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// New role.
    #[serde(default)]
    pub role: Option<EngineRole>,
    /// Bytes of weights a second that the engine may read.
    #[serde(default)]
    pub rate: Option<u64>,
}

/// How far a generation has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProgress {
    /// Run of the engine's process.
    pub incarnation: IncarnationNumber,
    /// Tokens that the generation has produced.
    #[serde(default)]
    pub produced: u64,
    /// Generation of the request that was asked for; `None` if the engine does not know it.
    #[serde(default)]
    pub generation: Option<GenerationId>,
}

/// A connection on which nothing was sent yet.
pub trait EngineLink: Send + Sync {
    /// Sends a call on this connection, which leaves no doubt whether it was sent.
    fn start(self: Box<Self>, call: EngineCall) -> CallFuture<'static, EngineStream>;
}

/// Calls of one kind of engine.
pub trait EngineClient: Send + Sync {
    /// Opens a fresh connection without sending anything.
    fn connect(&self, address: SocketAddr) -> CallFuture<'_, Box<dyn EngineLink>>;

    /// Reads a running or retained generation from `offset` on a fresh connection.
    fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> CallFuture<'_, EngineStream>;

    /// Asks on a fresh connection how far a generation has come.
    fn progress(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> CallFuture<'_, EngineProgress>;

    /// Asks on a fresh connection which generation answers a request and how far it has come.
    fn request_progress(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> CallFuture<'_, EngineProgress>;

    /// Cancels a generation; an unknown one is no error.
    fn cancel(&self, address: SocketAddr, generation: GenerationId) -> CallFuture<'_, ()>;

    /// Changes the priority of a running generation.
    fn set_priority(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> CallFuture<'_, ()>;

    /// Gives an order.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> CallFuture<'_, ()>;

    /// Reads the state of the engine.
    fn health(&self, address: SocketAddr) -> CallFuture<'_, EngineHealth>;

    /// Reads the state and the load of the engine, in one request if the engine allows it.
    fn state(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> CallFuture<'_, (EngineHealth, LoadReport)>;
}
