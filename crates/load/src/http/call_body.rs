use sched::CallKind;
use serde_json::{Value, json};

use super::{LengthHint, LoadPlan};
use crate::CallSpec;

/// URL path of a call.
pub fn call_path(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Chat => "/v1/chat/completions",
        CallKind::Completion | CallKind::Service => "/v1/completions",
    }
}

/// Builds the JSON body of a call; the prompt has about one word for each token.
pub fn build_body(plan: &LoadPlan, spec: &CallSpec) -> String {
    let prompt = build_prompt(spec);
    let limit = match plan.length_hint {
        LengthHint::MaxTokens => Some(spec.output_tokens),
        LengthHint::StandInField => spec.max_tokens,
    };
    let mut body = json!({ "model": plan.model.as_str(), "stream": true });
    match spec.kind {
        CallKind::Chat => body["messages"] = json!([{ "role": "user", "content": prompt }]),
        CallKind::Completion | CallKind::Service => body["prompt"] = Value::from(prompt),
    }
    if let Some(limit) = limit {
        body["max_tokens"] = Value::from(limit);
    }
    if plan.length_hint == LengthHint::StandInField {
        body["stand_in_tokens"] = Value::from(spec.output_tokens);
    }
    body.to_string()
}

/// Builds a prompt whose prefix words depend only on the prefix fingerprint and whose other words
/// depend on the arrival.
fn build_prompt(spec: &CallSpec) -> String {
    let own = spec.prompt_tokens - spec.prefix_tokens;
    let mut words = Vec::with_capacity(spec.prompt_tokens as usize + 1);
    for at in 0..spec.prefix_tokens {
        words.push(format!("p{:x}{at:x}", spec.prefix % 256));
    }
    for at in 0..own {
        words.push(format!(
            "w{:x}",
            spec.arrival.wrapping_add(at.into()) % 4_096
        ));
    }
    words.join(" ")
}
