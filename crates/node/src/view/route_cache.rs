use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use base::{LabelSet, ServiceName, TargetName, VersionName, WorkspaceName};
use fleet::{DeclaredTarget, DeclaredWorkspace, FleetDeclaration, TargetKind};

use super::{ModelSpec, NodeView, TargetPhase, TargetView};
use crate::LoadedVersion;

/// Most cached entries; the cache is cleared when it is full.
const ENTRY_LIMIT: usize = 16_384;

/// Targets that the routes allow for one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteCandidates {
    /// Targets of this node's failure domain that can serve the request now, sorted by name.
    pub candidates: Arc<[TargetName]>,
    /// Model version to request from each candidate, in the same order; empty for services.
    pub versions: Vec<VersionName>,
    /// Whether the declaration has any target for the request, in any failure domain.
    pub declared: bool,
}

impl RouteCandidates {
    /// Returns the model version to request from `target`.
    pub fn version(&self, target: &TargetName) -> Option<&VersionName> {
        let at = self.candidates.binary_search(target).ok()?;
        self.versions.get(at)
    }
}

/// What the candidates of a request depend on, besides the view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RouteKey {
    Model(WorkspaceName, ModelSpec),
    Service(WorkspaceName, ServiceName),
}

/// Cached candidates and the version of the view from which they were computed.
#[derive(Debug, Default)]
struct CacheState {
    version: u64,
    entries: BTreeMap<RouteKey, Arc<RouteCandidates>>,
}

/// Caches the candidates for each workspace and model or service, until the view changes.
#[derive(Debug, Default)]
pub struct RouteCache {
    state: Mutex<CacheState>,
}

impl RouteCache {
    /// Creates an empty cache.
    ///
    /// ```
    /// let _cache = node::RouteCache::new();
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the engines that may serve a model to a workspace, from the cache if possible.
    pub fn model_candidates(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        workspace: &DeclaredWorkspace,
        spec: &ModelSpec,
    ) -> Arc<RouteCandidates> {
        let key = RouteKey::Model(workspace.name.clone(), spec.clone());
        self.get_or_compute(view, key, || choose_engines(view, fleet, workspace, spec))
    }

    /// Returns the instances of a service that a workspace may use, from the cache if possible.
    pub fn service_candidates(
        &self,
        view: &NodeView,
        fleet: &FleetDeclaration,
        workspace: &DeclaredWorkspace,
        service: &ServiceName,
    ) -> Arc<RouteCandidates> {
        let key = RouteKey::Service(workspace.name.clone(), service.clone());
        self.get_or_compute(view, key, || {
            choose_instances(view, fleet, workspace, service)
        })
    }

    /// Returns the cached candidates for `key`, computed if they are missing or of another view.
    fn get_or_compute(
        &self,
        view: &NodeView,
        key: RouteKey,
        compute: impl FnOnce() -> RouteCandidates,
    ) -> Arc<RouteCandidates> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.version != view.version || state.entries.len() >= ENTRY_LIMIT {
            state.entries.clear();
            state.version = view.version;
        }
        let entry = state.entries.entry(key);
        entry.or_insert_with(|| Arc::new(compute())).clone()
    }
}

/// Computes the engines, with the version of each, that may serve a model to a workspace.
fn choose_engines(
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    spec: &ModelSpec,
) -> RouteCandidates {
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
    RouteCandidates {
        candidates: candidates.into(),
        versions,
        declared: declared && fleet.model(&spec.model).is_some(),
    }
}

/// Chooses the version of a model to request from a target: the one that a rollout wants if it is
/// usable there, otherwise the last usable one by name.
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

/// Tells whether a loaded version is ready and has what the request names.
fn can_serve(loaded: &LoadedVersion, spec: &ModelSpec) -> bool {
    let version = spec.version.as_ref();
    let adapter = spec.adapter.as_ref();
    loaded.ready
        && loaded.model == spec.model
        && version.is_none_or(|version| loaded.version == *version)
        && adapter.is_none_or(|adapter| loaded.adapters.contains(adapter))
}

/// Tells whether a route allows the request at this version on the target.
fn is_allowed(
    fleet: &FleetDeclaration,
    target: &DeclaredTarget,
    loaded: &LoadedVersion,
    spec: &ModelSpec,
    request: &LabelSet,
) -> bool {
    let mut state_labels = LabelSet::new()
        .with_label("model", loaded.model.as_str())
        .with_label("version", loaded.version.as_str());
    if let Some(adapter) = &spec.adapter {
        state_labels = state_labels.with_label("adapter", adapter.as_str());
    }
    let labels = target.labels_with_state(&state_labels);
    fleet
        .routes
        .iter()
        .any(|route| route.requests.matches(request) && route.targets.matches(&labels))
}

/// Computes the instances of a service that a workspace may use.
fn choose_instances(
    view: &NodeView,
    fleet: &FleetDeclaration,
    workspace: &DeclaredWorkspace,
    service: &ServiceName,
) -> RouteCandidates {
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
    RouteCandidates {
        candidates: candidates.into(),
        versions: Vec::new(),
        declared: !declared.is_empty(),
    }
}
