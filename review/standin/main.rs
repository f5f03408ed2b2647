//! Stand-ins and cases of the review: one program that plays the platform's store, runners and
//! requesters, starts the gateway as the deploy file does, and judges what they saw.
//!
//! Usage: `review-standin CASE FOLDER`. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod client;
mod engine;
mod gateway;
mod http;
mod record;
mod runner;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        std::process::exit(2);
    };
    record::open(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    gateway::start_watchdog();
    let code = std::panic::catch_unwind(|| cases::run(case, trouble)).unwrap_or_else(|_| {
        record::line("the case could not run");
        2
    });
    gateway::end_all();
    record::line(&format!("exit code {code}"));
    std::process::exit(code);
}
