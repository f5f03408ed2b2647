use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use base::{ClockTime, IncarnationNumber, RequestId, TargetName, TokenCount};
use calls::{AnswerMode, CallFailure, CallPlan, RequestFingerprint};
use fleet::{KeySet, KeyText, make_head, validate_set};
use node::{
    CallMetrics, EngineHealth, EventJournal, GenerationJob, GenerationOutput, GenerationRelay,
    HttpEngine, PauseDetector, RelayContext, ResumeKey, RouteCandidates, SchedActor, SchedHandle,
    SchedOutput, SystemClock, TargetPhase, TargetView, ViewCell,
};
use sched::{CallKind, WorkItem};
use serde_json::Map;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use web::{ConnectionPool, PoolSettings};

use super::{FakePolicy, ScriptedEngine};

/// Creates relays of a node with two engines, of which the policy chooses the first one unless it
/// is excluded.
pub struct RelayFixture {
    started_calls: AtomicUsize,
    pub context: Arc<RelayContext>,
    pub policy: FakePolicy,
    _outputs: mpsc::Receiver<SchedOutput>,
}

fn name<T: std::str::FromStr<Err = base::ParseError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn target(text: &str) -> TargetView {
    let mut view = TargetView::new(name(text), ClockTime::ZERO);
    view.set_phase(TargetPhase::Up, ClockTime::ZERO);
    view.health = Some(EngineHealth {
        incarnation: IncarnationNumber(1),
        leaving: false,
        role: None,
        loaded: vec![],
        fencing: None,
    });
    view
}

impl RelayFixture {
    /// Creates the fixture of a node that considers both engines up.
    pub fn new(first: &ScriptedEngine, second: &ScriptedEngine) -> Self {
        let clock = SystemClock::new();
        let node = name("patan-1");
        let journal = EventJournal::new(clock, name("patan-1"), name("patan"), 64);
        let pool = ConnectionPool::new(PoolSettings::new());
        let engine = Arc::new(HttpEngine::new(pool, clock));
        let policy = FakePolicy::default();
        let (output, outputs) = mpsc::channel(64);
        let boxed = Box::new(policy.clone());
        let actor = SchedActor::new(clock, journal.clone(), engine.clone(), boxed, output);
        let address = xtra::spawn_tokio(actor, xtra::Mailbox::unbounded());
        let context = RelayContext {
            clock,
            journal,
            engine,
            sched: SchedHandle::new(address),
            view: ViewCell::new(),
            pause: PauseDetector::new(clock),
            metrics: CallMetrics::new(&node),
            resume: ResumeKey::new("a secret of the fleet"),
        };
        let text = format!(
            "[domain patan]\n[node patan-1]\ndomain = patan\npeer_address = 192.0.2.1:8082\n\
             [model quill]\n\
             [target e1]\nkind = engine\ndomain = patan\naddress = {}\n\
             [target e2]\nkind = engine\ndomain = patan\naddress = {}\n",
            first.address, second.address
        );
        let keys = vec![KeyText::new("fleet.ini", text)];
        let fleet =
            validate_set(&KeySet::new(make_head(1, &keys), keys)).expect("a valid declaration");
        context.view.update(|view| {
            view.fleet = Some(Arc::new(fleet));
            view.ready = true;
            view.targets = vec![target("e1"), target("e2")];
        });
        tokio::spawn(tick(context.pause.clone()));
        Self {
            context: Arc::new(context),
            policy,
            started_calls: AtomicUsize::new(1),
            _outputs: outputs,
        }
    }

    /// Marks the first engine as leaving in the node's view.
    pub fn mark_first_leaving(&self) {
        let now = self.context.clock.now();
        self.context.view.update(|view| {
            view.targets[0].set_phase(TargetPhase::Leaving, now);
        });
    }

    /// Starts to relay one call; the task returns its complete answer.
    pub fn start_call(
        &self,
        repeatable: bool,
        mode: AnswerMode,
    ) -> JoinHandle<Result<String, CallFailure>> {
        let number = self.started_calls.fetch_add(1, Ordering::Relaxed);
        let request: RequestId = name(&format!("r{number}"));
        let mut plan = CallPlan::new(request.clone());
        plan.repeatable = repeatable;
        plan.mode = mode;
        let candidates: Vec<TargetName> = vec![name("e1"), name("e2")];
        let route = RouteCandidates {
            candidates: candidates.into(),
            versions: vec![name("1"), name("1")],
            declared: true,
        };
        let job = GenerationJob {
            plan,
            item: WorkItem {
                request,
                workspace: name("tarn"),
                weight: 1,
                queue_limit: 8,
                stream_limit: 8,
                model: Some(name("quill")),
                kind: CallKind::Completion,
                prompt_tokens: TokenCount(4),
                max_tokens: None,
                prefix: 0,
                candidates: route.candidates.clone(),
                excluded: Vec::new(),
                arrival: self.context.clock.now(),
                deadline: None,
            },
            spec: "quill".parse().expect("a model"),
            route: Arc::new(route),
            path: "completions",
            body: Map::new(),
            fingerprint: RequestFingerprint::new("quill", b"prompt"),
        };
        tokio::spawn(read_answer(GenerationRelay::new(self.context.clone(), job)))
    }
}

async fn read_answer(mut relay: GenerationRelay) -> Result<String, CallFailure> {
    let mut answer = String::new();
    while let Some(step) = relay.next_output().await {
        match step {
            GenerationOutput::Chunk(bytes) | GenerationOutput::Finished(bytes) => {
                answer.push_str(&String::from_utf8_lossy(&bytes));
            }
            GenerationOutput::Failed(failure) | GenerationOutput::Detached(failure) => {
                return Err(failure);
            }
            GenerationOutput::Rejected { status, .. } => panic!("rejected with {status}"),
        }
    }
    Ok(answer)
}

/// Keeps the pause watch from detecting a pause.
async fn tick(pause: PauseDetector) {
    loop {
        pause.record_tick();
        sleep(Duration::from_millis(100)).await;
    }
}
