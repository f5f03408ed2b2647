//! Unit tests of small types of the node crate: answers, tokens, keys, the work gate and routing.

use std::sync::Arc;
use std::time::Duration;

use base::{ClockTime, ErrorKind, IncarnationNumber, RanState, WorkspaceName};
use calls::CallFailure;
use fleet::{FleetDeclaration, KeySet, KeyText, make_head, validate_set};
use node::{
    AnswerCollector, AnswerHead, AnswerPart, EngineHealth, LoadedVersion, ModelSpec, NodeView,
    PeerKey, ResumeKey, ResumeToken, RouteCache, SharedAnswer, TargetPhase, TargetView, WorkGate,
};
use serde_json::{Value, json};
use tokio::time::timeout;
use yare::parameterized;

/// Longest wait for another task, after which a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn name<T: std::str::FromStr<Err = base::ParseError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn collect(chunks: &[Value]) -> Value {
    let mut collector = AnswerCollector::new();
    for chunk in chunks {
        collector.add(chunk.to_string().as_bytes());
    }
    serde_json::from_slice(&collector.finish()).expect("an object")
}

/// Guards against a chat answer collected from chunks that lacks or repeats parts of them.
#[test]
fn chat_chunks_are_joined_into_one_answer() {
    let answer = collect(&[
        json!({"id": "a", "object": "chat.completion.chunk", "choices": [
            {"index": 0, "delta": {"role": "assistant", "content": ""}, "finish_reason": null}]}),
        json!({"choices": [{"index": 0, "delta": {"content": "one "}},
            {"index": 1, "delta": {"content": "other "}}]}),
        json!({"choices": [{"index": 1, "delta": {"content": "choice"}}]}),
        json!({"choices": [{"index": 0, "delta": {"content": "two"}, "finish_reason": "stop"}],
            "usage": null}),
        json!({"choices": [], "usage": {"completion_tokens": 4}}),
    ]);
    assert_eq!(answer["object"], "chat.completion");
    let choice = &answer["choices"][0];
    assert_eq!(choice["message"]["content"], "one two");
    assert_eq!(choice["message"]["role"], "assistant");
    assert_eq!(choice["finish_reason"], "stop");
    assert_eq!(answer["choices"][1]["message"]["content"], "other choice");
    assert_eq!(answer["usage"]["completion_tokens"], 4);
    assert!(choice.get("delta").is_none());
}

/// Guards against arguments of one tool call that are appended to another.
#[test]
fn tool_calls_are_joined_by_index() {
    let call = |index: u32, text: &str| {
        json!({"choices": [{"index": 0, "delta": {"tool_calls": [
            {"index": index, "function": {"arguments": text}}]}}]})
    };
    let first = json!({"choices": [{"index": 0, "delta": {"tool_calls": [
        {"index": 0, "id": "c0", "function": {"name": "look_up", "arguments": ""}}]}}]});
    let answer = collect(&[first, call(0, "{\"a\""), call(1, "{}"), call(0, ":1}")]);
    let calls = &answer["choices"][0]["message"]["tool_calls"];
    assert_eq!(calls[0]["function"]["arguments"], "{\"a\":1}");
    assert_eq!(calls[0]["function"]["name"], "look_up");
    assert_eq!(calls[1]["function"]["arguments"], "{}");
}

