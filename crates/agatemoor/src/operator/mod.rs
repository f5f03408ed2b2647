//! Reading the operator interface of nodes.

mod node_list;
mod ops_client;
mod text_table;

pub use node_list::NodeList;
pub use ops_client::{NodeAnswer, OpsClient};
pub use text_table::{TextTable, plain_text};
