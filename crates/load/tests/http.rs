//! Tests of the load generator over HTTP, against a server in the test process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use load::{LengthHint, LoadError, LoadOutcome, LoadPlan, WorkloadKind, run_load};
use tokio::net::TcpListener;

/// How the server answers a call; it goes through a list of these in turn.
#[derive(Clone, Copy)]
enum Answer {
    Complete,
    DoubledOffset,
    WrongCount,
    NoDone,
    Overloaded,
    StreamError,
    NodeIds,
    StandInLength,
}

fn stream_text(answer: Answer, tokens: u64) -> String {
    let mut text = String::from(": comment\n\n");
    for offset in 0..tokens {
        let shown = match answer {
            Answer::DoubledOffset => offset / 2,
            _ => offset,
        };
        let id = match answer {
            Answer::NodeIds => format!("e1~g1~mac.{shown}"),
            _ => format!("g1:{shown}"),
        };
        text += &format!("id: {id}\ndata: {{\"choices\":[{{\"text\":\"t\"}}]}}\n\n");
    }
    match answer {
        Answer::StreamError => text += "data: {\"error\":{\"code\":\"generation_lost\"}}\n\n",
        Answer::NoDone => {}
        Answer::WrongCount => {
            text += &format!(
                "data: {{\"usage\":{{\"completion_tokens\":{}}}}}\n\n",
                tokens + 1
            );
            text += "data: [DONE]\n\n";
        }
        _ => text += "data: [DONE]\n\n",
    }
    text
}

async fn answer_call(request: Request<Incoming>, answer: Answer) -> Response<Full<Bytes>> {
    assert_eq!(request.headers()["authorization"], "Bearer secret");
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["stream"], true);
    if let Answer::Overloaded = answer {
        let text = "{\"error\":{\"code\":\"overloaded\"}}";
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
        return response;
    }
    let length = match answer {
        Answer::StandInLength => "stand_in_tokens",
        _ => "max_tokens",
    };
    let tokens = body[length].as_u64().unwrap().clamp(2, 8);
    Response::new(Full::new(Bytes::from(stream_text(answer, tokens))))
}

async fn serve(answers: Vec<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (answers, next) = (Arc::new(answers), Arc::new(AtomicUsize::new(0)));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answers, next) = (Arc::clone(&answers), Arc::clone(&next));
            let service = service_fn(move |request| {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let answer = answers[at % answers.len()];
                async move { Ok::<_, Infallible>(answer_call(request, answer).await) }
            });
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn run(answers: Vec<Answer>, calls: usize) -> LoadOutcome {
    let address = serve(answers).await;
    let mut plan = LoadPlan::new(WorkloadKind::LanternaSul.mix(), "quill".parse().unwrap())
        .with_node(address)
        .with_key("ws-00".parse().unwrap(), "secret");
    plan.rate = 200.0;
    plan.duration = "5s".parse().unwrap();
    plan.call_limit = calls;
    run_load(plan).await.unwrap()
}

/// Guards against counting complete, correct answers as faulty.
#[tokio::test]
async fn complete_answers_are_counted() {
    let outcome = run(vec![Answer::Complete], 40).await;
    assert_eq!(outcome.outcomes["complete"], 40);
    assert_eq!((outcome.order_faults, outcome.count_faults), (0, 0));
    assert!(outcome.metrics.goodput_tokens_per_s > 0.0);
}

/// Guards against counting event ids of nodes, which end in a dot and the offset, as wrong.
#[tokio::test]
async fn event_ids_of_nodes_are_read() {
    let outcome = run(vec![Answer::NodeIds], 10).await;
    assert_eq!(outcome.outcomes["complete"], 10);
    assert_eq!(outcome.order_faults, 0);
    assert_eq!(
        (outcome.lost_tokens, outcome.has_stream_fault()),
        (0, false)
    );
}

/// Guards against calls that don't tell a stand-in the output length that the workload asks for.
#[tokio::test]
async fn stand_in_is_told_the_length() {
    let address = serve(vec![Answer::StandInLength]).await;
    let mut plan = LoadPlan::new(WorkloadKind::LanternaSul.mix(), "quill".parse().unwrap())
        .with_node(address)
        .with_key("ws-00".parse().unwrap(), "secret");
    plan.length_hint = LengthHint::StandInField;
    plan.rate = 200.0;
    plan.call_limit = 10;
    let outcome = run_load(plan).await.unwrap();
    assert_eq!(outcome.outcomes["complete"], 10);
}

/// Guards against stream checks that miss doubled offsets, wrong counts, a missing end, refusals
/// or errors within the stream.
#[tokio::test]
async fn faulty_streams_are_classified() {
    let answers = vec![
        Answer::DoubledOffset,
        Answer::WrongCount,
        Answer::NoDone,
        Answer::Overloaded,
        Answer::StreamError,
    ];
    let outcome = run(answers, 50).await;
    assert_eq!(outcome.outcomes["complete"], 20);
    assert_eq!(outcome.outcomes["refused overloaded"], 10);
    assert_eq!(outcome.outcomes["failed no_done"], 10);
    assert_eq!(outcome.outcomes["failed generation_lost"], 10);
    assert_eq!(outcome.count_faults, 10);
    assert!(outcome.order_faults >= 10);
}

/// Guards against sending load to other machines.
#[tokio::test]
async fn foreign_addresses_are_refused() {
    let plan = LoadPlan::new(WorkloadKind::Kanchan.mix(), "quill".parse().unwrap())
        .with_node("192.0.2.1:80".parse().unwrap())
        .with_key("ws-00".parse().unwrap(), "secret");
    let error = run_load(plan).await.unwrap_err();
    assert!(matches!(error, LoadError::NotLoopback { .. }));
}
