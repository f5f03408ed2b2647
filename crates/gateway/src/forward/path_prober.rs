use std::sync::Arc;

use base::ServiceName;
use rand::seq::IndexedRandom;
use web::ReusePolicy;

use crate::GatewayCore;

/// Opens a connection to one target of a service to which the path seems to be lost, which shows whether it
/// is. Nothing is sent on it.
pub async fn probe_path(core: Arc<GatewayCore>, service: ServiceName) {
    let target = core.with_state(|state, _| {
        let known = state.balancer.targets().iter();
        let open = known.filter(|one| one.record.service == service && one.is_open());
        let mut open: Vec<_> = open.map(|one| &one.record).collect();
        let paths = &state.paths;
        if state.has_untried_target(&service) {
            open.retain(|record| !paths.has_failed_at(&service, &record.name));
        }
        let chosen = open.choose(&mut rand::rng())?;
        Some((chosen.name.clone(), chosen.address))
    });
    let Some((target, address)) = target else {
        return;
    };
    let began_at = core.now();
    match core.pool.connect(address, ReusePolicy::NewOnly).await {
        Ok(_connection) => core.record_connection(&target),
        Err(_) => core.record_connect_failure(&target, began_at),
    }
}
