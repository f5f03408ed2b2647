//! Exit codes and files of `agatemoor load`, run as a process.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use agatemoor::DemoFleet;
use yare::parameterized;

fn load(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatemoor"));
    command.arg("load").args(args).output().unwrap()
}

fn file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    // A file of an earlier run would hide that this one wrote nothing.
    let _ = fs::remove_file(&path);
    path
}

const CALLERS: [&str; 8] = [
    "--key",
    "k",
    "--workload",
    "kanchan",
    "--rate",
    "1",
    "--seconds",
    "1",
];

/// Guards against flags that are accepted without being checked.
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
fn wrong_usage_gives_2(args: &[&str], callers: bool) {
    let mut all = args.to_vec();
    if callers {
        all.extend(CALLERS);
    }
    let output = load(&all);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

/// Guards against a run that looks good although no node answered it.
#[test]
fn unanswered_calls_give_1() {
    let mut args = vec!["--node", "127.0.0.1:9"];
    args.extend(["--key", "k", "--workload", "kanchan"]);
    args.extend(["--rate", "100", "--seconds", "1", "--calls", "5"]);
    let output = load(&args);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against help without examples.
#[test]
fn help_has_an_example_of_each_mode() {
    let output = load(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("agatemoor load --node"));
    assert!(text.contains("agatemoor load --virtual"));
}

/// Guards against an experiment that ends well without its report.
#[test]
fn tiny_experiment_writes_its_files() {
    let (json, page) = (file("load.json"), file("load.html"));
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
    let output = load(&args);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("digests"));
    let report: serde_json::Value = serde_json::from_slice(&fs::read(json).unwrap()).unwrap();
    assert!(report["comparisons"].is_array());
    assert!(fs::read_to_string(page).unwrap().contains("<svg"));
}

/// Guards against a load tool that takes the answers of real nodes for wrong streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_are_driven_over_http() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = fleet.nodes.iter().map(|node| node.callers.to_string());
    let nodes = nodes.collect::<Vec<_>>().join(",");
    let (key, json, page) = (fleet.key(), file("calls.json"), file("calls.html"));
    let (json_name, page_name) = (json.display().to_string(), page.display().to_string());
    let called = tokio::task::spawn_blocking(move || {
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
        load(&args)
    });
    let output = called.await.unwrap();
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
