use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fake_runner::{CRASH_BODY_PREFIX, DEADLY_PART, STREAM_EVENTS};
use super::soak_history::{AttemptEnd, AttemptRecord, CallKind, Recorder};

/// Host name of all routes.
pub const HOST: &str = "depot.example";
/// Time for which a caller waits for an answer; it also sends it as its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a caller waits for an answer that outlasts a planned stop.
const LONG_CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens of the prompt and most tokens of the answer of a stream.
const SHORT_TOKENS: &str = "200,80";
/// The same of a stream that outlasts a planned stop.
pub const LONG_TOKENS: &str = "200,2000";
/// Connections that a caller keeps to each gateway.
const KEPT_CONNECTIONS: usize = 8;
/// Longest pause between two calls of a caller that keeps connections.
const MAX_KEEPING_PAUSE_MS: u64 = 300;
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls on one connection before a caller connects to another gateway.
const CALLS_PER_CONNECTION: u32 = 40;
/// Longest pause between two calls.
const MAX_PAUSE_MS: u64 = 60;
/// First parts of prompts, which many calls share.
const COMMON_PARTS: u32 = 4;
/// One in this many streams of a caller that uses the deadly part has it.
const DEADLY_ONE_IN: u32 = 3;
/// Kinds of the calls of one caller that crash their targets, by the last digit of their number.
const CRASHING_KINDS: [CallKind; 3] = [CallKind::Stream, CallKind::Order, CallKind::Read];

/// State that all callers share.
pub struct CallerContext {
    pub recorder: Recorder,
    pub gateways: Vec<SocketAddr>,
    /// Whether the soak is over.
    pub is_finished: AtomicBool,
    /// Number of the next attempt.
    pub next_attempt: AtomicU64,
    /// Whether each gateway gets new connections.
    pub rotation: Vec<AtomicBool>,
}

/// A caller that makes several calls on one connection while the gateway keeps it open.
pub struct SoakCaller {
    context: Arc<CallerContext>,
    random: Pcg64,
    /// What its calls do to their targets.
    habit: CallerHabit,
    number: u64,
}

/// What the calls of a caller do to their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerHabit {
    /// They do no harm.
    Sound,
    /// They crash their targets; each is repeated with the same content.
    Crashing,
    /// It keeps several connections to each gateway and uses each of them rarely, for plain calls.
    Keeping,
    /// It makes streams that outlast a planned stop.
    LongStreams,
    /// Some of its streams have a part in their prompts that crashes targets; no two are alike.
    DeadlyPart,
}

impl CallerHabit {
    /// Kinds of the calls.
    fn kinds(self) -> &'static [CallKind] {
        match self {
            Self::Keeping => &[CallKind::Order, CallKind::Read],
            Self::LongStreams => &[CallKind::Stream],
            _ => &[CallKind::Order, CallKind::Read, CallKind::Stream],
        }
    }
}

/// Sending half of a connection to a gateway.
type Sender = SendRequest<Full<Bytes>>;

impl SoakCaller {
    pub fn new(context: Arc<CallerContext>, seed: u64, number: u64, habit: CallerHabit) -> Self {
        Self {
            context,
            random: Pcg64::seed_from_u64(seed ^ (number << 32)),
            habit,
            number,
        }
    }

    /// Makes calls until the soak is over.
    pub async fn run(self) {
        match self.habit {
            CallerHabit::Keeping => self.run_keeping().await,
            _ => self.run_in_turn().await,
        }
    }

