//! Exit codes and files of `agatemoor load`, run as a process.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use agatemoor::DemoFleet;
use yare::parameterized;

/// Runs `agatemoor load`.
fn run_load(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatemoor"));
    command.arg("load").args(args).output().unwrap()
}

/// Returns the path of an output file, which does not exist yet.
fn output_file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    // A file of an earlier run would hide that this run wrote nothing.
    let _ = fs::remove_file(&path);
    path
}

/// Arguments of valid callers.
const CALLER_ARGS: [&str; 8] = [
    "--key",
    "k",
    "--workload",
    "kanchan",
    "--rate",
    "1",
    "--seconds",
    "1",
];

/// Guards against arguments that are accepted without validation.
#[parameterized(
    nothing = { &[], false },
    foreign_machine = { &["--node", "192.0.2.1:80"], true },
    no_address = { &["--node", "node-1"], true },
    rate_too_high = { &["--node", "127.0.0.1:9", "--open", "20001"], true },
    empty_key = { &["--node", "127.0.0.1:9", "--key", ""], false },
    unknown_workload = { &["--virtual", "--workload", "sul"], false },
    virtual_flag = { &["--node", "127.0.0.1:9", "--faults", "1"], true },
    caller_flag = { &["--virtual", "--rate", "1"], false },
    unknown_policy = { &["--virtual", "--policies", "best"], false },
    no_load = { &["--virtual", "--loads", "0"], false },
    endless_load = { &["--virtual", "--loads", "inf"], false },
    no_engine = { &["--virtual", "--engines", "0"], false },
    many_faults = { &["--virtual", "--faults", "1001"], false },
    missing_folder = { &["--virtual", "--json", "no-such-folder/run.json"], false },
)]
fn usage_errors_exit_with_2(args: &[&str], with_caller_args: bool) {
    let mut all = args.to_vec();
    if with_caller_args {
        all.extend(CALLER_ARGS);
    }
    let output = run_load(&all);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

/// Guards against a run that succeeds although no node answered.
#[test]
fn unanswered_calls_exit_with_1() {
    let mut args = vec!["--node", "127.0.0.1:9"];
    args.extend(["--key", "k", "--workload", "kanchan"]);
    args.extend(["--rate", "100", "--seconds", "1", "--calls", "5"]);
    let output = run_load(&args);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against a help text without examples.
#[test]
fn help_has_an_example_of_each_mode() {
    let output = run_load(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("agatemoor load --node"));
    assert!(text.contains("agatemoor load --virtual"));
}

/// Guards against an experiment that succeeds without writing its reports.
#[test]
fn small_experiment_writes_its_files() {
    let (json, page) = (output_file("load.json"), output_file("load.html"));
    let (json_name, page_name) = (json.to_str().unwrap(), page.to_str().unwrap());
    let mut args = vec!["--virtual", "--workload", "lanterna-sul", "--loads", "0.3"];
    args.extend([
        "--seeds",
        "1",
        "--nodes",
        "2",
        "--engines",
        "2",
        "--faults",
        "1",
    ]);
    args.extend(["--warmup", "1s", "--window", "5s"]);
    args.extend(["--policies", "round_robin,digests"]);
    args.extend(["--json", json_name, "--html", page_name]);
    let output = run_load(&args);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("digests"));
    let report: serde_json::Value = serde_json::from_slice(&fs::read(json).unwrap()).unwrap();
    assert!(report["comparisons"].is_array());
    assert!(fs::read_to_string(page).unwrap().contains("<svg"));
}

/// Guards against a load tool that reports valid answers of real nodes as faulty streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn load_is_sent_to_nodes_over_http() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = fleet.nodes.iter().map(|node| node.callers.to_string());
    let nodes = nodes.collect::<Vec<_>>().join(",");
    let (key, json, page) = (
        fleet.key(),
        output_file("calls.json"),
        output_file("calls.html"),
    );
    let (json_name, page_name) = (json.display().to_string(), page.display().to_string());
    let load = tokio::task::spawn_blocking(move || {
        let mut args = vec!["--node", &nodes, "--key", key, "--workload", "lanterna-sul"];
        args.extend([
            "--rate",
            "20",
            "--seconds",
            "2",
            "--calls",
            "20",
            "--seed",
            "3",
        ]);
        args.extend(["--call-timeout", "5s"]);
        args.extend(["--json", &json_name, "--html", &page_name]);
        run_load(&args)
    });
    let output = load.await.unwrap();
    fleet.stop().await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let run: serde_json::Value = serde_json::from_slice(&fs::read(json).unwrap()).unwrap();
    assert!(run["outcomes"]["complete"].as_u64() > Some(0), "{run}");
    assert_eq!(
        (&run["order_faults"], &run["count_faults"]),
        (&0.into(), &0.into())
    );
    assert!(fs::read_to_string(page).unwrap().contains("gap p99.9"));
}
