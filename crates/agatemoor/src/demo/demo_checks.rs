use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use super::demo_caller::read_response;
use super::demo_report::DemoReport;
use super::{CallResponse, DemoCaller, DemoFleet};

/// Time after the start of a stream at which a fault is injected.
const FAULT_DELAY: Duration = Duration::from_millis(600);

/// Calls sent during a rollout.
const ROLLOUT_CALLS: usize = 20;
/// Pause between two of these calls.
const ROLLOUT_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait until a rollout is done.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(12);

/// Checks the guarantees one after the other and stops the fleet.
pub async fn run_checks(mut fleet: DemoFleet, caller: DemoCaller) -> DemoReport {
    let mut report = DemoReport::default();
    check_generations(&fleet, &caller, &mut report).await;
    check_unknown_key(&fleet, &mut report).await;
    check_ticket(&fleet, &caller, &mut report).await;
    check_silent_connection(&fleet, &caller, &mut report).await;
    check_stream_resume(&fleet, &caller, &mut report).await;
    check_rollout(&mut fleet, &caller, &mut report).await;
    check_caller_key(&fleet, &caller, &mut report).await;
    check_engine_crash(&fleet, &caller, &mut report).await;
    check_node_stop(&mut fleet, &caller, &mut report).await;
    fleet.stop().await;
    report
}

async fn check_generations(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let streamed = caller
        .generate(node, "quill", "stream", 40, true, &[])
        .await;
    let detail = describe_response(&streamed);
    report.add(
        "a streamed generation arrives completely and in order",
        streamed.is_complete(40),
        detail,
    );
    let unstreamed = caller
        .generate(node, "quill", "whole", 40, false, &[])
        .await;
    let detail = describe_response(&unstreamed);
    report.add(
        "a generation that is not streamed arrives completely",
        unstreamed.is_complete(40),
        detail,
    );
}

async fn check_unknown_key(fleet: &DemoFleet, report: &mut DemoReport) {
    let unknown_caller = DemoCaller::new("some other key");
    let node = fleet.nodes[1].callers;
    let response = unknown_caller
        .generate(node, "quill", "stranger", 5, false, &[])
        .await;
    let held =
        response.status == 401 && response.run_state() == "no" && fleet.count_runs("stranger") == 0;
    report.add(
        "a request with an unknown key is refused and reaches no target",
        held,
        describe_response(&response),
    );
}

async fn check_ticket(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let Some(ticket) = caller.ticket(fleet.nodes[0].callers).await else {
        report.add("a ticket is issued", false, "");
        return;
    };
    let held = repeat_order(fleet, caller, "order by ticket", &ticket).await;
    report.add(
        "an order sent three times with one ticket, through three nodes, runs once",
        held,
        "",
    );
}

/// Checks an idempotency key that the caller generated.
///
/// Runs late in the demo, because a node that has just started refuses such keys.
async fn check_caller_key(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let held = repeat_order(fleet, caller, "order by key", "pickup-4711").await;
    let runs = fleet.count_runs("order by key");
    let guarantee = "an order sent three times with the caller's own key runs at most once";
    report.add(guarantee, held, format!("{runs} runs"));
}

/// Sends an order to one node, again to a node of the other domain while it runs, and a third time
/// afterwards, all with the same key.
///
/// Returns whether it ran once with the same response each time, or was refused each time and did
/// not run.
async fn repeat_order(fleet: &DemoFleet, caller: &DemoCaller, mark: &str, key: &str) -> bool {
    let headers = [("idempotency-key", key), ("x-delay-ms", "300")];
    let send = |node: usize| {
        let address = fleet.nodes[node].callers;
        let body = mark.to_owned().into_bytes();
        caller.call(
            address,
            Method::POST,
            "/svc/orders/orders",
            &headers,
            body.into(),
        )
    };
    let (first, second) = tokio::join!(send(0), async {
        sleep(Duration::from_millis(100)).await;
        send(2).await
    });
    let third = send(3).await;
    let runs = fleet.count_runs(mark);
    let responses = [&first, &second, &third];
    let same = responses.iter().all(|response| response.body == first.body);
    let any_succeeded = responses.iter().any(|response| response.status == 200);
    match any_succeeded {
        true => runs == 1 && same,
        // The node that is responsible for the key may refuse it shortly after its start; the order
        // must not have run then.
        false => runs == 0 && responses.iter().all(|response| response.status == 503),
    }
}

async fn check_silent_connection(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let mute = async {
        sleep(FAULT_DELAY).await;
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.handle.mute_streams());
    };
    let call = caller.generate(node, "quill", "silent", 120, true, &[]);
    let (response, ()) = tokio::join!(call, mute);
    let held = response.is_complete(120) && fleet.count_runs("silent") == 1;
    let detail = describe_response(&response);
    report.add(
        "a connection that goes silent is replaced and no token is lost",
        held,
        detail,
    );
}

