//! Checks of the example deployments in `examples/` at the root of the repository.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use fleet::{FleetDeclaration, KeySet, KeyText, TargetKind, make_head, validate_set};
use yare::parameterized;

/// Counts of one deployment, as the design states them.
struct Expected {
    domains: usize,
    nodes: usize,
    engines: usize,
    services: usize,
    workspaces: usize,
}

const KANCHAN: Expected = Expected {
    domains: 4,
    nodes: 8,
    engines: 12,
    services: 4,
    workspaces: 10,
};
const LANTERNA_SUL: Expected = Expected {
    domains: 3,
    nodes: 7,
    engines: 15,
    services: 3,
    workspaces: 10,
};

fn folder(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name)
}

fn load(name: &str) -> FleetDeclaration {
    let text = fs::read_to_string(folder(name).join("fleet.ini")).unwrap();
    let keys = vec![KeyText::new("fleet.ini", text)];
    validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap()
}

/// Guards against examples that no longer match the schemas or the deployments they describe.
#[parameterized(
    kanchan = { "kanchan", KANCHAN },
    lanterna_sul = { "lanterna-sul", LANTERNA_SUL },
)]
fn declarations_have_the_counts_of_their_deployments(name: &str, expected: Expected) {
    let fleet = load(name);
    let count = |kind| fleet.targets.iter().filter(|t| t.kind == kind).count();
    assert_eq!(fleet.domains.len(), expected.domains);
    assert_eq!(fleet.nodes.len(), expected.nodes);
    assert_eq!(count(TargetKind::Engine), expected.engines);
    assert_eq!(count(TargetKind::Service), expected.services);
    assert_eq!(fleet.workspaces.len(), expected.workspaces);
    assert!(fleet.warnings.is_empty(), "{:?}", fleet.warnings);
    for domain in &fleet.domains {
        assert!(fleet.nodes.iter().any(|node| node.domain == domain.name));
        let is_here = |kind| {
            fleet
                .targets
                .iter()
                .any(|t| t.domain == domain.name && t.kind == kind)
        };
        assert!(is_here(TargetKind::Engine) && is_here(TargetKind::Service));
    }
}

/// Guards against examples that lack the usual state of two versions side by side.
#[parameterized(kanchan = { "kanchan" }, lanterna_sul = { "lanterna-sul" })]
fn two_versions_run_side_by_side_in_every_domain(name: &str) {
    let fleet = load(name);
    let versions: BTreeSet<_> = fleet.rollouts.iter().map(|r| r.version.as_str()).collect();
    assert_eq!(versions.len(), 2);
    for rollout in &fleet.rollouts {
        for domain in &fleet.domains {
            let mut engines = fleet.targets.iter().filter(|t| t.domain == domain.name);
            assert!(engines.any(|target| rollout.targets.matches(&target.labels)));
        }
    }
    // A request that names a version gets only the engines that serve it.
    let model = &fleet.models[0].name;
    let version = "2".parse().unwrap();
    let workspace = &fleet.workspaces[0];
    let request = fleet.request_labels(workspace, Some(model), Some(&version), None, None);
    let serving = |target: &fleet::DeclaredTarget| {
        let track = target.labels.get("track");
        let version = if track == Some("next") { "2" } else { "1" };
        format!("model={model},version={version}").parse().unwrap()
    };
    let names = fleet.candidates_with(&request, serving);
    assert_eq!(names.len(), fleet.domains.len());
}

/// Guards against node settings that do not match the declaration in the same folder.
#[parameterized(kanchan = { "kanchan" }, lanterna_sul = { "lanterna-sul" })]
fn settings_match_their_declaration(name: &str) {
    let fleet = load(name);
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(folder(name)).unwrap() {
        let path = entry.unwrap().path();
        if path.file_name().is_some_and(|name| name == "fleet.ini") {
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        let settings = schema::read_settings(&path.to_string_lossy(), &text).unwrap();
        let node = fleet.node(&settings.node.name).unwrap();
        assert_eq!(node.domain, settings.node.domain);
        assert_eq!(node.peer_address.to_string(), settings.peers.listen);
        names.insert(settings.node.name);
    }
    assert_eq!(names.len(), fleet.nodes.len());
}
