use base::{ClockTime, NodeName, TargetName, TimeSpan};
use member::TargetState;
use sched::{LoadReport, TargetDigest};

use super::fleet_actor::{FleetActor, PAUSE_LIMIT};
use crate::{HealthUpdate, LoadUpdate, PeerMessage, TargetPhase, TargetUpdate};

/// Longest time without a load update, as a peer that is not heard for 5 s counts as out of reach.
const KEEPALIVE_PERIOD: TimeSpan = TimeSpan::from_secs(3);
/// Least time between two load updates to the peers of the domain; equals the time between two
/// digests of the routing policy.
const MIN_UPDATE_PERIOD: TimeSpan = TimeSpan::new(200);
/// Least time between two load updates for each peer of the domain, so that control traffic does
/// not grow with their number.
const UPDATE_PERIOD_PER_PEER: TimeSpan = TimeSpan::new(100);
/// Time after which the health of a target is sent again even if it has not changed.
const HEALTH_REPEAT_PERIOD: TimeSpan = TimeSpan::from_secs(20);
/// Time after a pause of this process during which received load updates may be outdated, as they
/// may have waited in a socket during the pause.
const UPDATE_DISTRUST_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Most peers for which load updates list the work in flight. With more peers, updates are so far
/// apart that the policy does better with load reports alone: at 26 nodes and digests 1.75 s apart,
/// stall time was 4.8 times that without digests.
const IN_FLIGHT_PEER_LIMIT: usize = 7;

impl FleetActor {
    /// Queues the load of a target for the next load update.
    pub(super) fn queue_report(
        &mut self,
        target: &TargetName,
        report: &LoadReport,
        started: ClockTime,
    ) {
        let update = TargetUpdate {
            target: target.clone(),
            // Holds the time of the measurement until the update is sent, which replaces it by the
            // age.
            age_ms: u32::try_from(started.as_millis()).unwrap_or(u32::MAX),
            figures: [
                report.running,
                report.waiting,
                report.used_pages,
                report.cached_pages,
                report.total_pages,
                report.page_tokens,
            ],
            preemptions: report.preemptions,
            health: None,
        };
        self.pending_reports.retain(|old| old.target != *target);
        self.pending_reports.push(update);
    }

    /// Sends load updates to the peers of the domain: the load and health of targets that this node
    /// probed, and its work in flight.
    pub(super) fn send_load_update(&mut self) {
        let now = self.now();
        if now < self.next_update_at {
            return;
        }
        let own = &self.parts.identity;
        let live = self.membership.live_nodes(&own.domain);
        let peers: Vec<NodeName> = live.into_iter().filter(|name| *name != own.node).collect();
        let scaled = UPDATE_PERIOD_PER_PEER * peers.len() as u64;
        self.next_update_at = now + MIN_UPDATE_PERIOD.max(scaled);
        self.update_sequence += 1;
        self.reset_health_for_new_peers(&peers);
        let keepalive = now >= self.next_keepalive;
        if keepalive {
            self.next_keepalive = now + KEEPALIVE_PERIOD;
        }
        let targets = self.drain_reports(now);
        let in_flight: Vec<_> = match peers.len() <= IN_FLIGHT_PEER_LIMIT {
            true => self.in_flight.iter().map(in_flight_entry).collect(),
            false => Vec::new(),
        };
        for peer in peers {
            // An empty update is sent only to a peer that must learn that the work in flight
            // reported before has ended, and as a keepalive that repeats the revision.
            let nothing_new = in_flight.is_empty() && targets.is_empty() && !keepalive;
            if nothing_new && !self.in_flight_recipients.contains(&peer) {
                continue;
            }
            match in_flight.is_empty() {
                true => self.in_flight_recipients.remove(&peer),
                false => self.in_flight_recipients.insert(peer.clone()),
            };
            let update = LoadUpdate {
                sequence: self.update_sequence,
                in_flight: in_flight.clone(),
                targets: targets.clone(),
                revision: self.revision_view.digest(now),
            };
            self.update_address_book(&peer);
            self.parts.peers.tell(peer, PeerMessage::Load(update));
        }
    }