/// Guards against a chunk of unknown form that corrupts the answer, and against tokens of a
/// discarded generation that remain in it.
#[test]
fn unknown_chunks_are_ignored() {
    let mut collector = AnswerCollector::new();
    collector.add(br#"{"choices":[{"index":0,"text":"lost"}]}"#);
    collector.clear();
    assert_eq!(collector.size(), 0);
    for chunk in [&b"[DONE]"[..], b"", b"\xff", b"[1]", b"{\"choices\":7}"] {
        collector.add(chunk);
    }
    collector.add(br#"{"choices":[7,{"text":"a"},{"index":0,"text":"b"}]}"#);
    let answer: Value = serde_json::from_slice(&collector.finish()).expect("an object");
    assert_eq!(answer["choices"][0]["text"], "ab");
}

fn token(workspace: &WorkspaceName) -> (ResumeKey, ResumeToken) {
    let key = ResumeKey::new("a secret of the fleet");
    let token = ResumeToken::new(&key, workspace, name("e1"), name("g1-2"));
    (key, token)
}

/// Guards against a forged resume token, with which a caller could read the generation of another
/// workspace or name any target.
#[test]
fn a_changed_resume_token_is_refused() {
    let workspace = name("tarn");
    let (key, token) = token(&workspace);
    let id = format!("{token}.12");
    let read = ResumeToken::parse(&key, &workspace, &id);
    assert_eq!(read, Some((token.clone(), 12)));
    assert_eq!(ResumeToken::parse(&key, &name("other"), &id), None);
    let other = ResumeKey::new("another secret");
    assert_eq!(ResumeToken::parse(&other, &workspace, &id), None);
    // A change of any byte of the token is detected; the bytes after the last dot are the offset.
    for at in 0..token.to_string().len() {
        let mut bytes = id.clone().into_bytes();
        bytes[at] = if bytes[at] == b'x' { b'y' } else { b'x' };
        let changed = String::from_utf8(bytes).expect("ASCII");
        let read = ResumeToken::parse(&key, &workspace, &changed);
        assert_eq!(read, None, "{changed}");
    }
}

/// Guards against a malformed event id that is read as a valid one.
#[parameterized(
    empty = { "" },
    only_dot = { "." },
    no_offset = { "e1~g1~00." },
    negative = { "e1~g1~00.-1" },
    too_large = { "e1~g1~00.99999999999999999999" },
    few_parts = { "e1~g1.7" },
    many_parts = { "e1~g1~00~00.7" },
    no_names = { "~~.7" },
)]
fn a_malformed_event_id_is_refused(id: &str) {
    let workspace = name("tarn");
    let (key, _) = token(&workspace);
    assert_eq!(ResumeToken::parse(&key, &workspace, id), None);
}

/// Guards against accepting peer messages with a changed body or path, or of another
/// fleet, which have been signed with another key.
#[test]
fn a_peer_message_needs_its_own_mac() {
    let key = PeerKey::new("a secret of the fleet");
    let mac = key.sign("/peer/tell", b"body");
    assert!(key.verify("/peer/tell", b"body", &mac));
    assert!(!key.verify("/peer/tell", b"bodz", &mac));
    assert!(!key.verify("/peer/tel", b"lbody", &mac));
    assert!(!PeerKey::new("another secret").verify("/peer/tell", b"body", &mac));
    for wrong in ["", &mac[1..], &format!("{mac}0"), &mac.to_uppercase()] {
        assert!(!key.verify("/peer/tell", b"body", wrong), "{wrong}");
    }
}

fn head() -> AnswerHead {
    AnswerHead {
        status: 200,
        content_type: "text/plain".into(),
    }
}

async fn read_all(answer: SharedAnswer) -> (Result<AnswerHead, CallFailure>, Vec<AnswerPart>) {
    let head = answer.wait_head().await;
    let mut parts = Vec::new();
    loop {
        let part = answer.wait_part(parts.len()).await;
        let last = !matches!(part, AnswerPart::Chunk(_));
        parts.push(part);
        if last {
            return (head, parts);
        }
    }
}

