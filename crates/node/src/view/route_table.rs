use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use base::{LabelSet, ServiceName, TargetName, VersionName, WorkspaceName};
use fleet::{DeclaredTarget, DeclaredWorkspace, FleetDeclaration, TargetKind};

use super::{ModelSpec, NodeView, TargetPhase, TargetView};
use crate::LoadedVersion;

/// Choices kept in memory; the table starts anew when it is full.
const CHOICE_LIMIT: usize = 16_384;

/// Targets that the selectors allow to a kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteChoice {
    /// Targets that can serve it now, sorted by name.
    pub candidates: Arc<[TargetName]>,
    /// Version to ask each candidate for, in the same order; empty for services.
    pub versions: Vec<VersionName>,
    /// Whether the declaration has a target for it at all, in any failure domain.
    pub declared: bool,
}

impl RouteChoice {
    /// Returns the version to ask `target` for.
    pub fn version(&self, target: &TargetName) -> Option<&VersionName> {
        let at = self.candidates.binary_search(target).ok()?;
        self.versions.get(at)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RouteKey {
    Model(WorkspaceName, ModelSpec),
    Service(WorkspaceName, ServiceName),
}

#[derive(Debug, Default)]
struct TableState {
    version: u64,
    choices: BTreeMap<RouteKey, Arc<RouteChoice>>,
}

/// Route choices of the current view, computed once for each workspace and model.
#[derive(Debug, Default)]
pub struct RouteTable {
    state: Mutex<TableState>,
}

impl RouteTable {
    /// Creates an empty table.
    ///
    /// ```
    /// let _table = node::RouteTable::new();
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the engines that may serve a model to a workspace.
    pub fn model_choice(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        workspace: &DeclaredWorkspace,
        spec: &ModelSpec,
    ) -> Arc<RouteChoice> {
        let key = RouteKey::Model(workspace.name.clone(), spec.clone());
        self.find_or(view, key, || choose_engines(view, fleet, workspace, spec))
    }

    /// Returns the instances of a service that a workspace may use.
    pub fn service_choice(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        workspace: &DeclaredWorkspace,
        service: &ServiceName,
    ) -> Arc<RouteChoice> {
        let key = RouteKey::Service(workspace.name.clone(), service.clone());
        self.find_or(view, key, || {
            choose_instances(view, fleet, workspace, service)
        })
    }

    fn find_or(
        &self,
        view: &NodeView,
        key: RouteKey,
        choose: impl FnOnce() -> RouteChoice,
    ) -> Arc<RouteChoice> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.version != view.version || state.choices.len() >= CHOICE_LIMIT {
            state.choices.clear();
            state.version = view.version;
        }
        let choice = state.choices.entry(key);
        choice.or_insert_with(|| Arc::new(choose())).clone()
    }
}

fn choose_engines(
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    spec: &ModelSpec,
) -> RouteChoice {
    let (model, version) = (Some(&spec.model), spec.version.as_ref());
    let request = fleet.request_labels(workspace, model, version, spec.adapter.as_ref(), None);
    let mut chosen = Vec::new();
    for state in view
        .targets
        .iter()
        .filter(|state| state.phase == TargetPhase::Up)
    {
        let Some(target) = fleet.target(&state.target) else {
            continue;
        };
        if target.kind != TargetKind::Engine {
            continue;
        }
        if let Some(version) = choose_version(fleet, target, state, spec, &request) {
            chosen.push((target.name.clone(), version));
        }
    }
    let (candidates, versions): (Vec<_>, Vec<_>) = chosen.into_iter().unzip();
    let declared = fleet.targets.iter().any(|target| {
        let routes = fleet.routes.iter();
        let mut open = routes.filter(|route| route.requests.matches(&request));
        target.kind == TargetKind::Engine && open.any(|route| route.may_match(&target.labels))
    });
    RouteChoice {
        candidates: candidates.into(),
        versions,
        declared: declared && fleet.model(&spec.model).is_some(),
    }
}

/// The version that a rollout wants goes before the others; among those the last by name.
fn choose_version(
    fleet: &FleetDeclaration,
    target: &DeclaredTarget,
    state: &TargetView,
    spec: &ModelSpec,
    request: &LabelSet,
) -> Option<VersionName> {
    let health = state.health.as_ref()?;
    let wanted = fleet
        .rollouts
        .iter()
        .find(|rollout| rollout.model == spec.model && rollout.targets.matches(&target.labels));
    let wanted = wanted.map(|rollout| &rollout.version);
    let usable = health.loaded.iter().filter(|loaded| {
        can_serve(loaded, spec) && is_allowed(fleet, target, loaded, spec, request)
    });
    let best = usable.max_by_key(|loaded| (Some(&loaded.version) == wanted, &loaded.version))?;
    Some(best.version.clone())
}

fn can_serve(loaded: &LoadedVersion, spec: &ModelSpec) -> bool {
    let version = spec.version.as_ref();
    let adapter = spec.adapter.as_ref();
    loaded.ready
        && loaded.model == spec.model
        && version.is_none_or(|version| loaded.version == *version)
        && adapter.is_none_or(|adapter| loaded.adapters.contains(adapter))
}

fn is_allowed(
    fleet: &FleetDeclaration,
    target: &DeclaredTarget,
    loaded: &LoadedVersion,
    spec: &ModelSpec,
    request: &LabelSet,
) -> bool {
    let mut overlay = LabelSet::new()
        .with_label("model", loaded.model.as_str())
        .with_label("version", loaded.version.as_str());
    if let Some(adapter) = &spec.adapter {
        overlay = overlay.with_label("adapter", adapter.as_str());
    }
    let labels = target.labels_with_state(&overlay);
    fleet
        .routes
        .iter()
        .any(|route| route.requests.matches(request) && route.targets.matches(&labels))
}

fn choose_instances(
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    service: &ServiceName,
) -> RouteChoice {
    let request = fleet.request_labels(workspace, None, None, None, Some(service));
    let serves = |target: &&TargetName| {
        let target = fleet.target(target);
        target.is_some_and(|target| target.service.as_ref() == Some(service))
    };
    let allowed = fleet.candidates(&request);
    let declared: Vec<&TargetName> = allowed.iter().filter(serves).collect();
    let up = declared.iter().filter(|name| {
        let state = view.target(name);
        state.is_some_and(|state| state.phase == TargetPhase::Up)
    });
    let candidates: Vec<TargetName> = up.map(|name| TargetName::clone(name)).collect();
    RouteChoice {
        candidates: candidates.into(),
        versions: Vec::new(),
        declared: !declared.is_empty(),
    }
}
