use std::fs;
use std::path::Path;

use argh::FromArgs;
use base::TimeSpan;
use load::WorkloadKind;

use super::exit_code::{EXIT_FAILED, EXIT_USAGE};
use super::load_over_http;
use super::load_virtual;

/// Longest run in seconds.
pub const LONGEST_RUN: u64 = 3_600;

/// Drive callers against running nodes, or compare routing policies in virtual time.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "Call two nodes with 5 requests a second for a minute:\n  $ agatemoor load --node 127.0.0.1:8080,127.0.0.1:8081 --key KEY --workload kanchan --rate 5 --seconds 60 --seed 1 --json run.json\nCompare the policies with the baselines in virtual time:\n  $ agatemoor load --virtual --workload lanterna-sul --loads 0.7,0.9,1.1 --seeds 1,2,3,4,5 --html page.html",
    error_code(0, "done"),
    error_code(
        1,
        "a caller saw a wrong stream, no call was answered, or a file could not be written"
    ),
    error_code(2, "wrong usage")
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

    /// callers: most requests in all, 1 to 1000000 (default 100000)
    #[argh(option)]
    pub calls: Option<usize>,

    /// callers: most requests at once, 1 to 20000 (default 2000)
    #[argh(option)]
    pub open: Option<usize>,

    /// callers: time after which an open request is given up, such as 120s (default)
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

    /// virtual: faults of engines, drawn with the first seed, up to 1000 (default 0)
    #[argh(option)]
    pub faults: Option<usize>,

    /// virtual: time before requests are measured (default 300s)
    #[argh(option)]
    pub warmup: Option<TimeSpan>,

    /// virtual: time in which the measured requests arrive (default 600s)
    #[argh(option)]
    pub window: Option<TimeSpan>,
}

impl LoadCommand {
    /// Checks the flags and runs one of the two modes.
    pub fn run(self) -> u8 {
        if let Err(mistake) = self.check_mode().and_then(|()| self.check_files()) {
            return usage(&mistake);
        }
        match self.virtual_time {
            true => load_virtual::run(&self),
            false => load_over_http::run(&self),
        }
    }

    /// A flag of the other mode would have no effect, which its user would not notice.
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
        let (foreign, rule) = match self.virtual_time {
            true => (callers.as_slice(), "has no effect with --virtual"),
            false => (experiment.as_slice(), "needs --virtual"),
        };
        match foreign.iter().find(|(_, given)| *given) {
            Some((flag, _)) => Err(format!("{flag} {rule}")),
            None => Ok(()),
        }
    }

    /// A missing folder is found before the run rather than after it.
    fn check_files(&self) -> Result<(), String> {
        for file in [&self.json, &self.html].into_iter().flatten() {
            let folder = Path::new(file).parent();
            let folder = folder.filter(|folder| !folder.as_os_str().is_empty());
            if folder.is_some_and(|folder| !folder.is_dir()) {
                return Err(format!("the folder of {file} does not exist"));
            }
            if Path::new(file).is_dir() || file.is_empty() {
                return Err(format!("`{file}` is no file"));
            }
        }
        Ok(())
    }
}

/// Prints a mistake in the flags.
pub fn usage(mistake: &str) -> u8 {
    eprintln!("{mistake}\nRun agatemoor load --help for more information.");
    EXIT_USAGE
}

/// Writes `text` to `file`, if one is named; a failure is printed and gives its exit code.
pub fn write_file(file: Option<&str>, text: impl FnOnce() -> String) -> Result<(), u8> {
    let Some(file) = file else {
        return Ok(());
    };
    fs::write(file, text()).map_err(|error| {
        eprintln!("{file}: {error}");
        EXIT_FAILED
    })
}

/// Reads values that are separated by commas.
pub fn parse_list<T: std::str::FromStr>(flag: &str, text: &str) -> Result<Vec<T>, String> {
    let read = |part: &str| {
        let value = part.trim().parse();
        value.map_err(|_| format!("{flag}: `{part}` can't be read"))
    };
    text.split(',').map(read).collect()
}

fn parse_workload(text: &str) -> Result<WorkloadKind, String> {
    let kind = text.replace('-', "_").parse();
    kind.map_err(|_| format!("`{text}` is none of kanchan, lanterna-sul"))
}
