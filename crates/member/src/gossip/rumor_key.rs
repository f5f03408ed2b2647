use base::{DomainName, NodeName, TargetName};

/// What a rumour is about; the record itself is read from the view when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumorKey {
    /// State of a node.
    Node(NodeName),
    /// State of a target.
    Target(DomainName, TargetName),
    /// Summary of a domain.
    Domain(DomainName),
    /// Payload of one kind of a node.
    Payload(NodeName, u8),
}
