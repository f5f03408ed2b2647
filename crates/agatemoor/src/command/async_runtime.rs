use tokio::runtime::{Builder, Runtime};

use super::exit_code::EXIT_FAILED;

/// Runs asynchronous work on threads of its own.
pub fn run_async(work: impl Future<Output = u8>) -> u8 {
    run_with(Builder::new_multi_thread(), work)
}

/// Runs asynchronous work on this thread, for processes that have a part of one core.
pub fn run_on_one_thread(work: impl Future<Output = u8>) -> u8 {
    run_with(Builder::new_current_thread(), work)
}

fn run_with(mut builder: Builder, work: impl Future<Output = u8>) -> u8 {
    let runtime: Result<Runtime, _> = builder.enable_all().build();
    match runtime {
        Ok(runtime) => {
            let code = runtime.block_on(work);
            runtime.shutdown_background();
            code
        }
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            EXIT_FAILED
        }
    }
}