async fn check_stream_resume(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let body = serde_json::json!({
        "model": "quill",
        "prompt": "a long plan",
        "stream": true,
        "stand_in_tokens": 60,
        "stand_in_mark": "reconnect",
    });
    let bytes = body.to_string().into_bytes();
    let node = fleet.nodes[0].callers;
    let opened = caller
        .open(node, Method::POST, "/v1/completions", &[], bytes.into())
        .await;
    let Ok(response) = opened else {
        report.add(
            "a caller resumes its stream at another node",
            false,
            "no response",
        );
        return;
    };
    let first = read_response(response).await;
    let Some(last) = first.last_event.clone() else {
        report.add(
            "a caller resumes its stream at another node",
            false,
            describe_response(&first),
        );
        return;
    };
    // Resume from an earlier event, as a caller that received only the first tokens does.
    let early = last.rsplit_once('.').map(|(token, _)| format!("{token}.9"));
    let early = early.unwrap_or_default();
    let headers = [("last-event-id", early.as_str())];
    let other = fleet.nodes[3].callers;
    let path = "/v1/completions";
    let rest = caller
        .call(other, Method::GET, path, &headers, Default::default())
        .await;
    let held = rest.complete && first.text.ends_with(&rest.text) && rest.text.contains(".10 ");
    report.add(
        "a caller resumes its stream at another node",
        held,
        describe_response(&rest),
    );
}

/// Rolls out a version while calls are sent.
///
/// The engines of a domain start with different versions, as after an interrupted rollout.
async fn check_rollout(fleet: &mut DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let guarantee =
        "a rollout brings its version to every engine, and all calls are served meanwhile";
    fleet.publish_version(3);
    let node = fleet.nodes[0].callers;
    let serve = async {
        let mut served = 0;
        for round in 0..ROLLOUT_CALLS {
            let mark = format!("during the rollout {round}");
            let response = caller.generate(node, "quill", &mark, 5, false, &[]).await;
            served += usize::from(response.is_complete(5));
            sleep(ROLLOUT_CALL_INTERVAL).await;
        }
        served
    };
    let (converged, served) = tokio::join!(fleet.wait_converged(ROLLOUT_TIMEOUT), serve);
    let detail = format!("{served} of {ROLLOUT_CALLS} calls served");
    match converged {
        Ok(()) => report.add(guarantee, served == ROLLOUT_CALLS, detail),
        Err(state) => report.add(guarantee, false, state),
    }
}

async fn check_engine_crash(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let kill = async {
        sleep(FAULT_DELAY).await;
        if let Some(engine) = fleet.engine_with_run("killed stream") {
            engine.handle.kill();
        }
    };
    let streamed = caller.generate(node, "quill", "killed stream", 200, true, &[]);
    let unstreamed = caller.generate(node, "quill", "killed whole", 200, false, &[]);
    let (streamed, unstreamed, ()) = tokio::join!(streamed, unstreamed, kill);
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    let reported = !streamed.complete && text.contains("generation_lost");
    let held = reported && streamed.token_marks().is_some();
    let detail = describe_response(&streamed);
    let guarantee = "a stream whose engine crashed ends with an error and does not look complete";
    report.add(guarantee, held, detail);
    let detail = describe_response(&unstreamed);
    let guarantee = "a response that is not streamed is complete although an engine crashed";
    report.add(guarantee, unstreamed.is_complete(200), detail);
}

async fn check_node_stop(fleet: &mut DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[1].callers;
    let Some(ticket) = caller.ticket(node).await else {
        report.add("a ticket is issued", false, "");
        return;
    };
    let handle = fleet.nodes[1].handle.take();
    let stop = async {
        sleep(FAULT_DELAY).await;
        if let Some(handle) = handle {
            handle.stop().await;
        }
    };
    let call = caller.generate(node, "quill", "stopped", 100, true, &[]);
    let (response, ()) = tokio::join!(call, stop);
    report.add(
        "a planned stop of a node interrupts no request",
        response.is_complete(100),
        describe_response(&response),
    );
    let headers = [("idempotency-key", ticket.as_str())];
    let path = "/svc/orders/orders";
    let other = fleet.nodes[0].callers;
    let body = "order after the stop";
    let order = caller
        .call(other, Method::POST, path, &headers, body.into())
        .await;
    let held = order.status == 200 && fleet.count_runs(body) == 1;
    let detail = describe_response(&order);
    report.add(
        "a ticket of a stopped node is accepted by its successor",
        held,
        detail,
    );
}

fn describe_response(response: &CallResponse) -> String {
    let code = response.error_code();
    match code.is_empty() {
        true => format!(
            "status {}, {} words",
            response.status,
            response.text.split(' ').count() - 1
        ),
        false => format!(
            "status {}, {code}, ran {}",
            response.status,
            response.run_state()
        ),
    }
}
