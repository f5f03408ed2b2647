//! Weights of models, versions and adapters.

mod weight_error;
mod weight_key;
mod weight_store;

pub use weight_error::WeightError;
pub use weight_key::WeightKey;
pub use weight_store::WeightStore;
