//! Gate that counts the work in flight, so that a planned stop can wait for its end.

mod work_gate;

pub use work_gate::{WorkGate, WorkPermit};
