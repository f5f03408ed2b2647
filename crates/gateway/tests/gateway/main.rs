//! Gateways in one process against targets and a store that misbehave.

mod calls;
mod crashes;
mod desks;
mod endless;
mod leaving;
mod peers;
mod quiet;
mod sends;
mod streams;
mod support;
