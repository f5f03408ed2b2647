use tokio::runtime::{Builder, Runtime};

use super::exit_code::EXIT_FAILURE;

/// Runs a future on a multi-threaded runtime and returns its exit code.
pub fn run_multi_threaded(future: impl Future<Output = u8>) -> u8 {
    block_on(Builder::new_multi_thread(), future)
}

/// Runs a future on the current thread only, for processes that get less than one core, and
/// returns its exit code.
pub fn run_single_threaded(future: impl Future<Output = u8>) -> u8 {
    block_on(Builder::new_current_thread(), future)
}

fn block_on(mut builder: Builder, future: impl Future<Output = u8>) -> u8 {
    let runtime: Result<Runtime, _> = builder.enable_all().build();
    match runtime {
        Ok(runtime) => {
            let code = runtime.block_on(future);
            runtime.shutdown_background();
            code
        }
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            EXIT_FAILURE
        }
    }
}