    /// Makes calls on connections that it keeps to all gateways, each call on a random one.
    async fn run_keeping(mut self) {
        let gateways = self.context.gateways.len();
        let mut kept: Vec<Vec<Sender>> = Vec::new();
        kept.resize_with(gateways, Vec::new);
        while !self.is_finished() {
            let gateway = self.random.random_range(0..gateways);
            let is_in_rotation = self.context.rotation[gateway].load(Ordering::Relaxed);
            while is_in_rotation && kept[gateway].len() < KEPT_CONNECTIONS {
                let Some(sender) = self.connect(gateway).await else {
                    break;
                };
                kept[gateway].push(sender);
            }
            if !kept[gateway].is_empty() {
                let mut sender = kept[gateway].remove(0);
                if sender.ready().await.is_ok() && self.call(&mut sender, gateway).await {
                    kept[gateway].push(sender);
                }
            }
            let pause = self.random.random_range(1..MAX_KEEPING_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn connect(&self, gateway: usize) -> Option<Sender> {
        let address = self.context.gateways[gateway];
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    /// Makes several calls on a connection to one gateway, then on one to another.
    async fn run_in_turn(mut self) {
        while !self.is_finished() {
            let gateways = self.context.gateways.len();
            let gateway = match self.habit {
                CallerHabit::LongStreams => self.number as usize / 4 % gateways,
                _ => self.random.random_range(0..gateways),
            };
            let Some(mut sender) = self.connect(gateway).await else {
                self.pause().await;
                continue;
            };
            for _ in 0..CALLS_PER_CONNECTION {
                if self.is_finished() || sender.ready().await.is_err() {
                    break;
                }
                if !self.call(&mut sender, gateway).await {
                    break;
                }
                self.pause().await;
            }
        }
    }

    fn is_finished(&self) -> bool {
        self.context.is_finished.load(Ordering::Relaxed)
    }

    async fn pause(&mut self) {
        let pause = self.random.random_range(1..MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Makes one call; `false` if the connection can't be used again.
    async fn call(&mut self, sender: &mut Sender, gateway: usize) -> bool {
        let kinds = self.habit.kinds();
        let kind = *kinds.choose(&mut self.random).unwrap();
        let crashing_call = (self.habit == CallerHabit::Crashing).then(|| {
            let index = self.random.random_range(0..CRASHING_KINDS.len() as u32);
            index + 10 * self.number as u32
        });
        let kind = crashing_call.map_or(kind, |number| CRASHING_KINDS[number as usize % 10]);
        let number = self.context.next_attempt.fetch_add(1, Ordering::Relaxed);
        let id = format!("a{number:x}");
        let body = match crashing_call {
            Some(crashing_call) => format!("{CRASH_BODY_PREFIX}{crashing_call}"),
            None => format!("call {id}"),
        };
        let has_deadly_part = self.habit == CallerHabit::DeadlyPart
            && kind == CallKind::Stream
            && self.random.random_range(0..DEADLY_ONE_IN) == 0;
        let common = self.random.random_range(0..COMMON_PARTS);
        let deadly = match has_deadly_part {
            true => format!("{DEADLY_PART}:30,"),
            false => String::new(),
        };
        let prompt_parts = format!("c0{common}:40,{deadly}{number:x}:130");
        let recorder = &self.context.recorder;
        recorder.record_attempt(
            &id,
            AttemptRecord {
                kind,
                crashing_call,
                has_deadly_part,
                gateway,
                sent: recorder.now(),
                end: None,
            },
        );
        let call_timeout = match self.habit {
            CallerHabit::LongStreams => LONG_CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let result = timeout(
            call_timeout,
            send_call(sender, kind, &id, &prompt_parts, body, call_timeout),
        )
        .await;
        let (mut end, is_reusable) = result.unwrap_or((
            AttemptEnd {
                has_timed_out: true,
                ..AttemptEnd::default()
            },
            false,
        ));
        end.at = recorder.now();
        recorder.record_end(&id, end);
        is_reusable
    }
}

/// Sends a call and reads its answer; also tells whether the connection can be used again.
async fn send_call(
    sender: &mut Sender,
    kind: CallKind,
    id: &str,
    prompt_parts: &str,
    body: String,
    call_timeout: Duration,
) -> (AttemptEnd, bool) {
    let path = match kind {
        CallKind::Order => "/order/1",
        CallKind::Read => "/read/1",
        CallKind::Stream => "/plan/1",
    };
    let mut request = Request::post(path)
        .header("host", HOST)
        .header("request-attempt-id", id)
        .header("deadline-remaining", call_timeout.as_millis().to_string())
        .header("api-key", "depot-key");
    if kind == CallKind::Stream {
        let tokens = match call_timeout {
            LONG_CALL_TIMEOUT => LONG_TOKENS,
            _ => SHORT_TOKENS,
        };
        request = request
            .header("token-counts", tokens)
            .header("prompt-prefix", prompt_parts);
    }
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let Ok(response) = sender.send_request(request).await else {
        return (AttemptEnd::default(), false);
    };
    let (parts, body) = response.into_parts();
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let is_reusable = text("connection").as_deref() != Some("close");
    let Ok(body) = body.collect().await else {
        return (AttemptEnd::default(), false);
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let is_sealed = text("response-seal") == Some(format!("seal-{id}"));
    let has_own_id = text("request-attempt-id").as_deref() == Some(id);
    let run = text("x-run").and_then(|run| run.parse().ok());
    let end = AttemptEnd {
        at: 0,
        status: Some(parts.status.as_u16()),
        is_correct: is_sealed && has_own_id && body == expected_body(kind, id),
        has_timed_out: false,
        leaving_instance: text("server-leaving").and(run),
    };
    (end, is_reusable)
}

fn expected_body(kind: CallKind, id: &str) -> String {
    match kind {
        CallKind::Order | CallKind::Read => format!("answer to {id}"),
        CallKind::Stream => (1..=STREAM_EVENTS)
            .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
            .collect(),
    }
}
