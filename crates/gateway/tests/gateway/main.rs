//! Gateways in one process against targets and a store that misbehave.

mod calls;
mod desks;
mod endless;
mod peers;
mod streams;
mod support;
