//! Runs gateways in the test process against fake targets and a fake store that can misbehave.

mod addresses;
mod backoff;
mod calls;
mod coordinators;
mod crashes;
mod endless;
mod leaving;
mod lost_responses;
mod paces;
mod peers;
mod prompt_parts;
mod rates;
mod send_checks;
mod stopping;
mod streams;
mod support;
mod unframed;
mod wire_extension;
