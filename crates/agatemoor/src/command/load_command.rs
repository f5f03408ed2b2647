use std::fs;
use std::path::Path;

use argh::FromArgs;
use base::TimeSpan;
use load::WorkloadKind;

use super::exit_code::{EXIT_FAILURE, EXIT_USAGE};
use super::load_over_http;
use super::load_virtual;

/// Longest allowed value of `--seconds`.
pub const MAX_RUN_SECONDS: u64 = 3_600;

/// Send load to running nodes, or compare routing policies in virtual time.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "Call two nodes with 5 requests a second for a minute:\n  $ agatemoor load --node 127.0.0.1:8080,127.0.0.1:8081 --key KEY --workload kanchan --rate 5 --seconds 60 --seed 1 --json run.json\nCompare the policies with the baselines in virtual time:\n  $ agatemoor load --virtual --workload lanterna-sul --loads 0.7,0.9,1.1 --seeds 1,2,3,4,5 --html page.html",
    error_code(0, "done"),
    error_code(
        1,
        "a stream had wrong token offsets or counts, no call was answered completely, or a file could not be written"
    ),
    error_code(2, "invalid arguments")
)]
pub struct LoadCommand {
    /// run the experiment in virtual time, without nodes
    #[argh(switch, long = "virtual")]
    virtual_time: bool,

    /// kanchan or lanterna-sul; both if left out with --virtual
    #[argh(option, from_str_fn(parse_workload))]
    pub workload: Option<WorkloadKind>,

    /// JSON file to write
    #[argh(option)]
    pub json: Option<String>,

    /// HTML page to write
    #[argh(option)]
    pub html: Option<String>,

    /// callers: loopback addresses of nodes, separated by commas
    #[argh(option)]
    pub node: Option<String>,

    /// callers: bearer keys, separated by commas; workspaces of the workload use them in turn
    #[argh(option)]
    pub key: Option<String>,

    /// callers: model to ask for (default quill)
    #[argh(option)]
    pub model: Option<String>,

    /// callers: mean requests a second, up to 20000
    #[argh(option)]
    pub rate: Option<f64>,

    /// callers: seconds in which requests arrive, 1 to 3600
    #[argh(option)]
    pub seconds: Option<u64>,

    /// callers: most requests in total, 1 to 1000000 (default 100000)
    #[argh(option)]
    pub calls: Option<usize>,

    /// callers: most requests at once, 1 to 20000 (default 2000)
    #[argh(option)]
    pub open: Option<usize>,

    /// callers: timeout of one request, such as 120s (default)
    #[argh(option)]
    pub call_timeout: Option<TimeSpan>,

    /// callers: seed of arrivals and lengths (default 1)
    #[argh(option)]
    pub seed: Option<u64>,

    /// virtual: offered loads as fractions of capacity (default 0.7,0.9,1.1)
    #[argh(option)]
    pub loads: Option<String>,

    /// virtual: seeds (default 1,2,3,4,5)
    #[argh(option)]
    pub seeds: Option<String>,

    /// virtual: policies (default random,round_robin,least_in_flight,digests); others are
    /// reports, two_choices and probes
    #[argh(option)]
    pub policies: Option<String>,

    /// virtual: number of nodes, 1 to 512 (default 8)
    #[argh(option)]
    pub nodes: Option<usize>,

    /// virtual: number of engines, 1 to 4096 (default 12)
    #[argh(option)]
    pub engines: Option<usize>,

    /// virtual: failure domains over which nodes and engines are spread (default 1)
    #[argh(option)]
    pub domains: Option<usize>,

    /// virtual: random engine faults, drawn with the first seed, up to 1000 (default 0)
    #[argh(option)]
    pub faults: Option<usize>,

    /// virtual: warm-up time before requests are measured (default 300s)
    #[argh(option)]
    pub warmup: Option<TimeSpan>,

    /// virtual: time span in which the measured requests arrive (default 600s)
    #[argh(option)]
    pub window: Option<TimeSpan>,
}

impl LoadCommand {
    /// Validates the flags and runs the selected mode.
    pub fn run(self) -> u8 {
        if let Err(error) = self.check_mode().and_then(|()| self.check_files()) {
            return usage_error(&error);
        }
        match self.virtual_time {
            true => load_virtual::run(&self),
            false => load_over_http::run(&self),
        }
    }

    /// Rejects flags of the other mode, which would otherwise be ignored silently.
    fn check_mode(&self) -> Result<(), String> {
        let callers = [
            ("--node", self.node.is_some()),
            ("--key", self.key.is_some()),
            ("--model", self.model.is_some()),
            ("--rate", self.rate.is_some()),
            ("--seconds", self.seconds.is_some()),
            ("--calls", self.calls.is_some()),
            ("--open", self.open.is_some()),
            ("--call-timeout", self.call_timeout.is_some()),
            ("--seed", self.seed.is_some()),
        ];
        let experiment = [
            ("--loads", self.loads.is_some()),
            ("--seeds", self.seeds.is_some()),
            ("--policies", self.policies.is_some()),
            ("--nodes", self.nodes.is_some()),
            ("--engines", self.engines.is_some()),
            ("--domains", self.domains.is_some()),
            ("--faults", self.faults.is_some()),
            ("--warmup", self.warmup.is_some()),
            ("--window", self.window.is_some()),
        ];
        let (unsupported, rule) = match self.virtual_time {
            true => (callers.as_slice(), "has no effect with --virtual"),
            false => (experiment.as_slice(), "needs --virtual"),
        };
        match unsupported.iter().find(|(_, given)| *given) {
            Some((flag, _)) => Err(format!("{flag} {rule}")),
            None => Ok(()),
        }
    }

    /// Checks the output files before the run, so that its results are not lost to a missing folder.
    fn check_files(&self) -> Result<(), String> {
        for file in [&self.json, &self.html].into_iter().flatten() {
            let folder = Path::new(file).parent();
            let folder = folder.filter(|folder| !folder.as_os_str().is_empty());
            if folder.is_some_and(|folder| !folder.is_dir()) {
                return Err(format!("the folder of {file} does not exist"));
            }
            if Path::new(file).is_dir() || file.is_empty() {
                return Err(format!("`{file}` is not a file name"));
            }
        }
        Ok(())
    }
}

/// Prints an error in the flags and returns the exit code for it.
pub fn usage_error(error: &str) -> u8 {
    eprintln!("{error}\nRun agatemoor load --help for more information.");
    EXIT_USAGE
}

/// Writes `text` to `file`, if one is given.
///
/// # Errors
/// If the file cannot be written, with the exit code; the error has then been printed.
pub fn write_if_named(file: Option<&str>, text: impl FnOnce() -> String) -> Result<(), u8> {
    let Some(file) = file else {
        return Ok(());
    };
    fs::write(file, text()).map_err(|error| {
        eprintln!("{file}: {error}");
        EXIT_FAILURE
    })
}

/// Parses the comma-separated values of `flag`.
pub fn parse_list<T: std::str::FromStr>(flag: &str, text: &str) -> Result<Vec<T>, String> {
    let read = |part: &str| {
        let value = part.trim().parse();
        value.map_err(|_| format!("{flag}: `{part}` is not a valid value"))
    };
    text.split(',').map(read).collect()
}

fn parse_workload(text: &str) -> Result<WorkloadKind, String> {
    let kind = text.replace('-', "_").parse();
    kind.map_err(|_| format!("`{text}` is not a workload; use kanchan or lanterna-sul"))
}