/// Guards against a repeated request that gets less of the answer than the first one, however late
/// it joins.
#[tokio::test(flavor = "multi_thread")]
async fn every_reader_gets_the_whole_answer() {
    let answer = SharedAnswer::new();
    let mut readers = Vec::new();
    for at in 0..50_u8 {
        readers.push(tokio::spawn(read_all(answer.clone())));
        if at == 5 {
            answer.set_head(head());
        }
        if at >= 10 {
            answer.push(vec![at].into());
        }
        tokio::task::yield_now().await;
    }
    answer.push(Vec::new().into());
    answer.end();
    // An answer that has ended no longer changes.
    answer.fail(CallFailure::new(ErrorKind::Internal));
    readers.push(tokio::spawn(read_all(answer.clone())));
    let mut expected: Vec<AnswerPart> = (10..50)
        .map(|at| AnswerPart::Chunk(vec![at].into()))
        .collect();
    expected.push(AnswerPart::End);
    for reader in readers {
        let read = timeout(WAIT_LIMIT, reader).await.expect("the answer ends");
        let (head_read, parts) = read.expect("no panic");
        assert_eq!(head_read, Ok(head()));
        assert_eq!(parts, expected);
    }
    assert_eq!(answer.complete_body().map(|body| body.len()), Some(40));
}

/// Guards against a failed answer that is retained, or is taken for a complete one.
#[tokio::test]
async fn a_failed_answer_stays_failed() {
    let failure = CallFailure::new(ErrorKind::TargetLost);
    let answer = SharedAnswer::new();
    answer.fail(failure);
    answer.end();
    assert_eq!(answer.wait_head().await, Err(failure));
    assert_eq!(answer.complete_body(), None);
    let begun = SharedAnswer::new();
    begun.set_head(head());
    begun.push("part".into());
    begun.fail(failure);
    begun.end();
    let (head_read, parts) = read_all(begun.clone()).await;
    assert_eq!(head_read, Ok(head()));
    assert_eq!(parts[1], AnswerPart::Failed(failure));
    assert_eq!(begun.complete_body(), None);
    assert_eq!(failure.ran, RanState::Unknown);
}

/// Guards against work that is admitted after a planned stop began, and against a stop that does
/// not wait for work in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_gate_waits_for_work_in_flight() {
    let gate = WorkGate::new();
    let mut tasks = Vec::new();
    for _ in 0..32 {
        let gate = gate.clone();
        tasks.push(tokio::spawn(async move {
            let mut entered = 0;
            while let Some(permit) = gate.enter() {
                entered += 1;
                tokio::task::yield_now().await;
                drop(permit);
            }
            entered
        }));
    }
    let inside = gate.enter().expect("the gate is open");
    tokio::time::sleep(Duration::from_millis(20)).await;
    gate.close();
    assert!(gate.enter().is_none() && gate.is_closed());
    for task in tasks {
        assert!(task.await.expect("no panic") > 0);
    }
    assert_eq!(gate.running(), 1);
    let early = timeout(Duration::from_millis(50), gate.wait_until_empty()).await;
    assert!(early.is_err(), "a request is still in flight");
    drop(inside);
    let drained = timeout(WAIT_LIMIT, gate.wait_until_empty()).await;
    assert!(drained.is_ok() && gate.running() == 0);
}

const FLEET: &str = "\
[domain patan]
[node n1]
domain = patan
peer_address = 192.0.2.1:8082
[model quill]
[target e1]
kind = engine
domain = patan
address = 192.0.2.11:8000
labels = pool=main
[target e2]
kind = engine
domain = patan
address = 192.0.2.12:8000
labels = pool=main
[target e3]
kind = engine
domain = patan
address = 192.0.2.13:8000
labels = pool=main
[target e4]
kind = engine
domain = patan
address = 192.0.2.14:8000
labels = pool=other
[workspace gold]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000ff
labels = tier=gold
[workspace plain]
key_sha256 = 00000000000000000000000000000000000000000000000000000000000000fe
[route all]
requests = model
targets = kind=engine,pool=main,version in (1,2)
[route gold]
requests = tier=gold
targets = kind=engine,pool=main,version=3
[rollout quill]
model = quill
version = 2
targets = pool=main
";

fn declared() -> FleetDeclaration {
    let keys = vec![KeyText::new("fleet.ini", FLEET)];
    validate_set(&KeySet::new(make_head(1, &keys), keys)).expect("a valid declaration")
}

