use std::fs;

use argh::FromArgs;
use fleet::{KeySet, KeyText, make_head, validate_set};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};

/// Validate settings files of nodes, or all files of a declaration together.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "Check settings:\n  $ agatemoor check examples/kanchan/entry-patan-1.ini\nCheck a declaration:\n  $ agatemoor check --declaration examples/kanchan/fleet.ini\nPrint the head to publish after the files of a declaration:\n  $ agatemoor check --declaration --epoch 1 examples/kanchan/fleet.ini"
)]
pub struct CheckCommand {
    /// the files are a declaration rather than settings of nodes
    #[argh(switch)]
    declaration: bool,

    /// print the `head` key of the declaration with this epoch
    #[argh(option)]
    epoch: Option<u64>,

    /// files to check
    #[argh(positional)]
    files: Vec<String>,
}

impl CheckCommand {
    /// Validates the files and prints every mistake.
    pub fn run(self) -> u8 {
        if self.files.is_empty() {
            eprintln!("no file given");
            return EXIT_USAGE;
        }
        let mut texts = Vec::new();
        for file in &self.files {
            match fs::read_to_string(file) {
                Ok(text) => texts.push((file.as_str(), text)),
                Err(error) => {
                    eprintln!("{file}: {error}");
                    return EXIT_USAGE;
                }
            }
        }
        match self.declaration || self.epoch.is_some() {
            true => self.check_declaration(texts),
            false => check_settings(&texts),
        }
    }

    fn check_declaration(&self, texts: Vec<(&str, String)>) -> u8 {
        let keys: Vec<KeyText> = texts
            .into_iter()
            .map(|(file, text)| KeyText::new(key_name(file), text))
            .collect();
        let head = make_head(self.epoch.unwrap_or(0), &keys);
        match validate_set(&KeySet::new(head.clone(), keys)) {
            Ok(fleet) => {
                for warning in &fleet.warnings {
                    eprintln!("warning: {warning}");
                }
                match self.epoch {
                    Some(_) => print!("{head}"),
                    None => println!("ok"),
                }
                EXIT_SUCCESS
            }
            Err(mistakes) => {
                for mistake in mistakes {
                    println!("{mistake}");
                }
                EXIT_FAILURE
            }
        }
    }
}

/// Name of the configuration key for a file: its path without the folders.
fn key_name(file: &str) -> &str {
    file.rsplit('/').next().unwrap_or(file)
}

fn check_settings(texts: &[(&str, String)]) -> u8 {
    let mut code = EXIT_SUCCESS;
    for (file, text) in texts {
        match schema::read_settings(file, text) {
            Ok(_) => println!("{file}: ok"),
            Err(mistakes) => {
                code = EXIT_FAILURE;
                for mistake in mistakes {
                    println!("{mistake}");
                }
            }
        }
    }
    code
}
