//! The cases. Each returns the exit code: 1 if the rule was broken, 0 if it held.

mod drained_destination;
mod foreign_key;
mod forged_entry;
mod late_answer;
mod lost_answers;
mod moved_stream;

use std::thread::JoinHandle;

use crate::client::{Answer, Connection, record_answer};
use crate::gateway::Gateway;
use crate::record;

/// Runs a case by its name.
pub fn run(case: &str, trouble: bool) -> i32 {
    record::line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    match case {
        "drained-destination" => drained_destination::run(trouble),
        "foreign-key" => foreign_key::run(trouble),
        "forged-entry" => forged_entry::run(trouble),
        "late-answer" => late_answer::run(trouble),
        "lost-answers" => lost_answers::run(trouble),
        "moved-stream" => moved_stream::run(trouble),
        _ => panic!("no such case"),
    }
}

/// Records the verdict and returns the exit code.
fn verdict(rule: &str, broken: bool, seen: &str) -> i32 {
    let word = if broken { "BROKEN" } else { "held" };
    record::line(&format!("{rule} {word}: {seen}"));
    i32::from(broken)
}

/// A configuration with the given routes, services and tenants (each JSON).
fn config(version: u32, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

/// A plain service.
const PLAIN_SERVICE: &str = r#"{"name":"rounds-app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}"#;

/// A service of model runners.
const ENGINE_SERVICE: &str = r#"{"name":"pool","healthPath":"/health","maxConnections":252,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34288,"kvBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}"#;

/// A streaming route to the model runners.
const STREAM_ROUTE: &str = r#"{"name":"r-plan","host":"ficu95.example","prefix":"/plan/","routeType":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":180}"#;

/// A route to the plain service.
fn plain_route(kind: &str, timeout_ms: u32, target_ms: u32) -> String {
    format!(
        r#"{{"name":"r-pickup","host":"ficu95.example","prefix":"/pickup/","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{target_ms},"priority":2,"service":"rounds-app","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}"#
    )
}

/// Starts a requester that sends a generation and reads its stream to its end.
fn start_stream(gateway: &Gateway, id: &str, counts: &str, parts: &str) -> JoinHandle<Answer> {
    let id = id.to_owned();
    let is_recorded = !id.starts_with("short");
    let mut connection = Connection::open(&gateway.machine.front).expect("a connection");
    let headers = format!(
        "Api-Key: key-driver\r\nDeadline-Remaining: 39000\r\nModel: m\r\nToken-Counts: {counts}\r\nPrompt-Prefix: {parts}\r\n"
    );
    if is_recorded {
        record::line(&format!(
            "requester: sends POST /plan/1 ({id}), {counts} tokens"
        ));
    }
    connection
        .send("POST", "/plan/1", &id, &headers, "plan the week")
        .expect("sent");
    std::thread::spawn(move || {
        let answer = connection.read(|_| {});
        if is_recorded {
            record_answer(&id, &answer);
        }
        answer
    })
}
