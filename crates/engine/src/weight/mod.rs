//! Weights of model versions and adapters, and their state in the memory of an engine.

mod weight_error;
mod weight_key;
mod weight_table;

pub use weight_error::WeightError;
pub use weight_key::WeightKey;
pub use weight_table::WeightTable;
