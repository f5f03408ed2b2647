//! Runs gateways in the test process against fake targets and a fake store that can misbehave.

mod addresses;
mod backoff;
mod calls;
mod cold;
mod coordinators;
mod crashes;
mod endless;
mod evacuation;
mod leaving;
mod lost_responses;
mod moves;
mod paces;
mod panics;
mod peers;
mod prompt_parts;
mod queueing;
mod rates;
mod send_checks;
mod statuses;
mod stopping;
mod store_eras;
mod store_outages;
mod streams;
mod support;
mod unframed;
mod wire_extension;
