use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DomainName, EventKind, HybridTime, NodeName, RequestId};

/// One event that a process logged.
///
/// ```
/// use base::{EventKind, EventRecord};
/// let record = EventRecord::new(
///     EventKind::NodeStarted,
///     Default::default(),
///     "balaju-1".parse().unwrap(),
///     "balaju".parse().unwrap(),
/// );
/// assert_eq!(record.to_string(), "0.0 1001 node_started balaju-1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid logical time of the event.
    pub time: HybridTime,
    /// Kind of event.
    pub kind: EventKind,
    /// Node that logged the event.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Request that the event belongs to, if any.
    pub request: Option<RequestId>,
    /// Description of the details; may be empty.
    pub detail: SmolStr,
}

impl EventRecord {
    /// Creates an event without a request and without details.
    pub fn new(kind: EventKind, time: HybridTime, node: NodeName, domain: DomainName) -> Self {
        Self {
            time,
            kind,
            node,
            domain,
            request: None,
            detail: SmolStr::default(),
        }
    }

    /// Returns this event with the request that it belongs to.
    #[must_use]
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Returns this event with a description of its details.
    #[must_use]
    pub fn with_detail(mut self, detail: impl AsRef<str>) -> Self {
        self.detail = SmolStr::new(detail);
        self
    }
}

impl fmt::Display for EventRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self.kind.number();
        write!(f, "{} {number} {} {}", self.time, self.kind, self.node)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        Ok(())
    }
}
