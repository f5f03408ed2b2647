use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use base::IncarnationNumber;
use tokio::runtime::{Builder, Runtime};
use web::{StopSignal, WebServer};

use super::EngineSettings;
use super::engine_api::answer_request;
use super::engine_state::EngineState;
use crate::RunRecord;

/// Time between two checks whether an engine was ended.
const DEATH_CHECK: std::time::Duration = std::time::Duration::from_millis(50);
/// Random bits of an incarnation number; the start time in milliseconds stands above them.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Starts stand-in engines.
pub struct EngineServer;

/// A running stand-in engine; clones share it.
///
/// Each engine has a runtime of its own, so that it can be ended in the middle of anything, as a
/// crash does.
#[derive(Clone)]
pub struct EngineHandle {
    address: SocketAddr,
    state: Arc<EngineState>,
    runtime: Arc<Mutex<Option<Runtime>>>,
}

impl EngineServer {
    /// Starts an engine that listens on `address`.
    ///
    /// # Errors
    /// If the address can't be bound or threads can't be started.
    pub fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<EngineHandle> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("engine")
            .enable_all()
            .build()?;
        let server = runtime.block_on(WebServer::bind(address))?;
        let address = server.address();
        let incarnation = new_incarnation();
        let state = Arc::new(EngineState::new(settings, incarnation));
        let served = state.clone();
        let handler = move |request| -> web::HandlerFuture {
            Box::pin(answer_request(served.clone(), request))
        };
        runtime.spawn(server.serve(Arc::new(handler), StopSignal::new()));
        let driven = state.clone();
        runtime.spawn(async move { driven.drive().await });
        let handle = EngineHandle {
            address,
            state,
            runtime: Arc::new(Mutex::new(Some(runtime))),
        };
        handle.watch_crash();
        Ok(handle)
    }
}

impl EngineHandle {
    /// Address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Generations that were started.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.log.records()
    }

    /// Preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.state
            .edit_model(|model, _| model.load_figures().preemptions)
    }

    /// Makes every stream opened so far go silent, while new ones work.
    pub fn mute_streams(&self) {
        self.state.mute_streams();
    }

    /// Announces that the engine is about to be taken away.
    pub fn leave(&self) {
        self.state.set_switches(|switches| switches.leaving = true);
    }

    /// Ends the engine at once, with every connection.
    pub fn kill(&self) {
        let mut runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(runtime) = runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Tells whether the engine was ended.
    pub fn is_dead(&self) -> bool {
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        runtime.is_none()
    }

    /// Waits until the engine was ended.
    pub async fn wait_dead(&self) {
        while !self.is_dead() {
            tokio::time::sleep(DEATH_CHECK).await;
        }
    }

    /// Ends the runtime on a crash, from a thread outside it.
    fn watch_crash(&self) {
        let handle = self.clone();
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(runtime) = runtime.as_ref() else {
            return;
        };
        let state = self.state.clone();
        runtime.spawn(async move {
            state.crashed().await;
            std::thread::spawn(move || handle.kill());
        });
    }
}

/// A later run has a larger number.
fn new_incarnation() -> IncarnationNumber {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis() as u64);
    let random = rand::random::<u64>() >> (64 - INCARNATION_RANDOM_BITS);
    IncarnationNumber((millis << INCARNATION_RANDOM_BITS) | random)
}
