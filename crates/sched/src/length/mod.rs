//! Prediction of output lengths from the lengths of earlier outputs.

mod length_bins;
mod length_calibration;
mod length_distribution;
mod length_histogram;
mod length_predictor;

pub use length_bins::{LENGTH_BINS, bin_index, bin_start};
pub use length_calibration::LengthCalibration;
pub use length_distribution::LengthDistribution;
pub use length_histogram::LengthHistogram;
pub use length_predictor::LengthPredictor;
