use base::{ErrorKind, ServiceName};
use entry::{ConfigVersion, EngineSpec, RouteRule, ServeConfig, WorkspaceIdentity};

/// What a configuration says of a call, by which the call is placed and sent.
#[derive(Clone, Debug)]
pub struct CallAdmission {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Route that matches the call.
    pub route: RouteRule,
    /// Service that was chosen from the route.
    pub service: ServiceName,
    /// Capacity of the service's engines; `None` if its targets are instances of a plain service.
    pub engine: Option<EngineSpec>,
    /// Workspace of the caller, if its key belongs to one.
    pub workspace: Option<WorkspaceIdentity>,
    /// Scheduling priority; 0 is served first.
    pub priority: u8,
}

impl CallAdmission {
    /// Admits a call on `route` with a key; the service stays that of an `earlier` admission if the
    /// route still has it.
    ///
    /// # Errors
    /// If the key is not valid, or the route has no service.
    pub fn new(
        config: &ServeConfig,
        route: &RouteRule,
        key: Option<&str>,
        earlier: Option<&Self>,
    ) -> Result<Self, ErrorKind> {
        let workspace = config
            .authorize(route, key)
            .map_err(|_| ErrorKind::UnknownKey)?;
        let kept = earlier
            .map(|admission| &admission.service)
            .filter(|service| route.has_service(service));
        let service = kept.or_else(|| route.pick_service(rand::random()));
        let service = service.ok_or(ErrorKind::NoTarget)?.clone();
        let priority = workspace.and_then(|rule| rule.priority);
        Ok(Self {
            version: config.version,
            engine: config.service(&service).and_then(|spec| spec.engine),
            service,
            workspace: workspace.map(|rule| rule.identity.clone()),
            priority: priority.unwrap_or(route.priority),
            route: route.clone(),
        })
    }

    /// Whether a call is sent by this admission to the same service and as of the same workspace.
    pub fn is_sent_alike(&self, other: &Self) -> bool {
        self.service == other.service && self.workspace == other.workspace
    }
}
