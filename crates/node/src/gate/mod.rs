//! Work in flight, which a planned stop waits for.

mod work_gate;

pub use work_gate::{WorkGate, WorkPermit};
