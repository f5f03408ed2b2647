//! Processes that run out of threads or memory at their start, and whose main task panics.

use std::process::Command;

use agatemoor::run_single_threaded;
use yare::parameterized;

/// Limits of the address space of a process, in KiB; at the least of them no thread can be created,
/// at the largest all can.
const LIMITS: std::ops::Range<usize> = 10_000..60_000;
/// Steps between these limits; the stack of a thread has 2 MiB.
const LIMIT_STEP: usize = 1_000;

/// Runs the program under a limit of its address space; returns its exit code and messages.
fn run_limited(limit: usize, args: &str) -> (Option<i32>, String) {
    let program = std::env::var("AGATEMOOR_TEST_PROGRAM");
    let program = program.unwrap_or(env!("CARGO_BIN_EXE_agatemoor").to_owned());
    let script = format!("ulimit -v {limit}; exec {program} {args}");
    let output = Command::new("sh").args(["-c", &script]).output().unwrap();
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), message)
}

// Guards against a panic when a thread of the log or of the runtime can't be created, and against a
// process that hangs then. The commands end by themselves: there are no settings and no nodes.
#[parameterized(
    gateway = { "gateway --check --settings no-such-file" },
    status = { "status --node 127.0.0.1:1" },
)]
fn too_few_threads_are_an_error(args: &str) {
    let mut errors = 0;
    for limit in LIMITS.step_by(LIMIT_STEP) {
        let (code, message) = run_limited(limit, args);
        assert!(!message.contains("panicked"), "{limit}: {message}");
        assert_ne!(code, Some(101), "{limit}: {message}");
        errors += u32::from(code == Some(1) && message.contains("cannot start"));
    }
    assert!(errors > 0, "no limit was between too little and enough");
}

// Guards against a panic of the main task that ends the process before its log is written.
#[test]
fn a_main_task_that_panics_ends_with_1() {
    assert_eq!(run_single_threaded(async { panic!("as the test asks") }), 1);
}
