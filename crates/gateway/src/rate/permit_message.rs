use std::net::SocketAddr;

use base::{CallRate, IncarnationNumber, NodeName, TargetName};
use entry::{RateGrant, RateRecord};
use serde::{Deserialize, Serialize};

/// Request of a node for permits to send to a target that names a rate of calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Node that sends to the target.
    pub node: NodeName,
    /// The target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// Newest record of the rate that the sender knows.
    pub record: RateRecord,
    /// Number of permits that the node can use.
    pub wanted: u32,
    /// How often the request was passed on.
    pub hops: u8,
    /// Rate that holds as the target is cold, as far as the sender knows; `None` if it is warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<CallRate>,
}

impl PermitRequest {
    /// Encodes the request for a peer; as a map if it has the new field, which nodes of the last build
    /// skip in a map but not in an array.
    ///
    /// # Errors
    /// If it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        match self.cold_rate {
            None => rmp_serde::to_vec(self),
            Some(_) => rmp_serde::to_vec_named(self),
        }
    }
}

/// Answer to a request for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The permits, or when to ask again.
    pub grant: RateGrant,
    /// Newest record of the rate that the granting node knows.
    pub record: RateRecord,
}

/// What a node does with a request for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitStep {
    /// It grants permits or refuses them itself.
    Answer(PermitReply),
    /// It passes the request on to the node at this address.
    PassOn(SocketAddr),
}
