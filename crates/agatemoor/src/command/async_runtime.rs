use std::io::{self, ErrorKind};
use std::num::NonZero;
use std::panic::{self, AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use gateway::{log_panics, with_task_name};
use tokio::runtime::{Builder, Runtime};

use super::exit_code::EXIT_FAILURE;

/// Runs a future on a multi-threaded runtime and returns its exit code.
pub fn run_multi_threaded(future: impl Future<Output = u8>) -> u8 {
    let workers = thread::available_parallelism().map_or(1, NonZero::get);
    // A thread that is short of memory may panic as it starts. The default hook could then wait for
    // ever, as it holds a lock while it allocates memory for a backtrace.
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let checked = check_threads(workers);
    panic::set_hook(hook);
    if let Err(error) = checked {
        eprintln!("cannot start threads: {error}");
        return EXIT_FAILURE;
    }
    block_on(Builder::new_multi_thread(), future)
}

/// Tries whether so many threads can be created at once. The runtime panics, or waits for ever for
/// the threads that it has, if one of its threads can't be created.
fn check_threads(count: usize) -> io::Result<()> {
    let (sender, receiver) = channel::<()>();
    let receiver = Arc::new(Mutex::new(receiver));
    let mut threads = Vec::new();
    let created = (0..count).try_for_each(|_| {
        let receiver = receiver.clone();
        let wait = move || {
            // Returns once the sender is dropped.
            let receiver = receiver.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = receiver.recv();
        };
        threads.push(thread::Builder::new().spawn(wait)?);
        Ok(())
    });
    drop(sender);
    let joined = threads.into_iter().map(thread::JoinHandle::join);
    let have_ended = joined.fold(true, |ended, result| ended & result.is_ok());
    match have_ended {
        true => created,
        false => Err(ErrorKind::OutOfMemory.into()),
    }
}

/// Runs a future on the current thread only, for processes that get less than one core, and
/// returns its exit code.
pub fn run_single_threaded(future: impl Future<Output = u8>) -> u8 {
    block_on(Builder::new_current_thread(), future)
}

/// A panic of `future` is logged and gives [`EXIT_FAILURE`], so that the log is still written.
fn block_on(mut builder: Builder, future: impl Future<Output = u8>) -> u8 {
    log_panics();
    // The runtime panics, after which nothing of it is used, if a thread can't be created.
    let built = catch_unwind(AssertUnwindSafe(|| builder.enable_all().build()));
    let built: Result<Runtime, _> = built.unwrap_or_else(|_| Err(ErrorKind::OutOfMemory.into()));
    match built {
        Ok(runtime) => {
            let future = with_task_name("main", future);
            let run = catch_unwind(AssertUnwindSafe(|| runtime.block_on(future)));
            runtime.shutdown_background();
            run.unwrap_or(EXIT_FAILURE)
        }
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            EXIT_FAILURE
        }
    }
}
