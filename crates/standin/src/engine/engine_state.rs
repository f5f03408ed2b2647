use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use base::{ByteRate, GenerationId, IncarnationNumber, RequestId};
use engine::{EngineSimulator, EngineTime, EventDetail, GenerationSnapshot, WeightKey};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, sleep};

use super::EngineSettings;
use super::call_body::CallBody;
use crate::{RunLog, RunRecord};

/// Runs kept in the log for history checks.
const HISTORY_LIMIT: usize = 100_000;
/// Longest sleep of the simulator loop when the simulator has no next event.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// State that control requests and orders change.
#[derive(Clone, Debug, Default)]
pub struct EngineControls {
    /// Whether the engine reports that it is leaving.
    pub leaving: bool,
    /// Whether it accepts calls while it is leaving, so that its run log shows which callers still
    /// send some.
    pub admit_while_leaving: bool,
    /// Streams with a number up to this one send no further output.
    pub muted_up_to: u64,
    /// Role set by the latest order; `None` if none was.
    pub role: Option<SmolStr>,
    /// Highest fencing number seen; empty if there was no order.
    pub fencing: String,
}

struct MutableState {
    simulator: EngineSimulator,
    controls: EngineControls,
    ordered_weights: Vec<WeightKey>,
    load_failures: BTreeMap<WeightKey, String>,
    opened_streams: u64,
}

/// Load progress of the weights of one key.
#[derive(Clone, Debug)]
pub struct WeightStatus {
    /// The weights.
    pub key: WeightKey,
    /// Whether requests can use them.
    pub ready: bool,
    /// Why the load failed; `None` if it did not.
    pub failure: Option<String>,
    /// Rate of the load; `None` unless it is in progress.
    pub rate: Option<ByteRate>,
}

/// Shared state of a running stand-in engine.
pub struct EngineState {
    /// Settings of the engine.
    pub settings: EngineSettings,
    /// Incarnation number of the engine process.
    pub incarnation: IncarnationNumber,
    /// Log of the runs of calls.
    pub log: RunLog,
    start: Instant,
    inner: Mutex<MutableState>,
    wake: Notify,
    changed: watch::Sender<u64>,
    crash: watch::Sender<bool>,
}

impl EngineState {
    /// Creates the state with the weights of `settings.loaded` already loaded.
    pub fn new(settings: EngineSettings, incarnation: IncarnationNumber) -> Self {
        let mut profile = settings.profile.clone();
        let rate = profile.weight_rate;
        // Weights that are loaded at the start take no time to load.
        profile.weight_rate.0 = u64::MAX;
        let mut simulator = EngineSimulator::new(profile, settings.seed);
        for key in &settings.loaded {
            let loaded =
                simulator.load_weights(EngineTime::default(), key.clone(), settings.weight_size);
            debug_assert!(loaded.is_ok(), "weights at the start fit");
        }
        simulator.advance(EngineTime::default());
        simulator.set_weight_rate(rate);
        let inner = MutableState {
            simulator,
            controls: EngineControls::default(),
            ordered_weights: settings.loaded.clone(),
            load_failures: BTreeMap::new(),
            opened_streams: 0,
        };
        Self {
            settings,
            incarnation,
            log: RunLog::new(HISTORY_LIMIT),
            start: Instant::now(),
            inner: Mutex::new(inner),
            wake: Notify::new(),
            changed: watch::Sender::new(0),
            crash: watch::Sender::new(false),
        }
    }

