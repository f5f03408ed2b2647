use serde::{Deserialize, Serialize};

use crate::{FailureSummary, FencingNumber, PermitRequest, PermitResponse};

/// Content of a message between the reconcilers of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageBody {
    /// To the permit coordinator: the permits that a node wants and holds.
    #[serde(rename = "ask")]
    PermitRequest(PermitRequest),
    /// From the permit coordinator: its response to a request.
    #[serde(rename = "answer")]
    PermitResponse(PermitResponse),
    /// Failures of rollouts that the sender knows of.
    Failures(Vec<FailureSummary>),
    /// No content beside the revision in [`OrderMessage::number`]; `true` asks the receiver to
    /// reply with its own.
    Hello(bool),
}

/// One message between the reconcilers of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderMessage {
    /// The sender's revision and incarnation, with the highest logical time that it has issued or
    /// seen.
    pub number: FencingNumber,
    /// Content.
    pub body: MessageBody,
}
