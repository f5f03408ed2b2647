use base::ServiceName;
use smol_str::SmolStr;

use super::{ConfigOmission, ConfigVersion, RequestLimits, RouteRule, ServiceSpec, WorkspaceRule};

/// Error: the route needs a key, and the call carries none of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyDenial;

/// One published configuration: routes, services, workspaces and request limits.
///
/// ```
/// let config = entry::ServeConfig::default();
/// assert!(config.route("shop.example", "/orders/1").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServeConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits of requests.
    pub limits: RequestLimits,
    /// Sorted by host, then longest prefix first.
    routes: Vec<RouteRule>,
    /// Sorted by name.
    services: Vec<ServiceSpec>,
    workspaces: Vec<WorkspaceRule>,
    omissions: Vec<ConfigOmission>,
    /// Sorted keys, each with the index of its workspace in `workspaces`.
    keys: Vec<(SmolStr, usize)>,
}

impl ServeConfig {
    /// Creates a configuration without routes.
    pub fn new(version: ConfigVersion, limits: RequestLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Returns this configuration with these routes.
    #[must_use]
    pub fn with_routes(mut self, mut routes: Vec<RouteRule>) -> Self {
        routes.sort_by(|left, right| {
            let length = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(length)
        });
        self.routes = routes;
        self
    }

    /// Returns this configuration with these services.
    #[must_use]
    pub fn with_services(mut self, mut services: Vec<ServiceSpec>) -> Self {
        services.sort_by(|left, right| left.name.cmp(&right.name));
        self.services = services;
        self
    }

    /// Returns this configuration with these workspaces; without any, no call needs a key.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Vec<WorkspaceRule>) -> Self {
        self.keys = Vec::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            let keys = workspace.keys.iter().map(|key| (key.clone(), index));
            self.keys.extend(keys);
        }
        self.keys.sort();
        self.workspaces = workspaces;
        self
    }

    /// Returns this configuration with the workspaces that were left out as they can't be used. Their
    /// keys are unknown, and calls need a key as if there were such workspaces.
    #[must_use]
    pub fn with_omissions(mut self, omissions: Vec<ConfigOmission>) -> Self {
        self.omissions = omissions;
        self
    }

    /// Workspaces that were left out.
    pub fn omissions(&self) -> &[ConfigOmission] {
        &self.omissions
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Finds the route of a host, in lower case and without a port, with the longest prefix of
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        let routes = self.routes[start..].iter();
        let mut of_host = routes.take_while(|route| route.host == host);
        of_host.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Finds a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        let found = self.services.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Finds the workspace to which the key of a call belongs.
    ///
    /// # Errors
    /// `KeyDenial` if the route needs a key and `key` belongs to no workspace.
    pub fn authorize(
        &self,
        route: &RouteRule,
        key: Option<&str>,
    ) -> Result<Option<&WorkspaceRule>, KeyDenial> {
        let found = key.and_then(|key| self.workspace_of(key));
        let needs_key = !self.workspaces.is_empty() || !self.omissions.is_empty();
        if found.is_none() && needs_key && !route.is_public {
            return Err(KeyDenial);
        }
        Ok(found)
    }

    fn workspace_of(&self, key: &str) -> Option<&WorkspaceRule> {
        let found = self
            .keys
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        found.ok().map(|at| &self.workspaces[self.keys[at].1])
    }
}