fn engine(target: &str, versions: &[&str]) -> TargetView {
    let mut view = TargetView::new(name(target), ClockTime::ZERO);
    view.set_phase(TargetPhase::Up, ClockTime::ZERO);
    let loaded = versions.iter().map(|version| LoadedVersion {
        model: name("quill"),
        version: name(version.trim_end_matches('!')),
        adapters: vec![],
        ready: !version.ends_with('!'),
        failure: None,
        load_rate: None,
    });
    view.health = Some(EngineHealth {
        incarnation: IncarnationNumber(1),
        leaving: false,
        role: None,
        loaded: loaded.collect(),
        fencing: None,
    });
    view
}

fn view_of(version: u64, fleet: &FleetDeclaration, targets: Vec<TargetView>) -> NodeView {
    NodeView {
        version,
        fleet: Some(Arc::new(fleet.clone())),
        ready: true,
        targets,
        ..NodeView::default()
    }
}

fn candidates(
    cache: &RouteCache,
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &str,
    spec: &str,
) -> Vec<String> {
    let workspace = fleet.workspace(&name(workspace)).expect("declared");
    let spec: ModelSpec = spec.parse().expect("a model");
    let route = cache.model_candidates(view, fleet, workspace, &spec);
    let pairs = route.candidates.iter().zip(&route.versions);
    pairs
        .map(|(target, version)| format!("{target}:{version}"))
        .collect()
}

/// Guards against requesting the wrong version from a target while several versions are loaded.
#[test]
fn versions_loaded_side_by_side_are_told_apart() {
    let fleet = declared();
    let targets = vec![
        engine("e1", &["1", "2", "3"]),
        engine("e2", &["1", "2!"]),
        engine("e3", &["3"]),
        engine("e4", &["2"]),
    ];
    let view = view_of(1, &fleet, targets);
    let cache = RouteCache::new();
    let choose = |workspace, spec| candidates(&cache, &view, &fleet, workspace, spec);
    // The version that the rollout wants is preferred where it is ready; elsewhere another serves.
    assert_eq!(choose("plain", "quill"), ["e1:2", "e2:1"]);
    assert_eq!(choose("plain", "quill:1"), ["e1:1", "e2:1"]);
    assert_eq!(choose("plain", "quill:2"), ["e1:2"]);
    // No route allows version 3 to this workspace.
    assert!(choose("plain", "quill:3").is_empty());
    assert_eq!(choose("gold", "quill:3"), ["e1:3", "e3:3"]);
    assert_eq!(choose("gold", "quill"), ["e1:2", "e2:1", "e3:3"]);
    assert!(choose("gold", "quill+law").is_empty());
}

/// Guards against cached candidates of an older view, and against those of another workspace.
#[test]
fn cached_candidates_follow_the_view() {
    let fleet = declared();
    let cache = RouteCache::new();
    let both = vec![engine("e1", &["2"]), engine("e2", &["2"])];
    let first = view_of(1, &fleet, both.clone());
    assert_eq!(
        candidates(&cache, &first, &fleet, "plain", "quill"),
        ["e1:2", "e2:2"]
    );
    for phase in [
        TargetPhase::Leaving,
        TargetPhase::Down,
        TargetPhase::Unknown,
    ] {
        let mut targets = both.clone();
        targets[0].set_phase(phase, ClockTime::ZERO);
        let second = view_of(2 + phase as u64, &fleet, targets);
        let chosen = candidates(&cache, &second, &fleet, "plain", "quill");
        assert_eq!(chosen, ["e2:2"], "{phase}");
    }
    // A request that still holds the older view must not spoil the newer one.
    let newest = view_of(9, &fleet, vec![engine("e2", &["1"])]);
    for _ in 0..2 {
        assert_eq!(
            candidates(&cache, &newest, &fleet, "plain", "quill"),
            ["e2:1"]
        );
        assert_eq!(
            candidates(&cache, &first, &fleet, "plain", "quill"),
            ["e1:2", "e2:2"]
        );
    }
}
