//! Runs gateways in the test process against fake targets and a fake store that can misbehave.

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
