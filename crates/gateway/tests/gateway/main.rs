//! Gateways in one process against targets and a store that misbehave.

mod backoff;
mod calls;
mod coordinators;
mod crashes;
mod endless;
mod leaving;
mod peers;
mod send_checks;
mod streams;
mod support;
