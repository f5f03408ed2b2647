//! Writes `docs/events.md` and `docs/errors.md` from the code.
//!
//! `cargo run -p agatemoor --example reference` writes them; with `--check` it only checks
//! that the committed ones are up to date.

mod error_page;
mod event_page;

use std::path::Path;
use std::process::ExitCode;
use std::{env, fs};

fn main() -> ExitCode {
    let check = env::args().any(|arg| arg == "--check");
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let pages = [
        ("events.md", event_page::render_events()),
        ("errors.md", error_page::render_errors()),
    ];
    let mut code = ExitCode::SUCCESS;
    for (name, text) in pages {
        let path = docs.join(name);
        if fs::read_to_string(&path).is_ok_and(|old| old == text) {
            continue;
        }
        if check {
            eprintln!(
                "reference: {name} is out of date; run `cargo run -p agatemoor --example reference`"
            );
            code = ExitCode::FAILURE;
        } else if let Err(error) = fs::write(&path, text) {
            eprintln!("reference: {name}: {error}");
            code = ExitCode::FAILURE;
        }
    }
    code
}
