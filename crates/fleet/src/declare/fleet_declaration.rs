use base::{
    AdapterName, ByteRate, LabelSet, ModelName, NodeName, ServiceName, TargetName, VersionName,
    WorkspaceName,
};
use smol_str::SmolStr;

use super::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace,
};

/// The declared state of the whole fleet; every list is sorted by name.
///
/// Built only by [`crate::validate_set`], which has checked that all names in it exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetDeclaration {
    /// Bytes per second that the weight store serves to the whole fleet.
    pub weight_rate: ByteRate,
    /// Failure domains.
    pub domains: Vec<DeclaredDomain>,
    /// Entry nodes.
    pub nodes: Vec<DeclaredNode>,
    /// Engines and service instances.
    pub targets: Vec<DeclaredTarget>,
    /// Models.
    pub models: Vec<DeclaredModel>,
    /// Plain services.
    pub services: Vec<DeclaredService>,
    /// Workspaces.
    pub workspaces: Vec<DeclaredWorkspace>,
    /// Routes.
    pub routes: Vec<DeclaredRoute>,
    /// Rollouts.
    pub rollouts: Vec<DeclaredRollout>,
    /// Warnings for operators about likely mistakes in a valid declaration.
    pub warnings: Vec<SmolStr>,
    /// Positions in `workspaces`, sorted by key hash.
    pub(crate) by_key_hash: Vec<usize>,
}

impl FleetDeclaration {
    /// Returns the workspace whose bearer key has this SHA-256.
    pub fn workspace_by_key_hash(&self, hash: &[u8; 32]) -> Option<&DeclaredWorkspace> {
        let order = |at: &usize| self.workspaces[*at].key_hash.cmp(hash);
        let found = self.by_key_hash.binary_search_by(order).ok()?;
        Some(&self.workspaces[self.by_key_hash[found]])
    }

    /// Returns the workspace `name`.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&DeclaredWorkspace> {
        find(&self.workspaces, |entry| entry.name.cmp(name))
    }

    /// Returns the target `name`.
    pub fn target(&self, name: &TargetName) -> Option<&DeclaredTarget> {
        find(&self.targets, |entry| entry.name.cmp(name))
    }

    /// Returns the node `name`.
    pub fn node(&self, name: &NodeName) -> Option<&DeclaredNode> {
        find(&self.nodes, |entry| entry.name.cmp(name))
    }

    /// Returns the model `name`.
    pub fn model(&self, name: &ModelName) -> Option<&DeclaredModel> {
        find(&self.models, |entry| entry.name.cmp(name))
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&DeclaredService> {
        find(&self.services, |entry| entry.name.cmp(name))
    }

    /// Returns the labels of a request: those of its workspace, then the workspace, model, version,
    /// adapter and service that the request names.
    pub fn request_labels(
        &self,
        workspace: &DeclaredWorkspace,
        model: Option<&ModelName>,
        version: Option<&VersionName>,
        adapter: Option<&AdapterName>,
        service: Option<&ServiceName>,
    ) -> LabelSet {
        let named = [
            ("workspace", Some(workspace.name.as_str())),
            ("model", model.map(ModelName::as_str)),
            ("version", version.map(VersionName::as_str)),
            ("adapter", adapter.map(AdapterName::as_str)),
            ("service", service.map(ServiceName::as_str)),
        ];
        let labels = workspace.labels.clone();
        named.into_iter().fold(labels, |labels, (key, value)| {
            value.map_or(labels.clone(), |value| labels.with_label(key, value))
        })
    }

    /// Returns the targets that some route allows for a request, by their declared labels alone.
    pub fn candidates(&self, request: &LabelSet) -> Vec<TargetName> {
        self.candidates_with(request, |_| LabelSet::new())
    }

    /// Returns the targets that some route allows for a request. `state_labels` returns the labels
    /// that follow from the actual state of a target, such as the version that it serves.
    pub fn candidates_with(
        &self,
        request: &LabelSet,
        state_labels: impl Fn(&DeclaredTarget) -> LabelSet,
    ) -> Vec<TargetName> {
        let routes: Vec<&DeclaredRoute> = self
            .routes
            .iter()
            .filter(|route| route.requests.matches(request))
            .collect();
        let allowed = |target: &&DeclaredTarget| {
            let mut possible = routes
                .iter()
                .filter(|route| route.may_match(&target.labels))
                .peekable();
            if possible.peek().is_none() {
                return false;
            }
            let labels = target.labels_with_state(&state_labels(target));
            possible.any(|route| route.targets.matches(&labels))
        };
        let targets = self.targets.iter().filter(allowed);
        targets.map(|target| target.name.clone()).collect()
    }
}

fn find<T>(entries: &[T], order: impl Fn(&T) -> std::cmp::Ordering) -> Option<&T> {
    let at = entries.binary_search_by(order).ok()?;
    Some(&entries[at])
}
