//! Exit codes of the program.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use agatemoor::DemoFleet;
use tokio::time::{Instant, sleep};

/// Longest wait for a state of the fleet; the result does not depend on the time taken.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Address where nothing listens.
const NO_NODE: &str = "127.0.0.1:1";

fn run_blocking(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatemoor"))
        .args(args)
        .output()
        .unwrap()
}

fn exit_code(args: &[&str]) -> Option<i32> {
    run_blocking(args).status.code()
}

async fn run_program(args: &[&str]) -> (Option<i32>, String) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = tokio::task::spawn_blocking(move || {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        run_blocking(&args)
    });
    let output = run.await.unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

/// Repeats `status` until it exits with `expected_code` and prints `part`; returns its output.
async fn wait_for_status(nodes: &str, expected_code: i32, part: &str) -> String {
    let end = Instant::now() + STATE_TIMEOUT;
    loop {
        let (code, text) = run_program(&["status", "--node", nodes]).await;
        if code == Some(expected_code) && text.contains(part) {
            return text;
        }
        assert!(Instant::now() < end, "code {code:?}\n{text}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn example_path(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    format!("{root}{path}")
}

fn scratch_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Returns the operator addresses of the nodes, separated by commas.
fn operator_addresses(fleet: &DemoFleet) -> String {
    let nodes = fleet.nodes.iter();
    let addresses: Vec<String> = nodes.map(|node| node.operators.to_string()).collect();
    addresses.join(",")
}

/// Guards against `check` accepting a file with a mistake or rejecting a valid one.
#[test]
fn check_reports_mistakes_by_its_exit_code() {
    let settings = example_path("kanchan/entry-patan-1.ini");
    assert_eq!(exit_code(&["check", &settings]), Some(0));
    let fleet = example_path("kanchan/fleet.ini");
    assert_eq!(exit_code(&["check", "--declaration", &fleet]), Some(0));
    let broken = scratch_file("broken.ini");
    std::fs::write(&broken, "[node]\nname = a\ndomian = b\n").unwrap();
    let broken = broken.to_str().unwrap();
    assert_eq!(exit_code(&["check", broken]), Some(1));
    assert_eq!(exit_code(&["check", "--declaration", broken]), Some(1));
    assert_eq!(exit_code(&["check"]), Some(2));
    assert_eq!(exit_code(&["check", "no-such-file.ini"]), Some(2));
    assert_eq!(exit_code(&["check", "--nope"]), Some(2));
}

/// Guards against usage errors that exit like a failed command or like success.
#[test]
fn usage_errors_exit_with_2() {
    for command in ["status", "timeline"] {
        assert_eq!(exit_code(&[command]), Some(2));
        assert_eq!(exit_code(&[command, "--node", "balaju-1"]), Some(2));
        assert_eq!(exit_code(&[command, "--node", ""]), Some(2));
    }
    let status = ["status", "--node", NO_NODE, "--after", "soon"];
    assert_eq!(exit_code(&status), Some(2));
    let timeline = ["timeline", "--node", NO_NODE];
    assert_eq!(
        exit_code(&[&timeline[..], &["--kind", "nope"]].concat()),
        Some(2)
    );
    assert_eq!(
        exit_code(&[&timeline[..], &["--since", "soon"]].concat()),
        Some(2)
    );
    assert_eq!(exit_code(&[]), Some(2));
}

/// Guards against a command whose help has no example.
#[test]
fn every_help_has_an_example() {
    let commands: [&[&str]; 10] = [
        &[],
        &["node"],
        &["check"],
        &["status"],
        &["timeline"],
        &["load"],
        &["demo"],
        &["stand-in", "platform"],
        &["stand-in", "engine"],
        &["stand-in", "app"],
    ];
    for command in commands {
        let output = run_blocking(&[command, &["--help"]].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0));
        assert!(text.contains("$ agatemoor "), "{command:?}:\n{text}");
    }
}

/// Guards against a node that does not answer being omitted without notice.
#[test]
fn silent_node_is_reported_as_failure() {
    for command in ["status", "timeline"] {
        let output = run_blocking(&[command, "--node", NO_NODE]);
        assert_eq!(output.status.code(), Some(1));
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        assert!(text.contains(NO_NODE), "{text}");
    }
}

/// Guards against `status` reporting convergence while a declaration is rejected or a target is down,
/// and against `status` never reporting it.
#[tokio::test(flavor = "multi_thread")]
async fn status_reports_convergence_of_the_fleet() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = operator_addresses(&fleet);
    wait_for_status(&nodes, 0, "converged: yes").await;
    let (code, text) = run_program(&["status", "--node", &nodes, "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, &json["converged"]), (Some(0), &true.into()));
    let (code, _) = run_program(&["status", "--node", &nodes, "--watch"]).await;
    assert_eq!(code, Some(0));
    fleet.publish_text("[fleet]\nweight_rat = 1\n");
    wait_for_status(&nodes, 1, "weight_rat").await;
    fleet.publish();
    wait_for_status(&nodes, 0, "converged: yes").await;
    fleet.engines[0].handle.kill();
    let name = fleet.engines[0].name.as_str();
    let text = wait_for_status(&nodes, 1, "converged: no").await;
    assert!(text.contains(name), "{text}");
    fleet.stop().await;
}

/// Guards against a timeline that omits a node, a filter without effect and a page that is not
/// written.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_merges_the_nodes() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = operator_addresses(&fleet);
    let (code, text) = run_program(&["timeline", "--node", &nodes, "--kind", "node_started"]).await;
    assert_eq!(code, Some(0));
    assert_eq!(text.lines().count(), fleet.nodes.len(), "{text}");
    for node in &fleet.nodes {
        assert!(text.contains(node.name.as_str()), "{text}");
    }
    let page = scratch_file("timeline.html");
    let file = page.to_str().unwrap();
    let (code, text) = run_program(&["timeline", "--node", &nodes, "--html", file]).await;
    assert_eq!((code, text.as_str()), (Some(0), ""));
    assert!(
        std::fs::read_to_string(&page)
            .unwrap()
            .contains("node_started")
    );
    let partial = format!("{nodes},{NO_NODE}");
    let (code, text) = run_program(&["timeline", "--node", &partial]).await;
    assert_eq!(code, Some(1), "the timeline lacks a node");
    assert!(text.contains("node_started"), "the other nodes are shown");
    let (code, _) = run_program(&["timeline", "--node", &nodes, "--html", "/"]).await;
    assert_eq!(code, Some(1), "a folder can't be written as a file");
    fleet.stop().await;
}
