//! Gateways in one process against targets and a store that misbehave.

mod calls;
mod peers;
mod streams;
mod support;
