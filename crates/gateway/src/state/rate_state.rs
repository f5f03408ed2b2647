use std::net::SocketAddr;

use base::{ClockTime, DomainName, ServiceName, TargetName, TimeSpan, top_owner};
use entry::{DomainPeak, RateGrant};

use super::{GatewayState, PlacementRefusal};
use crate::{PermitReply, PermitRequest, PermitStep};

/// Time since a node of the own failure domain was heard within which it counts as part of the
/// domain.
const MEMBER_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Time after its start within which a node hears of all failure domains.
const DISCOVERY_TIME: TimeSpan = TimeSpan::from_secs(5);

/// Part of a rate that a node grants while it has found no other node and does not know how many
/// there are.
const LONE_SHARE: f64 = 0.02;

/// Which node shares the rate of a target among all, and what part of it the reachable nodes get.
impl GatewayState {
    /// Node from which this node requests permits for a target; `None` if it grants them itself.
    ///
    /// The coordinator of the target's failure domain grants them, and only coordinators ask it: they
    /// know whether they reach one another. If it can't be reached, the coordinator of another
    /// domain does that all reachable ones choose.
    pub fn permit_source(&mut self, now: ClockTime, target: &TargetName) -> Option<SocketAddr> {
        let own = self.peers.own_address();
        let coordinator = self.coordinator_ranking(now).first().copied();
        if coordinator.is_some() && coordinator != own {
            return coordinator;
        }
        let domain = self.balancer.target(target)?.record.domain.clone();
        if domain == self.domain {
            return None;
        }
        let owner = match self.reach.reaches(now, &domain) {
            true => domain,
            false => self.elect_domain(now, target.as_str())?,
        };
        let ranking = self.remote_coordinator_ranking(now, &owner);
        ranking.first().copied()
    }

    /// Grants permits from the bucket of the target, or as many as wanted if it names no rate; or
    /// tells which node to ask.
    pub fn answer_permit_request(&mut self, now: ClockTime, request: &PermitRequest) -> PermitStep {
        if let Some(source) = self.permit_source(now, &request.target) {
            return PermitStep::PassOn(source);
        }
        let run = (&request.target, request.incarnation);
        let known = self.balancer.rate_mut(run.0, run.1);
        let record = known.as_ref().and_then(|rate| rate.record());
        let record = record.unwrap_or(request.record);
        // Either node may know first that the target is cold.
        let known_cold = known.and_then(|rate| rate.cold_limit(now));
        let cold = known_cold.into_iter().chain(request.cold_rate).min();
        let grant = match record.rate.into_iter().chain(cold).min() {
            None => RateGrant::Permits(request.wanted),
            Some(rate) => {
                let share = self.reachable_share(now);
                if let Some(bucket) = self.rate_ledger.bucket_mut(now, run) {
                    bucket.set_even(cold.is_some());
                }
                self.rate_ledger
                    .grant(now, run, rate, share, &request.node, request.wanted)
            }
        };
        PermitStep::Answer(PermitReply { grant, record })
    }

    /// Creates the buckets of cold targets of the own domain that this node shares among all, so that
    /// they have filled at the lower rate of new buckets before they are needed.
    pub(super) fn prepare_cold_rates(&mut self, now: ClockTime) {
        for (target, incarnation) in self.balancer.local_cold_runs(now) {
            if self.permit_source(now, &target).is_none() {
                self.rate_ledger.bucket_mut(now, (&target, incarnation));
            }
        }
    }

    /// Part of the fleet that this node reaches; it may grant that part of a rate.
    pub fn reachable_share(&mut self, now: ClockTime) -> f64 {
        if self.peers.has_seeds() && !self.knows_fleet_size && !self.is_only_domain(now) {
            return LONE_SHARE;
        }
        let nodes = self.count_own_domain(now);
        self.reach.record(now, &self.domain, nodes);
        self.reach.share(now)
    }

    /// Records the sizes of failure domains that a peer of `domain` reports; only coordinators know the
    /// present number of nodes of their own.
    pub fn record_sizes(
        &mut self,
        now: ClockTime,
        domain: &DomainName,
        nodes: Option<u32>,
        peaks: &[DomainPeak],
    ) {
        for peak in peaks {
            self.reach.record_peak(now, peak);
        }
        if let Some(nodes) = nodes {
            self.reach.record(now, domain, nodes);
            self.knows_fleet_size = true;
        }
    }

    /// Number of nodes of the own failure domain that were heard lately, this one included.
    pub fn count_own_domain(&self, now: ClockTime) -> u32 {
        let peers = self.peers.alive_in(now, &self.domain, MEMBER_TIMEOUT);
        peers.len() as u32 + 1
    }

    /// Adopts the rates of targets that nodes recorded before the targets were known here.
    pub(super) fn apply_known_rates(&mut self, now: ClockTime) {
        for named in self.facts.named_rates(now) {
            if let Some(rate) = self.balancer.rate_mut(&named.target, named.incarnation) {
                rate.adopt(now, named.record);
            }
        }
    }

    /// Drops the buckets of targets whose rates another node shares now.
    pub fn drop_foreign_rates(&mut self, now: ClockTime) {
        for target in self.rate_ledger.targets() {
            let is_gone = self.balancer.target(&target).is_none();
            if is_gone || self.permit_source(now, &target).is_some() {
                self.rate_ledger.remove(&target);
            }
        }
    }

    /// Refusal of a call of a service all of whose targets accept no calls of this node for the time
    /// `left`.
    pub fn refuse_for(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        left: TimeSpan,
    ) -> PlacementRefusal {
        match self.balancer.rate_interval(now, service) {
            None => PlacementRefusal::Backoff(left),
            Some(interval) => {
                let wait = self.returns.next_return(now, service, left, interval);
                PlacementRefusal::RateUsed(wait)
            }
        }
    }

    /// Whether this node has found peers for a while, all in its own failure domain.
    fn is_only_domain(&self, now: ClockTime) -> bool {
        let domains = self.peers.domains(now);
        now.since(ClockTime::ZERO) >= DISCOVERY_TIME && domains == [self.domain.clone()]
    }

    /// Failure domain that all reachable nodes choose for what `key` names, such as to share the rate of
    /// a target whose own domain can't be reached; `None` if it is that of this node.
    pub(super) fn elect_domain(&self, now: ClockTime, key: &str) -> Option<DomainName> {
        let mut domains = self.reach.reachable_domains(now);
        domains.push(&self.domain);
        let names = domains.iter().map(|domain| domain.as_str());
        let owner = top_owner(key, names)?;
        let found = domains.iter().find(|domain| domain.as_str() == owner)?;
        (**found != self.domain).then(|| (*found).clone())
    }
}
