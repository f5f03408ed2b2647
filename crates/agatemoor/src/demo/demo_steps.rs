use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use super::demo_caller::read_answer;
use super::demo_report::DemoReport;
use super::{CallAnswer, DemoCaller, DemoFleet};

/// Time after which a fault is brought about in the middle of a stream.
const FAULT_DELAY: Duration = Duration::from_millis(600);

/// Calls sent while a version is rolled out, and the pause between them.
const ROLLOUT_CALLS: usize = 20;
const ROLLOUT_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a version to be in force.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(12);

/// Walks through the promises and checks each.
pub async fn run_steps(mut fleet: DemoFleet, caller: DemoCaller) -> DemoReport {
    let mut report = DemoReport::default();
    check_generations(&fleet, &caller, &mut report).await;
    check_unknown_key(&fleet, &mut report).await;
    check_orders(&fleet, &caller, &mut report).await;
    check_silent_link(&fleet, &caller, &mut report).await;
    check_reconnect(&fleet, &caller, &mut report).await;
    check_version(&mut fleet, &caller, &mut report).await;
    check_own_key(&fleet, &caller, &mut report).await;
    check_killed_engine(&fleet, &caller, &mut report).await;
    check_planned_stop(&mut fleet, &caller, &mut report).await;
    fleet.stop().await;
    report
}

async fn check_generations(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let streamed = caller
        .generate(node, "quill", "stream", 40, true, &[])
        .await;
    let detail = describe(&streamed);
    report.check(
        "a streamed generation arrives whole and in order",
        streamed.is_complete(40),
        detail,
    );
    let whole = caller
        .generate(node, "quill", "whole", 40, false, &[])
        .await;
    let detail = describe(&whole);
    report.check(
        "a whole generation arrives whole",
        whole.is_complete(40),
        detail,
    );
}

async fn check_unknown_key(fleet: &DemoFleet, report: &mut DemoReport) {
    let stranger = DemoCaller::new("some other key");
    let node = fleet.nodes[1].callers;
    let answer = stranger
        .generate(node, "quill", "stranger", 5, false, &[])
        .await;
    let held = answer.status == 401 && answer.ran() == "no" && fleet.count_runs("stranger") == 0;
    report.check(
        "an unknown key is refused and reaches no target",
        held,
        describe(&answer),
    );
}

async fn check_orders(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let Some(ticket) = caller.ticket(fleet.nodes[0].callers).await else {
        report.check("a ticket is issued", false, "");
        return;
    };
    let held = order_twice(fleet, caller, "order by ticket", &ticket).await;
    report.check(
        "an order sent twice with a ticket runs once, through two nodes",
        held,
        "",
    );
}

/// Comes late in the demo: a node that has just started refuses keys that callers generated.
async fn check_own_key(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let held = order_twice(fleet, caller, "order by key", "pickup-4711").await;
    let runs = fleet.count_runs("order by key");
    let what = "an order sent twice with the caller's own key runs at most once";
    report.check(what, held, format!("{runs} runs"));
}

/// Sends an order to one node and again to a node of the other domain while it runs.
async fn order_twice(fleet: &DemoFleet, caller: &DemoCaller, mark: &str, key: &str) -> bool {
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
    let answers = [&first, &second, &third];
    let same = answers.iter().all(|answer| answer.body == first.body);
    let told_run = answers.iter().any(|answer| answer.status == 200);
    match told_run {
        true => runs == 1 && same,
        // A young home of a key may refuse, but then nothing ran.
        false => runs == 0 && answers.iter().all(|answer| answer.status == 503),
    }
}

async fn check_silent_link(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let mute = async {
        sleep(FAULT_DELAY).await;
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.handle.mute_streams());
    };
    let call = caller.generate(node, "quill", "silent", 120, true, &[]);
    let (answer, ()) = tokio::join!(call, mute);
    let held = answer.is_complete(120) && fleet.count_runs("silent") == 1;
    let detail = describe(&answer);
    report.check(
        "a link that goes silent is replaced and no token is lost",
        held,
        detail,
    );
}

