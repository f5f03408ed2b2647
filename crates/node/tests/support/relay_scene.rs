use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use base::{ClockTime, IncarnationNumber, RequestId, TargetName, TokenCount};
use calls::{AnswerMode, CallFailure, CallPlan, RequestFingerprint};
use fleet::{KeySet, KeyText, accept, make_head};
use node::{
    CallJob, CallMetrics, CallRelay, EngineHealth, EventJournal, HttpEngine, PauseDetector,
    RelayParts, RelayStep, ResumeKey, RouteCandidates, SchedActor, SchedHandle, SchedOutput,
    SystemClock, TargetPhase, TargetView, ViewCell,
};
use sched::{CallKind, WorkItem};
use serde_json::Map;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use web::{ConnectionPool, PoolSettings};

use super::{FakePolicy, TinyEngine};

/// Relays of a node with two engines, of which the first is chosen as long as it is not excluded.
pub struct RelayScene {
    started: AtomicUsize,
    pub parts: Arc<RelayParts>,
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

impl RelayScene {
    /// Creates the parts of a node that sees both engines up.
    pub fn new(first: &TinyEngine, second: &TinyEngine) -> Self {
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
        let parts = RelayParts {
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
        let fleet = accept(&KeySet::new(make_head(1, &keys), keys)).expect("a valid declaration");
        parts.view.update(|view| {
            view.fleet = Some(Arc::new(fleet));
            view.ready = true;
            view.targets = vec![target("e1"), target("e2")];
        });
        tokio::spawn(tick(parts.pause.clone()));
        Self {
            parts: Arc::new(parts),
            policy,
            started: AtomicUsize::new(1),
            _outputs: outputs,
        }
    }

    /// Lets the node learn that the first engine is about to be taken away.
    pub fn leave_first(&self) {
        let now = self.parts.clock.now();
        self.parts.view.update(|view| {
            view.targets[0].set_phase(TargetPhase::Leaving, now);
        });
    }

    /// Relays one call and returns its whole answer.
    pub fn start_call(
        &self,
        repeatable: bool,
        mode: AnswerMode,
    ) -> JoinHandle<Result<String, CallFailure>> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
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
        let job = CallJob {
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
                arrival: self.parts.clock.now(),
                deadline: None,
            },
            spec: "quill".parse().expect("a model"),
            route: Arc::new(route),
            path: "completions",
            body: Map::new(),
            print: RequestFingerprint::new("quill", b"prompt"),
        };
        tokio::spawn(read_answer(CallRelay::new(self.parts.clone(), job)))
    }
}

async fn read_answer(mut relay: CallRelay) -> Result<String, CallFailure> {
    let mut answer = String::new();
    while let Some(step) = relay.next_step().await {
        match step {
            RelayStep::Chunk(bytes) | RelayStep::Finished(bytes) => {
                answer.push_str(&String::from_utf8_lossy(&bytes));
            }
            RelayStep::Failed(failure) | RelayStep::Detached(failure) => return Err(failure),
            RelayStep::Rejected { status, .. } => panic!("rejected with {status}"),
        }
    }
    Ok(answer)
}

async fn tick(pause: PauseDetector) {
    loop {
        pause.record_tick();
        sleep(Duration::from_millis(100)).await;
    }
}
