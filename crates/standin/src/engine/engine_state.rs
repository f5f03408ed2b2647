use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use base::{ByteRate, GenerationId, IncarnationNumber, RequestId};
use engine::{EngineModel, EngineTime, EventDetail, GenerationView, WeightKey};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, sleep};

use super::EngineSettings;
use super::call_body::CallBody;
use crate::{RunLog, RunRecord};

/// Runs kept for history checks.
const HISTORY_LIMIT: usize = 100_000;
/// Longest sleep of the driver when nothing is due.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// Switches that operators of a test turn.
#[derive(Clone, Debug, Default)]
pub struct EngineSwitches {
    /// The engine is about to be taken away.
    pub leaving: bool,
    /// It runs calls while it is leaving, so that its history shows who still sends some.
    pub admit_leaving: bool,
    /// Streams with a number up to this one send nothing more.
    pub mute_streams: u64,
    /// Role in force.
    pub role: Option<SmolStr>,
    /// Highest fencing number seen.
    pub fencing: String,
}

struct InnerState {
    model: EngineModel,
    switches: EngineSwitches,
    ordered: Vec<WeightKey>,
    failures: BTreeMap<WeightKey, String>,
    streams: u64,
}

/// Progress of some weights.
#[derive(Clone, Debug)]
pub struct WeightView {
    /// The weights.
    pub key: WeightKey,
    /// Whether requests can use them.
    pub ready: bool,
    /// Why they can't be loaded.
    pub failure: Option<String>,
    /// Rate at which they are being loaded.
    pub rate: Option<ByteRate>,
}

/// State of a running stand-in engine.
pub struct EngineState {
    /// Settings of the engine.
    pub settings: EngineSettings,
    /// Run of the engine.
    pub incarnation: IncarnationNumber,
    /// Runs of calls.
    pub log: RunLog,
    start: Instant,
    inner: Mutex<InnerState>,
    wake: Notify,
    changed: watch::Sender<u64>,
    crash: watch::Sender<bool>,
}

impl EngineState {
    /// Creates the state with the weights of the settings in memory.
    pub fn new(settings: EngineSettings, incarnation: IncarnationNumber) -> Self {
        let mut profile = settings.profile.clone();
        let rate = profile.weight_rate;
        // Weights that are there at the start take no time to load.
        profile.weight_rate.0 = u64::MAX;
        let mut model = EngineModel::new(profile, settings.seed);
        for key in &settings.loaded {
            let loaded =
                model.load_weights(EngineTime::default(), key.clone(), settings.weight_size);
            debug_assert!(loaded.is_ok(), "weights at the start fit");
        }
        model.advance(EngineTime::default());
        model.set_weight_rate(rate);
        let inner = InnerState {
            model,
            switches: EngineSwitches::default(),
            ordered: settings.loaded.clone(),
            failures: BTreeMap::new(),
            streams: 0,
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

    /// Lets the model run in real time; never returns.
    pub async fn drive(&self) {
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

    /// Calls `edit` with the model at the present time and wakes the driver.
    pub fn edit_model<T>(&self, edit: impl FnOnce(&mut EngineModel, EngineTime) -> T) -> T {
        let now = self.now();
        let result = edit(&mut self.lock().model, now);
        self.wake.notify_one();
        result
    }

    /// Reads a generation.
    pub fn read_generation(&self, generation: &GenerationId) -> Option<GenerationView> {
        self.lock().model.read_generation(generation)
    }

    /// Returns the latest generation of a request.
    pub fn find_request(&self, request: &str) -> Option<GenerationId> {
        let records = self.log.records();
        let mut latest = records.iter().rev();
        let run = latest.find(|record| record.request == request)?;
        run.generation.parse().ok()
    }

    /// Watches for changes of any generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the switches as they are.
    pub fn switches(&self) -> EngineSwitches {
        self.lock().switches.clone()
    }

    /// Wakes every stream, as after a generation was cancelled.
    pub fn wake_streams(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Changes the switches and wakes every stream.
    pub fn set_switches(&self, edit: impl FnOnce(&mut EngineSwitches)) {
        edit(&mut self.lock().switches);
        self.changed.send_modify(|version| *version += 1);
    }

    /// Makes every stream opened so far go silent.
    pub fn mute_streams(&self) {
        let mut inner = self.lock();
        inner.switches.mute_streams = inner.streams;
    }

    /// Numbers a new stream.
    pub fn open_stream(&self) -> u64 {
        let mut inner = self.lock();
        inner.streams += 1;
        inner.streams
    }

    /// Ends the engine as a crash of its process does.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Waits for a crash.
    pub async fn crashed(&self) {
        let mut crash = self.crash.subscribe();
        // The sender lives as long as `self`.
        let _ = crash.wait_for(|crashed| *crashed).await;
    }

    /// Weights that were ordered, with their progress.
    pub fn weight_states(&self) -> Vec<WeightView> {
        let inner = self.lock();
        let loaded = inner.model.loaded_weights();
        let rate = inner.model.profile().weight_rate;
        let ordered = inner.ordered.iter();
        ordered
            .map(|key| {
                let ready = loaded.binary_search(key).is_ok();
                let failure = inner.failures.get(key).cloned();
                let loading = !ready && failure.is_none();
                WeightView {
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
            .model
            .set_weight_rate(rate.unwrap_or(fastest).min(fastest));
        if !inner.ordered.contains(&key) {
            inner.ordered.push(key.clone());
        }
        if self.settings.broken.contains(&key) {
            inner.failures.insert(key, "weights are damaged".to_owned());
            return;
        }
        let size = self.settings.weight_size;
        match inner.model.load_weights(now, key.clone(), size) {
            Ok(_) => drop(inner.failures.remove(&key)),
            Err(error) => {
                let reason = format!("memory full: {error}");
                inner.failures.insert(key, reason);
            }
        }
        drop(inner);
        self.wake.notify_one();
    }

    /// Unloads weights as soon as no generation uses them.
    pub fn unload_weights(&self, key: &WeightKey) {
        let now = self.now();
        let mut inner = self.lock();
        inner.ordered.retain(|ordered| ordered != key);
        inner.failures.remove(key);
        // Weights that are not there need no unloading.
        let _ = inner.model.unload_weights(now, key);
        drop(inner);
        self.wake.notify_one();
    }

    /// Notes the start of a run.
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
        let events = inner.model.advance(now);
        let due = inner.model.next_event_time();
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

    fn lock(&self) -> MutexGuard<'_, InnerState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
