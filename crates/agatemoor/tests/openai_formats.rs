//! Answers have the format that OpenAI's client libraries require.

use agatemoor::{DemoCaller, DemoFleet};
use hyper::Method;
use node::AnswerCollector;
use serde_json::Value;

/// Guards against a non-streamed chat answer without a role when the engine's chunks name none.
#[test]
fn chat_answer_has_a_role() {
    let mut collector = AnswerCollector::new();
    collector.add(
        br#"{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"a"}}]}"#,
    );
    let answer: Value = serde_json::from_slice(&collector.finish()).unwrap();
    assert_eq!(answer["choices"][0]["message"]["role"], "assistant");
    assert_eq!(answer["choices"][0]["message"]["content"], "a");
}

/// Guards against a chat message in the answer to a plain completion.
#[test]
fn completion_has_no_message() {
    let mut collector = AnswerCollector::new();
    collector.add(br#"{"object":"text_completion","choices":[{"index":0,"text":"a"}]}"#);
    let answer: Value = serde_json::from_slice(&collector.finish()).unwrap();
    assert!(answer["choices"][0].get("message").is_none());
}

/// Guards against status 404 for `models.retrieve` of a model that is in the list.
#[tokio::test(flavor = "multi_thread")]
async fn single_model_can_be_read() {
    let fleet = DemoFleet::start().await.unwrap();
    let caller = DemoCaller::new(fleet.key());
    let node = fleet.nodes[0].callers;
    let get = |path: &'static str| caller.call(node, Method::GET, path, &[], Default::default());
    let listed = get("/v1/models").await.json();
    let found = get("/v1/models/quill").await;
    let missing = get("/v1/models/nope").await;
    assert_eq!(found.status, 200);
    assert_eq!(found.json(), listed["data"][0]);
    assert_eq!(
        (missing.status, missing.error_code().as_str()),
        (404, "not_found")
    );
    fleet.stop().await;
}
