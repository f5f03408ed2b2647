use base::{DomainName, IncarnationNumber, NodeName, TimeSpan};

use super::MechanismSet;

/// Identity of this node and the times of the protocol.
///
/// ```
/// use base::{IncarnationNumber, TimeSpan};
/// use member::MemberSettings;
/// let settings = MemberSettings::new(
///     "balaju-1".parse().unwrap(),
///     "balaju".parse().unwrap(),
///     IncarnationNumber(7),
/// );
/// assert_eq!(settings.probe_period, TimeSpan::new(500));
/// ```
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Declared name of this node.
    pub node: NodeName,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// This run of the process; zero is reserved for unknown runs.
    pub incarnation: IncarnationNumber,
    /// Time between two probes of this node.
    pub probe_period: TimeSpan,
    /// Time after which an unanswered probe is repeated through peers.
    pub probe_timeout: TimeSpan,
    /// Time after which a probe through peers has failed.
    pub relay_timeout: TimeSpan,
    /// Peers that are asked to probe a silent node.
    pub relay_peers: usize,
    /// Time between suspicion and death.
    pub suspicion_time: TimeSpan,
    /// A gap between two ticks that counts as a pause of this process.
    pub pause_limit: TimeSpan,
    /// Peers that an urgent rumour is sent to at once.
    pub push_peers: usize,
    /// Shortest time between two such pushes.
    pub push_gap: TimeSpan,
    /// Rumours on one message.
    pub rumor_limit: usize,
    /// Shortest time between two comparisons of views that this node starts.
    pub sync_gap: TimeSpan,
    /// Comparisons of views that this node answers in a second.
    pub sync_answers: u32,
    /// Nodes, and targets, in one message of a comparison of views.
    pub sync_records: usize,
    /// Nodes of a domain that keep the links to other domains.
    pub bridges: usize,
    /// Time between two messages of a bridge to other domains.
    pub bridge_period: TimeSpan,
    /// Silence after which a domain counts as lost.
    pub domain_timeout: TimeSpan,
    /// Time between two probes of nodes that are dead or were never heard.
    pub reconnect_period: TimeSpan,
    /// How far the platform's list may lie behind.
    pub platform_lag: TimeSpan,
    /// Targets of one domain that are remembered.
    pub target_limit: usize,
    /// Switches for tests.
    pub mechanisms: MechanismSet,
}

impl MemberSettings {
    /// Creates settings with the default times.
    pub fn new(node: NodeName, domain: DomainName, incarnation: IncarnationNumber) -> Self {
        Self {
            node,
            domain,
            incarnation,
            probe_period: TimeSpan::new(500),
            probe_timeout: TimeSpan::new(200),
            relay_timeout: TimeSpan::new(400),
            relay_peers: 3,
            suspicion_time: TimeSpan::new(2_000),
            pause_limit: TimeSpan::new(1_000),
            push_peers: 3,
            push_gap: TimeSpan::new(100),
            rumor_limit: 12,
            sync_gap: TimeSpan::new(2_000),
            sync_answers: 4,
            sync_records: 2_000,
            bridges: 2,
            bridge_period: TimeSpan::new(1_000),
            domain_timeout: TimeSpan::new(10_000),
            reconnect_period: TimeSpan::new(1_000),
            platform_lag: TimeSpan::new(30_000),
            target_limit: 4_096,
            mechanisms: MechanismSet::default(),
        }
    }
}