async fn check_reconnect(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
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
        report.check(
            "a caller continues its generation at another node",
            false,
            "no response",
        );
        return;
    };
    let first = read_answer(response).await;
    let Some(last) = first.last_event.clone() else {
        report.check(
            "a caller continues its generation at another node",
            false,
            describe(&first),
        );
        return;
    };
    // The caller pretends that it got only the first tokens.
    let early = last.rsplit_once('.').map(|(token, _)| format!("{token}.9"));
    let early = early.unwrap_or_default();
    let headers = [("last-event-id", early.as_str())];
    let other = fleet.nodes[3].callers;
    let path = "/v1/completions";
    let rest = caller
        .call(other, Method::GET, path, &headers, Default::default())
        .await;
    let held = rest.whole && first.text.ends_with(&rest.text) && rest.text.contains(".10 ");
    report.check(
        "a caller continues its generation at another node",
        held,
        describe(&rest),
    );
}

/// The engines start with two versions side by side, as after a migration that stopped halfway.
async fn check_version(fleet: &mut DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let what = "a published version is in force on every engine, and callers are served throughout";
    fleet.publish_version(3);
    let node = fleet.nodes[0].callers;
    let serve = async {
        let mut served = 0;
        for round in 0..ROLLOUT_CALLS {
            let mark = format!("during the rollout {round}");
            let answer = caller.generate(node, "quill", &mark, 5, false, &[]).await;
            served += usize::from(answer.is_complete(5));
            sleep(ROLLOUT_PAUSE).await;
        }
        served
    };
    let (converged, served) = tokio::join!(fleet.wait_converged(ROLLOUT_LIMIT), serve);
    let detail = format!("{served} of {ROLLOUT_CALLS} calls served");
    match converged {
        Ok(()) => report.check(what, served == ROLLOUT_CALLS, detail),
        Err(state) => report.check(what, false, state),
    }
}

async fn check_killed_engine(fleet: &DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[0].callers;
    let kill = async {
        sleep(FAULT_DELAY).await;
        if let Some(victim) = fleet.engine_of("killed stream") {
            victim.handle.kill();
        }
    };
    let streamed = caller.generate(node, "quill", "killed stream", 200, true, &[]);
    let whole = caller.generate(node, "quill", "killed whole", 200, false, &[]);
    let (streamed, whole, ()) = tokio::join!(streamed, whole, kill);
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    let told = !streamed.whole && text.contains("generation_lost");
    let held = told && streamed.marks().is_some();
    let detail = describe(&streamed);
    let what = "a stream whose engine died ends with an error, not as a whole answer";
    report.check(what, held, detail);
    let detail = describe(&whole);
    let what = "a whole answer is whole although an engine died";
    report.check(what, whole.is_complete(200), detail);
}

async fn check_planned_stop(fleet: &mut DemoFleet, caller: &DemoCaller, report: &mut DemoReport) {
    let node = fleet.nodes[1].callers;
    let Some(ticket) = caller.ticket(node).await else {
        report.check("a ticket is issued", false, "");
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
    let (answer, ()) = tokio::join!(call, stop);
    report.check(
        "a planned stop cuts off no request",
        answer.is_complete(100),
        describe(&answer),
    );
    let headers = [("idempotency-key", ticket.as_str())];
    let path = "/svc/orders/orders";
    let other = fleet.nodes[0].callers;
    let body = "order after the stop";
    let order = caller
        .call(other, Method::POST, path, &headers, body.into())
        .await;
    let held = order.status == 200 && fleet.count_runs(body) == 1;
    let detail = describe(&order);
    report.check(
        "a ticket of a stopped node is honoured by its successor",
        held,
        detail,
    );
}

fn describe(answer: &CallAnswer) -> String {
    let code = answer.error_code();
    match code.is_empty() {
        true => format!(
            "status {}, {} words",
            answer.status,
            answer.text.split(' ').count() - 1
        ),
        false => format!("status {}, {code}, ran {}", answer.status, answer.ran()),
    }
}
