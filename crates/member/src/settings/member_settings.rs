use base::{DomainName, IncarnationNumber, NodeName, TimeSpan};

use super::ProtocolFeatures;

/// Identity of this node, and the intervals and limits of the protocol.
///
/// ```
/// use base::{IncarnationNumber, TimeSpan};
/// use member::MemberSettings;
/// let settings = MemberSettings::new(
///     "balaju-1".parse().unwrap(),
///     "balaju".parse().unwrap(),
///     IncarnationNumber(7),
/// );
/// assert_eq!(settings.probe_interval, TimeSpan::new(500));
/// ```
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Declared name of this node.
    pub node: NodeName,
    /// Failure domain of this node.
    pub domain: DomainName,
    /// Number of this run of the process; zero stands for an unknown run.
    pub incarnation: IncarnationNumber,
    /// Time between two probes that this node sends to detect failures.
    pub probe_interval: TimeSpan,
    /// Time after which an unanswered direct probe is followed by an indirect one.
    pub probe_timeout: TimeSpan,
    /// Time after which an indirect probe has failed. Also the deadline of probes that look for
    /// dead or unknown nodes.
    pub indirect_probe_timeout: TimeSpan,
    /// Number of peers that are asked to probe a node that does not answer.
    pub indirect_probe_peers: usize,
    /// Time after which a suspected node is declared dead.
    pub suspicion_timeout: TimeSpan,
    /// A gap between two ticks that is longer than this counts as a pause of the process.
    pub pause_threshold: TimeSpan,
    /// Number of peers that an urgent rumour is sent to at once.
    pub push_fanout: usize,
    /// Shortest time between two such pushes.
    pub push_interval: TimeSpan,
    /// Most rumours taken from the queue for one message.
    pub max_rumors_per_message: usize,
    /// Shortest time between two anti-entropy syncs that this node starts.
    pub sync_interval: TimeSpan,
    /// Most anti-entropy syncs that this node answers in a second.
    pub max_sync_answers_per_second: u32,
    /// Most node records, and most target records, in one sync message.
    pub max_sync_records: usize,
    /// Number of bridge nodes of a domain, which exchange summaries with other domains.
    pub bridge_count: usize,
    /// Time between two messages of a bridge to other domains.
    pub bridge_interval: TimeSpan,
    /// Time without a new sequence number after which a domain counts as lost.
    pub domain_timeout: TimeSpan,
    /// Time between two probes of nodes that are dead or unknown.
    pub reconnect_interval: TimeSpan,
    /// Age up to which the platform's list may be out of date.
    pub platform_lag: TimeSpan,
    /// Most targets of one domain that are held.
    pub max_targets_per_domain: usize,
    /// Switches for tests.
    pub features: ProtocolFeatures,
}

impl MemberSettings {
    /// Creates settings with the default intervals and limits.
    pub fn new(node: NodeName, domain: DomainName, incarnation: IncarnationNumber) -> Self {
        Self {
            node,
            domain,
            incarnation,
            probe_interval: TimeSpan::new(500),
            probe_timeout: TimeSpan::new(200),
            indirect_probe_timeout: TimeSpan::new(400),
            indirect_probe_peers: 3,
            suspicion_timeout: TimeSpan::new(2_000),
            pause_threshold: TimeSpan::new(1_000),
            push_fanout: 3,
            push_interval: TimeSpan::new(100),
            max_rumors_per_message: 12,
            sync_interval: TimeSpan::new(2_000),
            max_sync_answers_per_second: 4,
            max_sync_records: 2_000,
            bridge_count: 2,
            bridge_interval: TimeSpan::new(1_000),
            domain_timeout: TimeSpan::new(10_000),
            reconnect_interval: TimeSpan::new(1_000),
            platform_lag: TimeSpan::new(30_000),
            max_targets_per_domain: 4_096,
            features: ProtocolFeatures::default(),
        }
    }
}
