use std::any::Any;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::sync::Once;
use std::time::Duration;

use base::EventKind;
use futures_util::FutureExt;
use metrics::counter;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Pause before a task that panicked is started again, so that one that always panics takes little
/// of the processor and writes few log lines.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Name in the log of tasks that have none, such as those of single requests and connections.
const UNNAMED_TASK: &str = "unnamed";

tokio::task_local! {
    static TASK_NAME: &'static str;
}

/// Runs a background task; if it panics, it is made anew and started again after a pause.
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// let task = gateway::spawn_supervised("example", || async {});
/// task.await.unwrap();
/// # });
/// ```
pub fn spawn_supervised<F>(
    name: &'static str,
    mut make_task: impl FnMut() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    log_panics();
    tokio::spawn(with_task_name(name, async move {
        loop {
            // The panic hook has logged the panic. State that tasks share is behind locks, which
            // are used further after a panic.
            let run = AssertUnwindSafe(async { make_task().await });
            if run.catch_unwind().await.is_ok() {
                return;
            }
            sleep(RESTART_PAUSE).await;
        }
    }))
}

/// Gives a task the name that the log line of its panic has.
pub async fn with_task_name<T>(name: &'static str, task: impl Future<Output = T>) -> T {
    TASK_NAME.scope(name, task).await
}

/// Logs and counts all panics of the process from now on, with the name of the task.
pub fn log_panics() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        let print = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            record_panic(info);
            print(info);
        }));
    });
}

fn record_panic(info: &PanicHookInfo<'_>) {
    let task = TASK_NAME.try_with(|name| *name).unwrap_or(UNNAMED_TASK);
    counter!("gateway_task_panics_total", "task" => task).increment(1);
    let place = info.location().map(ToString::to_string);
    log::error!(
        event = EventKind::TaskPanicked.number(),
        task = task,
        place = place.unwrap_or_default().as_str();
        "task panicked: {}",
        panic_message(info.payload())
    );
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or_default()
}
