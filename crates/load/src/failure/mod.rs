//! Errors of this crate.

mod load_error;

pub use load_error::LoadError;
pub(crate) use load_error::{InvalidPlanSnafu, NotLoopbackSnafu, PlotFailedSnafu};
