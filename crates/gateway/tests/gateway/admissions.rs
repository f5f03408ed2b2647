//! Configurations that come into force while calls wait to be sent.

use std::sync::Arc;

use entry::ConfigVersion;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, open_stream, start_setup,
    until,
};

/// A call that waits for a slot of the only target of its service.
struct WaitingCall {
    store: Arc<FakeStore>,
    target: FakeTarget,
    gateway: Gateway,
    /// Calls that take the slots.
    running: Vec<TcpStream>,
    response: JoinHandle<CallerResponse>,
}

impl WaitingCall {
    async fn new(service: &'static str, path: &'static str, slots: usize) -> Self {
        let (store, mut targets, gateway) = start_setup(service, &[TargetMode::Hang]).await;
        let (target, callers) = (targets.remove(0), gateway.callers);
        let mut running = Vec::new();
        for number in 0..slots {
            let headers = format!("x-id: running-{number}\r\nx-key: key-1\r\nx-size: 9\r\n");
            running.push(open_stream(callers, path, &headers, "").await);
        }
        until("the slots are taken", || target.open_calls() == slots).await;
        let headers = "x-id: waiting\r\nx-key: key-1\r\nx-size: 9\r\n";
        let response = tokio::spawn(call(callers, path, headers, ""));
        let core = gateway.server.core().clone();
        until("the call waits", || {
            core.with_state(|state, _| !state.waiters.is_empty())
        })
        .await;
        Self {
            store,
            target,
            gateway,
            running,
            response,
        }
    }

    async fn until_version(&self, version: u64) {
        let core = self.gateway.server.core();
        until("the configuration is in force", || {
            core.with_state(|state, _| state.view.version() == ConfigVersion(version))
        })
        .await;
    }

    /// Text of the waiting call as it arrived at a target.
    fn arrived(target: &FakeTarget) -> Option<String> {
        let calls = target.calls().into_iter();
        calls.rev().find(|text| text.contains("x-id: waiting\r\n"))
    }
}

// Guards against a waiting call that runs as of the workspace that held its key when it arrived.
#[yare::parameterized(
    stream = { "pool", "/guarded/1", 8, TargetMode::Stream(3) },
    plain = { "app", "/kept/1", 4, TargetMode::Answer },
)]
#[test_macro(tokio::test)]
async fn a_waiting_call_runs_as_of_the_present_owner_of_its_key(
    service: &'static str,
    path: &'static str,
    slots: usize,
    mode: TargetMode,
) {
    let mut waiting = WaitingCall::new(service, path, slots).await;
    waiting.store.put_config_with_owner(2, "yard");
    waiting.until_version(2).await;
    waiting.target.set_mode(mode);
    waiting.running.clear();
    let response = waiting.response.await.unwrap();
    assert_eq!(response.status, 200);
    let arrived = WaitingCall::arrived(&waiting.target).unwrap();
    assert!(arrived.contains("x-workspace: yard\r\n"), "{arrived}");
}

// Guards against a call that waits for a slot although its key or its route is gone.
#[yare::parameterized(
    stream_key = { "pool", "/guarded/1", 8, "key-1", 401 },
    stream_route = { "pool", "/guarded/1", 8, "/guarded/", 404 },
    plain_key = { "app", "/kept/1", 4, "key-1", 401 },
    plain_route = { "app", "/kept/1", 4, "/kept/", 404 },
)]
#[test_macro(tokio::test)]
async fn a_waiting_call_is_refused_once_it_is_not_admitted_any_more(
    service: &'static str,
    path: &'static str,
    slots: usize,
    dropped: &'static str,
    status: u16,
) {
    let waiting = WaitingCall::new(service, path, slots).await;
    waiting.store.put_config_without(2, dropped);
    let response = waiting.response.await.unwrap();
    assert_eq!(response.status, status);
    // The slots are still taken.
    assert_eq!(waiting.target.open_calls(), slots);
    assert_eq!(WaitingCall::arrived(&waiting.target), None);
}

// Guards against a waiting call that runs at the service that its route had when it arrived.
#[yare::parameterized(
    stream = { "pool", "/guarded/1", "/guarded/", 8, TargetMode::Stream(3) },
    plain = { "app", "/kept/1", "/kept/", 4, TargetMode::Answer },
)]
#[test_macro(tokio::test)]
async fn a_waiting_call_follows_its_route_to_another_service(
    service: &'static str,
    path: &'static str,
    route: &'static str,
    slots: usize,
    mode: TargetMode,
) {
    let waiting = WaitingCall::new(service, path, slots).await;
    let spare = FakeTarget::start("spare", mode).await;
    waiting.store.put_target(&spare, "ready");
    // The gateway reads targets and the configuration by different requests.
    let core = waiting.gateway.server.core();
    until("the spare target is known", || {
        core.with_state(|state, _| state.balancer.targets().len() == 2)
    })
    .await;
    waiting.store.put_config_with_moved(2, route);
    let response = waiting.response.await.unwrap();
    assert_eq!(response.status, 200);
    assert!(WaitingCall::arrived(&spare).is_some());
    assert_eq!(WaitingCall::arrived(&waiting.target), None);
}
