use std::collections::BTreeMap;

use base::LabelSet;
use schema::declaration::{TargetKind, TargetSection};
use schema::{SettingError, nearest_name};
use smol_str::SmolStr;

use super::declaration_draft::DeclarationDraft;
use super::origin_index::{OriginIndex, SectionProblem};

/// Labels of a target that are set by the system and so may not be declared.
const RESERVED_TARGET_LABELS: [&str; 4] = ["domain", "kind", "service", "target"];
/// Labels of a request that are set by the system and so may not be declared.
const RESERVED_REQUEST_LABELS: [&str; 5] = ["adapter", "model", "service", "version", "workspace"];

/// Checks that compare several sections, such as references by name and unique addresses.
pub struct CrossCheck<'a> {
    draft: &'a DeclarationDraft,
    origins: &'a OriginIndex,
    mistakes: Vec<SettingError>,
}

impl<'a> CrossCheck<'a> {
    /// Creates a check of `draft`.
    pub fn new(draft: &'a DeclarationDraft, origins: &'a OriginIndex) -> Self {
        Self {
            draft,
            origins,
            mistakes: Vec::new(),
        }
    }

    /// Returns every mistake, sorted by file and line.
    pub fn run(mut self) -> Vec<SettingError> {
        self.check_presence();
        self.check_nodes();
        self.check_targets();
        self.check_workspaces();
        self.check_rollouts();
        self.mistakes.sort();
        self.mistakes
    }

    /// Reports a declaration without domains or nodes, which is almost certainly an error of the
    /// operator.
    fn check_presence(&mut self) {
        let present = [
            ("domain", self.draft.domains.is_empty()),
            ("node", self.draft.nodes.is_empty()),
        ];
        for (kind, is_empty) in present {
            if is_empty {
                self.mistakes.push(SettingError {
                    file: SmolStr::new_static("head"),
                    line: 1,
                    key: SmolStr::new(format!("[{kind} NAME]")),
                    found: SmolStr::new_static("nothing"),
                    allowed: SmolStr::new_static("at least one in some key"),
                    nearest: None,
                });
            }
        }
    }

    fn check_nodes(&mut self) {
        let mut addresses = BTreeMap::new();
        for (name, node) in &self.draft.nodes {
            self.check_domain("node", name, node.domain.as_str());
            if let Some(other) = addresses.insert(&node.peer_address, name) {
                let found = format!("the address of [node {other}]");
                self.report("node", name, "peer_address", found, "an address of its own");
            }
        }
    }

    fn check_targets(&mut self) {
        let mut addresses = BTreeMap::new();
        for (name, target) in &self.draft.targets {
            self.check_domain("target", name, target.domain.as_str());
            self.check_kind(name, target);
            self.check_labels(
                "target",
                name,
                target.labels.as_ref(),
                &RESERVED_TARGET_LABELS,
            );
            if let Some(other) = addresses.insert(&target.address, name) {
                let found = format!("the address of [target {other}]");
                self.report("target", name, "address", found, "an address of its own");
            }
        }
    }

    fn check_kind(&mut self, name: &str, target: &TargetSection) {
        match (target.kind, &target.service) {
            (TargetKind::Engine, None) => {}
            (TargetKind::Engine, Some(service)) => {
                let found = format!("`{service}`");
                self.report("target", name, "service", found, "nothing for an engine");
            }
            (TargetKind::Service, None) => {
                let allowed = "the name of a [service NAME]";
                self.report("target", name, "service", "nothing", allowed);
            }
            (TargetKind::Service, Some(service)) => {
                let known = self.draft.services.keys();
                self.check_name("target", name, "service", service.as_str(), known);
            }
        }
        if target.kind == TargetKind::Service && target.role.is_some() {
            self.report("target", name, "role", "a role", "nothing for a service");
        }
    }

    fn check_workspaces(&mut self) {
        let mut keys = BTreeMap::new();
        for (name, workspace) in &self.draft.workspaces {
            let labels = workspace.labels.as_ref();
            self.check_labels("workspace", name, labels, &RESERVED_REQUEST_LABELS);
            let hash = workspace.key_sha256.to_ascii_lowercase();
            if let Some(other) = keys.insert(hash, name) {
                let found = format!("the key of [workspace {other}]");
                self.report("workspace", name, "key_sha256", found, "a key of its own");
            }
        }
    }

    fn check_rollouts(&mut self) {
        for (name, rollout) in &self.draft.rollouts {
            let known = self.draft.models.keys();
            self.check_name("rollout", name, "model", rollout.model.as_str(), known);
        }
    }

    fn check_domain(&mut self, kind: &str, name: &str, domain: &str) {
        let known = self.draft.domains.keys();
        self.check_name(kind, name, "domain", domain, known);
    }

    fn check_name<'n>(
        &mut self,
        kind: &str,
        name: &str,
        key: &'static str,
        found: &str,
        known: impl Iterator<Item = &'n String>,
    ) {
        let names: Vec<&str> = known.map(String::as_str).collect();
        if names.contains(&found) {
            return;
        }
        let mut problem = SectionProblem::new(key, format!("`{found}`"), names.join(", "));
        problem.nearest = nearest_name(found, names).map(SmolStr::new);
        self.mistakes
            .push(self.origins.mistake(kind, name, problem));
    }

    fn check_labels(
        &mut self,
        kind: &str,
        name: &str,
        labels: Option<&LabelSet>,
        reserved: &[&str],
    ) {
        let Some(labels) = labels else {
            return;
        };
        for (label, _) in labels.iter().filter(|(label, _)| reserved.contains(label)) {
            let found = format!("`{label}`");
            let allowed = format!("labels other than {}", reserved.join(", "));
            self.report(kind, name, "labels", found, &allowed);
        }
    }

    fn report(
        &mut self,
        kind: &str,
        name: &str,
        key: &'static str,
        found: impl Into<String>,
        allowed: &str,
    ) {
        let problem = SectionProblem::new(key, found, allowed);
        self.mistakes
            .push(self.origins.mistake(kind, name, problem));
    }
}
