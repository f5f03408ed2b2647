//! Estimates of output lengths, which are not known before a generation ends.

mod output_estimate;

pub use output_estimate::OutputEstimate;
