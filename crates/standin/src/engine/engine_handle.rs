use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use base::IncarnationNumber;
use tokio::runtime::{Builder, Runtime};
use web::{StopSignal, WebServer};

use super::EngineSettings;
use super::engine_api::handle_request;
use super::engine_state::EngineState;
use crate::RunRecord;

/// Interval at which a waiter checks whether the engine has stopped.
const STOP_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
/// Random low bits of an incarnation number; the bits above hold the start time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Starts stand-in engines.
pub struct EngineServer;

/// Handle of a stand-in engine; clones refer to the same engine.
///
/// Each engine has its own `tokio` runtime. Shutting that down ends the engine at any point, as the
/// crash of a process would.
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
            Box::pin(handle_request(served.clone(), request))
        };
        runtime.spawn(server.serve(Arc::new(handler), StopSignal::new()));
        let driven = state.clone();
        runtime.spawn(async move { driven.run_simulator().await });
        let handle = EngineHandle {
            address,
            state,
            runtime: Arc::new(Mutex::new(Some(runtime))),
        };
        handle.stop_on_crash();
        Ok(handle)
    }
}

impl EngineHandle {
    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the runs of calls, oldest first.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.log.records()
    }

    /// Returns the number of preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.state
            .with_simulator(|simulator, _| simulator.load_stats().preemptions)
    }

    /// Stops all output on the streams opened so far and keeps their connections open; new streams
    /// work normally.
    pub fn mute_streams(&self) {
        self.state.mute_streams();
    }

    /// Makes the engine report that it is leaving and refuse new calls.
    pub fn leave(&self) {
        self.state.set_controls(|controls| controls.leaving = true);
    }

    /// Stops the engine immediately and closes all its connections.
    pub fn kill(&self) {
        let mut runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(runtime) = runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Tells whether the engine has been stopped or has crashed.
    pub fn is_stopped(&self) -> bool {
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner);
        runtime.is_none()
    }

    /// Waits until the engine has been stopped or has crashed.
    pub async fn wait_until_stopped(&self) {
        while !self.is_stopped() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Shuts the runtime down once the engine crashes, from a thread outside that runtime.
    fn stop_on_crash(&self) {
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

/// Creates an incarnation number; a process that starts later gets a larger one.
fn new_incarnation() -> IncarnationNumber {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis() as u64);
    let random = rand::random::<u64>() >> (64 - INCARNATION_RANDOM_BITS);
    IncarnationNumber((millis << INCARNATION_RANDOM_BITS) | random)
}
