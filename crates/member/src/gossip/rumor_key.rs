use base::{DomainName, NodeName, TargetName};

/// Names the record that a rumour carries; the record itself is read from the view when the rumour
/// is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumorKey {
    /// State of a node.
    Node(NodeName),
    /// State of a target.
    Target(DomainName, TargetName),
    /// Summary of a domain.
    Domain(DomainName),
    /// Payload that a node published, by its kind.
    Payload(NodeName, u8),
}
