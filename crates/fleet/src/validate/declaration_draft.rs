use std::collections::BTreeMap;

use schema::declaration::{
    DeclarationFile, DomainSection, FleetSection, ModelSection, NodeEntry, RolloutSection,
    RouteSection, ServiceSection, TargetSection, WorkspaceSection,
};

/// The sections of all keys together, before the checks across sections.
#[derive(Default)]
pub struct DeclarationDraft {
    pub fleet: FleetSection,
    pub domains: BTreeMap<String, DomainSection>,
    pub nodes: BTreeMap<String, NodeEntry>,
    pub targets: BTreeMap<String, TargetSection>,
    pub models: BTreeMap<String, ModelSection>,
    pub services: BTreeMap<String, ServiceSection>,
    pub workspaces: BTreeMap<String, WorkspaceSection>,
    pub routes: BTreeMap<String, RouteSection>,
    pub rollouts: BTreeMap<String, RolloutSection>,
}

impl DeclarationDraft {
    /// Adds the sections of one key.
    pub fn add_file(&mut self, file: DeclarationFile) {
        if let Some(fleet) = file.fleet {
            self.fleet = fleet;
        }
        self.domains.extend(file.domain);
        self.nodes.extend(file.node);
        self.targets.extend(file.target);
        self.models.extend(file.model);
        self.services.extend(file.service);
        self.workspaces.extend(file.workspace);
        self.routes.extend(file.route);
        self.rollouts.extend(file.rollout);
    }
}
