use std::cmp::Ordering;

use base::{ClockTime, DomainName, TimeSpan};
use serde::{Deserialize, Serialize};

/// Time since the coordinator of a failure domain was heard within which its nodes count as
/// reachable; coordinators exchange digests four times a second.
const HEARD_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Time for which the largest size of a failure domain is remembered. Nodes that are missing go on
/// counting until then, since they may be cut off and go on sending.
const PEAK_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// Largest number of failure domains that are remembered.
const DOMAIN_LIMIT: usize = 64;

/// Largest size that a failure domain had lately, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainPeak {
    /// The failure domain.
    pub domain: DomainName,
    /// Number of its nodes.
    pub nodes: u32,
    /// Time since it last had so many.
    pub age: TimeSpan,
}

/// Size of one failure domain.
#[derive(Clone, Debug)]
struct DomainSize {
    domain: DomainName,
    nodes: u32,
    /// When its coordinator was last heard.
    heard_at: Option<ClockTime>,
    peak: u32,
    peak_at: ClockTime,
}

impl DomainSize {
    fn is_reached(&self, now: ClockTime) -> bool {
        self.heard_at
            .is_some_and(|at| now.since(at) < HEARD_TIMEOUT)
    }
}

/// How much of the fleet this node reaches, by the sizes of failure domains that their coordinators
/// report.
///
/// ```
/// use base::{ClockTime, DomainName};
/// use entry::FleetReach;
/// let patan: DomainName = "patan".parse().unwrap();
/// let balaju: DomainName = "balaju".parse().unwrap();
/// let mut reach = FleetReach::default();
/// reach.record(ClockTime::new(0), &patan, 3);
/// reach.record(ClockTime::new(0), &balaju, 3);
/// assert_eq!(reach.share(ClockTime::new(100)), 1.0);
/// reach.record(ClockTime::new(5_000), &patan, 3);
/// assert_eq!(reach.share(ClockTime::new(5_000)), 0.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetReach {
    /// Sorted by domain.
    domains: Vec<DomainSize>,
}

impl FleetReach {
    /// Records the number of nodes that a failure domain has now.
    pub fn record(&mut self, now: ClockTime, domain: &DomainName, nodes: u32) {
        let peak = DomainPeak {
            domain: domain.clone(),
            nodes,
            age: TimeSpan::ZERO,
        };
        self.record_peak(now, &peak);
        if let Ok(at) = self.find(domain) {
            let size = &mut self.domains[at];
            size.nodes = nodes;
            size.heard_at = Some(now);
            if now.since(size.peak_at) > PEAK_RETENTION {
                size.peak = nodes;
                size.peak_at = now;
            }
        }
    }

    /// Records the largest size of a failure domain that another node knows.
    pub fn record_peak(&mut self, now: ClockTime, peak: &DomainPeak) {
        if peak.age > PEAK_RETENTION {
            return;
        }
        let peak_at = ClockTime::new(now.as_millis().saturating_sub(peak.age.as_millis()));
        let size = match self.find(&peak.domain) {
            Ok(at) => &mut self.domains[at],
            Err(_) if self.domains.len() >= DOMAIN_LIMIT => return,
            Err(at) => {
                let size = DomainSize {
                    domain: peak.domain.clone(),
                    nodes: 0,
                    heard_at: None,
                    peak: 0,
                    peak_at,
                };
                self.domains.insert(at, size);
                &mut self.domains[at]
            }
        };
        match peak.nodes.cmp(&size.peak) {
            Ordering::Less => {}
            Ordering::Equal => size.peak_at = size.peak_at.max(peak_at),
            Ordering::Greater => {
                size.peak = peak.nodes;
                size.peak_at = peak_at;
            }
        }
    }

    /// Largest size that each known failure domain had lately, sorted by domain.
    pub fn peaks(&self, now: ClockTime) -> Vec<DomainPeak> {
        let sizes = self.domains.iter();
        sizes
            .map(|size| DomainPeak {
                domain: size.domain.clone(),
                nodes: size.peak,
                age: now.since(size.peak_at),
            })
            .collect()
    }

    /// Largest number of nodes that the known failure domains had lately, added up.
    pub fn fleet_size(&self) -> u32 {
        self.domains.iter().map(|size| size.peak).sum()
    }

    /// Whether the coordinator of a failure domain was heard lately.
    pub fn reaches(&self, now: ClockTime, domain: &DomainName) -> bool {
        let found = self.find(domain);
        found.is_ok_and(|at| self.domains[at].is_reached(now))
    }

    /// Failure domains whose coordinators were heard lately, sorted.
    pub fn reachable_domains(&self, now: ClockTime) -> Vec<&DomainName> {
        let reached = self.domains.iter().filter(|size| size.is_reached(now));
        reached.map(|size| &size.domain).collect()
    }

    /// Part of the fleet's nodes that are reachable, from 0 to 1.
    pub fn share(&self, now: ClockTime) -> f64 {
        let reached = self.domains.iter().filter(|size| size.is_reached(now));
        let reached: u32 = reached.map(|size| size.nodes).sum();
        f64::from(reached.max(1)) / f64::from(self.fleet_size().max(1))
    }

    fn find(&self, domain: &DomainName) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|size| size.domain.cmp(domain))
    }
}