    /// Time since the engine started.
    pub fn now(&self) -> EngineTime {
        let micros = self.start.elapsed().as_micros();
        EngineTime::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Advances the simulator in real time; never returns.
    pub async fn run_simulator(&self) {
        loop {
            let due = self.advance();
            let now = self.now();
            let pause = due.map_or(IDLE_SLEEP, |due| {
                Duration::from_micros(due.as_micros().saturating_sub(now.as_micros()))
            });
            tokio::select! {
                () = sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Calls `edit` with the simulator and the current time, and wakes [`run_simulator`](Self::run_simulator).
    pub fn with_simulator<T>(&self, edit: impl FnOnce(&mut EngineSimulator, EngineTime) -> T) -> T {
        let now = self.now();
        let result = edit(&mut self.lock().simulator, now);
        self.wake.notify_one();
        result
    }

    /// Returns a generation that waits, runs or is still retained.
    pub fn read_generation(&self, generation: &GenerationId) -> Option<GenerationSnapshot> {
        self.lock().simulator.read_generation(generation)
    }

    /// Returns the latest generation of a request.
    pub fn find_request(&self, request: &str) -> Option<GenerationId> {
        let records = self.log.records();
        let mut latest = records.iter().rev();
        let run = latest.find(|record| record.request == request)?;
        run.generation.parse().ok()
    }

    /// Returns a receiver that is notified when any generation or control changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns a copy of the current controls.
    pub fn controls(&self) -> EngineControls {
        self.lock().controls.clone()
    }

    /// Wakes every stream, for example after a generation was cancelled.
    pub fn wake_streams(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Changes the controls and wakes every stream.
    pub fn set_controls(&self, edit: impl FnOnce(&mut EngineControls)) {
        edit(&mut self.lock().controls);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Stops all output on the streams opened so far, without closing them.
    pub fn mute_streams(&self) {
        let mut inner = self.lock();
        inner.controls.muted_up_to = inner.opened_streams;
    }

    /// Assigns a number to a new stream.
    pub fn open_stream(&self) -> u64 {
        let mut inner = self.lock();
        inner.opened_streams += 1;
        inner.opened_streams
    }

    /// Signals a crash, on which the handle shuts down the runtime.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Waits until a crash is signalled.
    pub async fn crashed(&self) {
        let mut crash = self.crash.subscribe();
        // The sender lives as long as `self`.
        let _ = crash.wait_for(|crashed| *crashed).await;
    }

    /// Returns the load progress of all weights that were loaded at the start or ordered.
    pub fn weight_statuses(&self) -> Vec<WeightStatus> {
        let inner = self.lock();
        let loaded = inner.simulator.loaded_weights();
        let rate = inner.simulator.profile().weight_rate;
        let ordered = inner.ordered_weights.iter();
        ordered
            .map(|key| {
                let ready = loaded.binary_search(key).is_ok();
                let failure = inner.load_failures.get(key).cloned();
                let loading = !ready && failure.is_none();
                WeightStatus {
                    key: key.clone(),
                    ready,
                    failure,
                    rate: loading.then_some(rate),
                }
            })
            .collect()
    }

    /// Starts to load weights at a rate, or records why that fails.
    pub fn load_weights(&self, key: WeightKey, rate: Option<ByteRate>) {
        let now = self.now();
        let fastest = self.settings.profile.weight_rate;
        let mut inner = self.lock();
        inner
            .simulator
            .set_weight_rate(rate.unwrap_or(fastest).min(fastest));
        if !inner.ordered_weights.contains(&key) {
            inner.ordered_weights.push(key.clone());
        }
        if self.settings.failing_weights.contains(&key) {
            inner
                .load_failures
                .insert(key, "weights are damaged".to_owned());
            return;
        }
        let size = self.settings.weight_size;
        match inner.simulator.load_weights(now, key.clone(), size) {
            Ok(_) => drop(inner.load_failures.remove(&key)),
            Err(error) => {
                let reason = format!("memory full: {error}");
                inner.load_failures.insert(key, reason);
            }
        }
        drop(inner);
        self.wake.notify_one();
    }

    /// Unloads weights as soon as no generation uses them.
    pub fn unload_weights(&self, key: &WeightKey) {
        let now = self.now();
        let mut inner = self.lock();
        inner.ordered_weights.retain(|ordered| ordered != key);
        inner.load_failures.remove(key);
        // Fails only if the weights are not loaded, which is the wanted state.
        let _ = inner.simulator.unload_weights(now, key);
        drop(inner);
        self.wake.notify_one();
    }

    /// Records the start of a run.
    pub fn record_run(
        &self,
        request: &RequestId,
        generation: &GenerationId,
        call: &CallBody,
        chat: bool,
    ) {
        self.log.push(RunRecord {
            target: SmolStr::new(self.settings.name.as_str()),
            request: SmolStr::new(request.as_str()),
            mark: call.stand_in_mark.clone(),
            generation: SmolStr::new(generation.as_str()),
            model: SmolStr::new(&call.model),
            chat,
            finished: false,
        });
    }

    fn advance(&self) -> Option<EngineTime> {
        let now = self.now();
        let mut inner = self.lock();
        let events = inner.simulator.advance(now);
        let due = inner.simulator.next_event_time();
        drop(inner);
        for event in &events {
            if let EventDetail::Finished { request, .. } = &event.detail {
                self.log.finish(request.as_str());
            }
        }
        if !events.is_empty() {
            self.changed.send_modify(|version| *version += 1);
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
