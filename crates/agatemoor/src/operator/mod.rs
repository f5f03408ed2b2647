//! Client of the operator interface of nodes, and plain text output of what it reads.

mod node_addresses;
mod operator_client;
mod text_table;

pub use node_addresses::NodeAddresses;
pub use operator_client::{NodeResponse, OperatorClient};
pub use text_table::{TextTable, replace_control_characters};