    /// Forgets which health was sent if there is a new peer, so that it is sent again: the new peer
    /// does not know the health of any target yet.
    fn reset_health_for_new_peers(&mut self, peers: &[NodeName]) {
        let known = |peer| self.last_update_peers.binary_search(peer).is_ok();
        if !peers.iter().all(known) {
            self.health_sent_at.clear();
        }
        self.last_update_peers = peers.to_vec();
        self.last_update_peers.sort_unstable();
    }

    /// Takes the queued reports, replaces their times by ages, and adds health where it is due.
    fn drain_reports(&mut self, now: ClockTime) -> Vec<TargetUpdate> {
        let view = self.parts.view.get();
        let mut targets = std::mem::take(&mut self.pending_reports);
        for update in &mut targets {
            let measured = ClockTime::new(u64::from(update.age_ms));
            update.age_ms = u32::try_from((now - measured).as_millis()).unwrap_or(u32::MAX);
            let sent_at = self.health_sent_at.get(&update.target);
            if sent_at.is_some_and(|at| now - *at < HEALTH_REPEAT_PERIOD) {
                continue;
            }
            self.health_sent_at.insert(update.target.clone(), now);
            update.health = view.target(&update.target).map(|entry| HealthUpdate {
                phase: entry.phase,
                health: entry.health.clone(),
            });
        }
        targets
    }

    /// Handles a load update of a peer.
    pub(super) fn on_load_update(&mut self, from: &NodeName, update: LoadUpdate) {
        let now = self.now();
        let actions = self.revision_view.on_digest(now, from, &update.revision);
        self.execute_revision_actions(actions);
        for target in update.targets {
            let age = u64::from(target.age_ms);
            let measured_at = ClockTime::new(now.as_millis().saturating_sub(age));
            self.on_target_update(target, measured_at);
        }
    }

    /// Whether the ages in received load updates can be trusted. An update that waited in a socket
    /// while this process was paused looks newer than it is, so for a while after a pause orders
    /// are based only on probes of this node.
    fn trusts_load_updates(&self) -> bool {
        let now = self.now();
        let late = self
            .last_tick_at
            .is_some_and(|last| now - last > PAUSE_LIMIT);
        let resumed = self
            .resumed_at
            .is_some_and(|at| now - at < UPDATE_DISTRUST_TIME);
        !late && !resumed
    }

    /// Handles the part of a load update that is about one target.
    pub(super) fn on_target_update(&mut self, update: TargetUpdate, measured_at: ClockTime) {
        let [
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
        ] = update.figures;
        let report = LoadReport {
            target: update.target.clone(),
            measured_at,
            running,
            waiting,
            used_pages,
            cached_pages,
            total_pages,
            page_tokens,
            preemptions: update.preemptions,
        };
        self.parts.sched.report_load(report);
        let Some(HealthUpdate { health, phase }) = update.health else {
            return;
        };
        let known = self.parts.view.get();
        let known = known.target(&update.target);
        let newer = known.is_some_and(|entry| measured_at >= entry.observed_at);
        let unknown = known.is_some_and(|entry| entry.phase == TargetPhase::Unknown);
        let incarnation = health.as_ref().map(|health| health.incarnation);
        if let Some(health) = health.filter(|_| newer) {
            self.update_health(&update.target, &health);
            if self.trusts_load_updates() || !self.reconciler.owns(&update.target) {
                self.report_actual_state(&update.target, &health, measured_at);
            }
        }
        if unknown && phase == TargetPhase::Up {
            self.observe_target(update.target, incarnation, TargetState::Alive);
        }
    }
}

/// Converts a digest of work in flight to its form in a load update.
fn in_flight_entry(digest: &TargetDigest) -> (TargetName, u32, u32, u32) {
    (
        digest.target.clone(),
        digest.in_flight,
        digest.held_tokens,
        digest.peak_tokens,
    )
}

/// Converts an entry of a load update to a digest of work in flight.
pub fn target_digest(entry: (TargetName, u32, u32, u32)) -> TargetDigest {
    let (target, in_flight, held_tokens, peak_tokens) = entry;
    TargetDigest {
        target,
        in_flight,
        held_tokens,
        peak_tokens,
    }
}
