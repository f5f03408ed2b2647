use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, EventKind, ServiceName, TargetName, TimeSpan};
use entry::PathChange;
use metrics::gauge;
use rand::seq::IndexedRandom;

use super::{GatewayCore, GatewayState};
use crate::forward::probe_path;

/// Time since it was last heard within which a peer can get forwarded calls.
const HELPER_ALIVE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// Nodes of a failure domain for each one with a path above which calls are forwarded to other domains too, so
/// that those few can also serve their own callers.
const LOCAL_HELPER_LOAD: usize = 4;
/// Number of targets to which connections fail in a row from which on one that can't be reached is not
/// taken for dead.
const CUT_OFF_TARGETS: usize = 3;

impl GatewayState {
    /// Picks a peer that may have a path to the targets of a service, not one of `tried`: one of the own failure
    /// domain, or of any if only a few nodes there have a path.
    pub fn pick_helper(
        &self,
        now: ClockTime,
        service: &ServiceName,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let timeout = HELPER_ALIVE_TIMEOUT;
        let mut helpers = self.peers.helpers(now, service, timeout);
        helpers.retain(|peer| {
            !tried.contains(&peer.address) && !self.coordinator.is_unreachable(now, peer.address)
        });
        let local = helpers.iter().filter(|peer| peer.domain == self.domain);
        let (local, alive) = (
            local.count(),
            self.peers.alive_in(now, &self.domain, timeout),
        );
        if local > 0 && alive.len() <= local * LOCAL_HELPER_LOAD {
            helpers.retain(|peer| peer.domain == self.domain);
        }
        let helper = helpers.choose(&mut rand::rng());
        helper.map(|peer| peer.address)
    }

    /// Whether a service has a target that takes calls and to which no connection has failed since one to
    /// any of them was made.
    pub fn has_untried_target(&self, service: &ServiceName) -> bool {
        let mut known = self.balancer.targets().iter();
        known.any(|one| {
            let name = &one.record.name;
            one.record.service == *service
                && one.is_open()
                && !self.paths.has_failed_at(service, name)
        })
    }

    fn open_targets(&self, service: &ServiceName) -> usize {
        let known = self.balancer.targets().iter();
        let open = known.filter(|one| one.record.service == *service && one.is_open());
        open.count()
    }

    fn service_of(&self, target: &TargetName) -> Option<ServiceName> {
        let found = self.balancer.target(target);
        found.map(|one| one.record.service.clone())
    }
}

impl GatewayCore {
    /// Records that a connection to a target was made.
    pub fn record_connection(&self, target: &TargetName) {
        let returned = self.with_state(|state, now| {
            let service = state.service_of(target)?;
            if !state.paths.record_connection(now, &service) {
                return None;
            }
            state.balancer.forget_unreachable(&service);
            state.serve_queue(now);
            Some(service)
        });
        if let Some(service) = returned {
            self.report_path(&service, target, EventKind::PathReturned);
        }
    }

    /// Records that a connection attempt to a target, which began at `began_at`, failed.
    pub fn record_connect_failure(self: &Arc<Self>, target: &TargetName, began_at: ClockTime) {
        let changed = self.with_state(|state, now| {
            let service = state.service_of(target)?;
            let open = state.open_targets(&service);
            let paths = &mut state.paths;
            let change = paths.record_failure(now, &service, target, began_at, open);
            Some((service, change))
        });
        match changed {
            Some((service, PathChange::Lost)) => {
                self.report_path(&service, target, EventKind::PathLost);
            }
            Some((service, PathChange::Doubted)) => {
                tokio::spawn(probe_path(self.clone(), service));
            }
            Some((_, PathChange::Unchanged)) | None => {}
        }
    }

    /// Whether this node reaches no target of the service of `target`, to which a connection failed. If the
    /// path seems to be lost, a connection to another target is tried first.
    ///
    /// A call that crashes its targets connects to each of them before, so it alone never makes connections
    /// to several targets fail in a row.
    pub async fn is_out_of_reach(self: &Arc<Self>, target: &TargetName) -> bool {
        let service = self.with_state(|state, _| {
            let service = state.service_of(target)?;
            state.paths.is_lost(&service).then_some(service)
        });
        let Some(service) = service else {
            return false;
        };
        probe_path(self.clone(), service.clone()).await;
        self.with_state(|state, _| {
            state.paths.is_lost(&service) && state.paths.failed_count(&service) >= CUT_OFF_TARGETS
        })
    }

    /// Waits until the path to a service is lost and a peer may have one.
    pub async fn until_helped(&self, service: &ServiceName) {
        let mut changes = self.watch_paths();
        loop {
            let is_helped = self.with_state(|state, now| {
                state.paths.is_lost(service) && state.pick_helper(now, service, &[]).is_some()
            });
            if is_helped {
                return;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Starts the trials of lost paths that are due.
    pub(super) fn try_lost_paths(self: &Arc<Self>) {
        for service in self.with_state(|state, now| state.paths.take_trials(now)) {
            tokio::spawn(probe_path(self.clone(), service));
        }
    }

    /// Logs and publishes that a path was lost or is back.
    fn report_path(&self, service: &ServiceName, target: &TargetName, kind: EventKind) {
        let lost = self.with_state(|state, _| state.paths.lost_services().len());
        gauge!("gateway_lost_paths").set(lost as f64);
        log::warn!(
            event = kind.number(),
            node = self.node().as_str(),
            service = service.as_str(),
            target = target.as_str(),
            lost = lost;
            "{}", kind.meaning()
        );
        self.notify_paths();
    }
}
