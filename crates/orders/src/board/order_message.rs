use serde::{Deserialize, Serialize};

use crate::{FencingNumber, RolloutSummary, SlotAnswer, SlotAsk};

/// Content of a message between the boards of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageBody {
    /// To the loader: what a node needs and holds.
    Ask(SlotAsk),
    /// From the loader.
    Answer(SlotAnswer),
    /// Failures of rollouts that the sender knows of.
    Failures(Vec<RolloutSummary>),
    /// The revision alone; `true` asks the receiver for its own.
    Hello(bool),
}

/// One message between the boards of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Revision of the sender with the highest logical time that it has issued or seen.
    pub number: FencingNumber,
    /// Content.
    pub body: MessageBody,
}
