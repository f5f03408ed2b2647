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

use super::fake_runner::{CRASHER, PIECES};
use super::soak_history::{CallEnd, CallKind, CallRecord, Recorder};

/// Host of all routes.
pub const HOST: &str = "depot.example";
/// Longest time for which a caller waits, and what it says of it.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest time to connect.
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// Calls on one connection before a caller takes another node.
const CALLS_PER_CONNECTION: u32 = 40;
/// Longest pause between two calls.
const PAUSE_MS: u64 = 60;
/// Calls that crash their targets.
const CRASHERS: [CallKind; 3] = [CallKind::Plan, CallKind::Order, CallKind::Read];

/// What all callers share.
pub struct CallerShare {
    pub recorder: Recorder,
    pub gateways: Vec<SocketAddr>,
    pub is_over: AtomicBool,
    pub next_id: AtomicU64,
}

/// A caller that keeps a connection open as long as the node does.
pub struct SoakCaller {
    share: Arc<CallerShare>,
    random: Pcg64,
    /// Whether it sends only calls that crash their targets.
    is_crasher: bool,
    number: u64,
}

impl SoakCaller {
    pub fn new(share: Arc<CallerShare>, seed: u64, number: u64, is_crasher: bool) -> Self {
        Self {
            share,
            random: Pcg64::seed_from_u64(seed ^ (number << 32)),
            is_crasher,
            number,
        }
    }

    /// Calls until the soak is over.
    pub async fn run(mut self) {
        while !self.is_over() {
            let gateway = self.random.random_range(0..self.share.gateways.len());
            let address = self.share.gateways[gateway];
            let connected = timeout(CONNECT_WAIT, TcpStream::connect(address)).await;
            let Ok(Ok(stream)) = connected else {
                self.pause().await;
                continue;
            };
            let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
                continue;
            };
            tokio::spawn(connection);
            for _ in 0..CALLS_PER_CONNECTION {
                if self.is_over() || sender.ready().await.is_err() {
                    break;
                }
                if !self.call(&mut sender, gateway).await {
                    break;
                }
                self.pause().await;
            }
        }
    }

    fn is_over(&self) -> bool {
        self.share.is_over.load(Ordering::Relaxed)
    }

    async fn pause(&mut self) {
        let pause = self.random.random_range(1..PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Makes one call; `false` if the connection is over.
    async fn call(&mut self, sender: &mut SendRequest<Full<Bytes>>, gateway: usize) -> bool {
        let kinds = [CallKind::Order, CallKind::Read, CallKind::Plan];
        let kind = *kinds.choose(&mut self.random).unwrap();
        let crasher = self.is_crasher.then(|| {
            let place = self.random.random_range(0..CRASHERS.len() as u32);
            place + 10 * self.number as u32
        });
        let kind = crasher.map_or(kind, |number| CRASHERS[number as usize % 10]);
        let number = self.share.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("a{number:x}");
        let body = match crasher {
            Some(crasher) => format!("{CRASHER}{crasher}"),
            None => format!("call {id}"),
        };
        let recorder = &self.share.recorder;
        recorder.sent(
            &id,
            CallRecord {
                kind,
                crasher,
                gateway,
                sent: recorder.now(),
                end: None,
            },
        );
        let answered = timeout(PATIENCE, send(sender, kind, &id, body)).await;
        let (mut end, goes_on) = answered.unwrap_or((
            CallEnd {
                has_given_up: true,
                ..CallEnd::default()
            },
            false,
        ));
        end.at = recorder.now();
        recorder.ended(&id, end);
        goes_on
    }
}

/// Sends a call and reads its answer; also tells whether the connection goes on.
async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    kind: CallKind,
    id: &str,
    body: String,
) -> (CallEnd, bool) {
    let path = match kind {
        CallKind::Order => "/order/1",
        CallKind::Read => "/read/1",
        CallKind::Plan => "/plan/1",
    };
    let mut request = Request::post(path)
        .header("host", HOST)
        .header("request-attempt-id", id)
        .header("deadline-remaining", PATIENCE.as_millis().to_string())
        .header("api-key", "depot-key");
    if kind == CallKind::Plan {
        request = request.header("token-counts", "200,80");
    }
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let Ok(response) = sender.send_request(request).await else {
        return (CallEnd::default(), false);
    };
    let (parts, body) = response.into_parts();
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let goes_on = text("connection").as_deref() != Some("close");
    let Ok(body) = body.collect().await else {
        return (CallEnd::default(), false);
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let is_sealed = text("response-seal") == Some(format!("seal-{id}"));
    let is_ours = text("request-attempt-id").as_deref() == Some(id);
    let run = text("x-run").and_then(|run| run.parse().ok());
    let end = CallEnd {
        at: 0,
        status: Some(parts.status.as_u16()),
        is_own: is_sealed && is_ours && body == expected_body(kind, id),
        has_given_up: false,
        leaving_run: text("server-leaving").and(run),
    };
    (end, goes_on)
}

fn expected_body(kind: CallKind, id: &str) -> String {
    match kind {
        CallKind::Order | CallKind::Read => format!("answer to {id}"),
        CallKind::Plan => (1..=PIECES)
            .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
            .collect(),
    }
}
