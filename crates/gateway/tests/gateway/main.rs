//! Gateways in one process against targets and a store that misbehave.

mod calls;
mod endless;
mod peers;
mod streams;
mod support;
