//! Prediction of output lengths.

mod length_bins;
mod length_calibration;
mod length_curve;
mod length_histogram;
mod length_model;

pub use length_bins::{LENGTH_BINS, bin_of, bin_start};
pub use length_calibration::LengthCalibration;
pub use length_curve::LengthCurve;
pub use length_histogram::LengthHistogram;
pub use length_model::LengthModel;
