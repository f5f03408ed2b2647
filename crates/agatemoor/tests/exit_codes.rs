//! Exit codes of the built program.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use agatemoor::DemoFleet;
use tokio::time::{Instant, sleep};

/// Longest wait for a state that the fleet is to reach; a pass does not depend on the time taken.
const STATE_LIMIT: Duration = Duration::from_secs(60);
/// Address where nothing listens.
const NO_NODE: &str = "127.0.0.1:1";

fn program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatemoor"))
        .args(args)
        .output()
        .unwrap()
}

fn code(args: &[&str]) -> Option<i32> {
    program(args).status.code()
}

async fn run_program(args: &[&str]) -> (Option<i32>, String) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = tokio::task::spawn_blocking(move || {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        program(&args)
    });
    let output = run.await.unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

/// Repeats `status` until it ends with `wanted` and its text has `part`.
async fn wait_status(nodes: &str, wanted: i32, part: &str) -> String {
    let end = Instant::now() + STATE_LIMIT;
    loop {
        let (code, text) = run_program(&["status", "--node", nodes]).await;
        if code == Some(wanted) && text.contains(part) {
            return text;
        }
        assert!(Instant::now() < end, "code {code:?}\n{text}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn example(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    format!("{root}{path}")
}

fn scratch_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn operators(fleet: &DemoFleet) -> String {
    let nodes = fleet.nodes.iter();
    let addresses: Vec<String> = nodes.map(|node| node.operators.to_string()).collect();
    addresses.join(",")
}

/// Guards against `check` that lets a mistake pass or fails without one.
#[test]
fn check_tells_mistakes_by_its_code() {
    let settings = example("kanchan/entry-patan-1.ini");
    assert_eq!(code(&["check", &settings]), Some(0));
    let fleet = example("kanchan/fleet.ini");
    assert_eq!(code(&["check", "--declaration", &fleet]), Some(0));
    let broken = scratch_file("broken.ini");
    std::fs::write(&broken, "[node]\nname = a\ndomian = b\n").unwrap();
    let broken = broken.to_str().unwrap();
    assert_eq!(code(&["check", broken]), Some(1));
    assert_eq!(code(&["check", "--declaration", broken]), Some(1));
    assert_eq!(code(&["check"]), Some(2));
    assert_eq!(code(&["check", "no-such-file.ini"]), Some(2));
    assert_eq!(code(&["check", "--nope"]), Some(2));
}

/// Guards against usage mistakes that look like work that failed, or like success.
#[test]
fn wrong_usage_ends_with_two() {
    for command in ["status", "timeline"] {
        assert_eq!(code(&[command]), Some(2));
        assert_eq!(code(&[command, "--node", "balaju-1"]), Some(2));
        assert_eq!(code(&[command, "--node", ""]), Some(2));
    }
    let status = ["status", "--node", NO_NODE, "--after", "soon"];
    assert_eq!(code(&status), Some(2));
    let timeline = ["timeline", "--node", NO_NODE];
    assert_eq!(
        code(&[&timeline[..], &["--kind", "nope"]].concat()),
        Some(2)
    );
    assert_eq!(
        code(&[&timeline[..], &["--since", "soon"]].concat()),
        Some(2)
    );
    assert_eq!(code(&[]), Some(2));
}

/// Guards against a command whose help lacks an example.
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
        let output = program(&[command, &["--help"]].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0));
        assert!(text.contains("$ agatemoor "), "{command:?}:\n{text}");
    }
}

/// Guards against a node that does not answer being left out silently.
#[test]
fn silent_node_is_named_and_fails() {
    for command in ["status", "timeline"] {
        let output = program(&[command, "--node", NO_NODE]);
        assert_eq!(output.status.code(), Some(1));
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        assert!(text.contains(NO_NODE), "{text}");
    }
}

/// Guards against `status` that calls a fleet converged while a declaration is rejected or a
/// target is down, and against one that never calls it converged.
#[tokio::test(flavor = "multi_thread")]
async fn status_follows_the_fleet() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = operators(&fleet);
    wait_status(&nodes, 0, "converged: yes").await;
    let (code, text) = run_program(&["status", "--node", &nodes, "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, &json["converged"]), (Some(0), &true.into()));
    let (code, _) = run_program(&["status", "--node", &nodes, "--watch"]).await;
    assert_eq!(code, Some(0));
    fleet.publish_text("[fleet]\nweight_rat = 1\n");
    wait_status(&nodes, 1, "weight_rat").await;
    fleet.publish();
    wait_status(&nodes, 0, "converged: yes").await;
    fleet.engines[0].handle.kill();
    let name = fleet.engines[0].name.as_str();
    let text = wait_status(&nodes, 1, "converged: no").await;
    assert!(text.contains(name), "{text}");
    fleet.stop().await;
}

/// Guards against a timeline that loses a node, a filter without effect and an unwritten page.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_merges_the_nodes() {
    let fleet = DemoFleet::start().await.unwrap();
    let nodes = operators(&fleet);
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
