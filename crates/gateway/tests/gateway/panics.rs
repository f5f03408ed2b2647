//! Background tasks of a gateway that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use gateway::{ListenerTask, ViewArea, spawn_supervised};
use http::{Request, Response};
use hyper::body::Incoming;
use node::MetricsExport;
use web::{HandlerFuture, ServerLimits, StopSignal, WebHandler, WebServer, empty_body};

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, get, until};

/// Number of panics of a task so far, as the metrics of the process tell.
fn count_panics(task: &str) -> u32 {
    let text = MetricsExport::shared().render();
    let prefix = format!("gateway_task_panics_total{{task=\"{task}\"}} ");
    let count = text.lines().find_map(|line| line.strip_prefix(&prefix));
    count.map_or(0, |count| count.parse().unwrap())
}

// Guards against a gateway that serves for ever with the configuration and the targets that it knew
// when the task panicked that reads them.
#[tokio::test]
async fn a_reader_of_the_store_that_panics_goes_on() {
    let store = FakeStore::new();
    store.put_config(1);
    let gateway = Gateway::start_ready(&store).await;
    for area in [ViewArea::Config, ViewArea::Targets] {
        store.panic_once(area);
    }
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    store.put_target(&target, "ready");
    store.put_config(2);
    let core = gateway.server.core();
    until("the new configuration is in force", || {
        core.config().is_some_and(|config| config.version.0 == 2)
    })
    .await;
    until("the new target is known", || {
        core.with_state(|state, _| !state.balancer.targets().is_empty())
    })
    .await;
    assert!(count_panics("view config") >= 1);
    assert!(count_panics("view targets") >= 1);
}

// Guards against a task that is not started again after its second panic, and against one that is
// started again after its end.
#[tokio::test]
async fn a_supervised_task_runs_until_it_ends() {
    MetricsExport::shared();
    let runs = Arc::new(AtomicU32::new(0));
    let counted = runs.clone();
    let task = spawn_supervised("panics twice", move || {
        let run = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(run >= 2, "panic of run {run}") }
    });
    task.await.unwrap();
    assert_eq!(runs.load(Ordering::Relaxed), 3);
    assert_eq!(count_panics("panics twice"), 2);
}

/// Answers every request.
struct EmptyHandler;

impl WebHandler for EmptyHandler {
    fn handle(&self, _request: Request<Incoming>) -> HandlerFuture {
        Box::pin(async { Response::new(empty_body()) })
    }
}

// Guards against an address that nobody serves any more after the task of its listener panicked.
#[tokio::test]
async fn a_listener_that_panics_opens_its_address_again() {
    MetricsExport::shared();
    let any = "127.0.0.1:0".parse().unwrap();
    let server = WebServer::bind(any).await.unwrap();
    let address = server.address();
    // No semaphore has so many permits, so that each run of the task panics.
    let limits = ServerLimits::new().with_connections(usize::MAX);
    let stop = StopSignal::new();
    let listener = ListenerTask::new("bad listener", address);
    let task = listener
        .with_server(server)
        .with_limits(limits)
        .spawn(EmptyHandler, &stop);
    until("the listener panicked twice", || {
        count_panics("bad listener") >= 2
    })
    .await;
    stop.stop();
    task.abort();
}

// Guards against a listener that gives up because its address is taken at first.
#[tokio::test]
async fn a_listener_waits_for_its_address() {
    let any = "127.0.0.1:0".parse().unwrap();
    let taken = WebServer::bind(any).await.unwrap();
    let address = taken.address();
    let stop = StopSignal::new();
    let task = ListenerTask::new("late listener", address).spawn(EmptyHandler, &stop);
    drop(taken);
    let mut status = 0;
    while status != 200 {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            status = get(address, "/").await.status;
        }
        tokio::task::yield_now().await;
    }
    stop.stop();
    task.await.unwrap();
}
