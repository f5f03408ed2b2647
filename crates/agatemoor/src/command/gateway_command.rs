use std::io;

use argh::FromArgs;
use base::{ByteCount, TimeSpan};
use gateway::{GatewayListeners, GatewayServer, GatewaySettings};
use platform::{SettingsFile, make_ports};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
use super::exit_deadline::ExitDeadline;
use super::start_wait::{START_TIMEOUT, StartProblem, StartWait};

/// Run an entry node on the users' platform until SIGTERM or SIGINT; SIGHUP reloads the settings.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "gateway",
    example = "Run with the settings that AGATEMOOR_BOOT names and serve metrics on port 9464:\n  $ agatemoor gateway --metrics-port 9464",
    example = "Check settings:\n  $ agatemoor gateway --settings local.json --check"
)]
pub struct GatewayCommand {
    /// settings file; if left out, the path in the environment variable AGATEMOOR_BOOT
    #[argh(option)]
    settings: Option<String>,

    /// port that serves metrics on the node's address; if left out, metrics are not served
    #[argh(option)]
    metrics_port: Option<u16>,

    /// largest body of a response that is not a stream, in bytes (default 8388608B)
    #[argh(option, default = "GatewaySettings::DEFAULT_RESPONSE_LIMIT")]
    response_limit: ByteCount,

    /// longest time that the start waits for valid settings and free addresses (default 30s)
    #[argh(option, default = "START_TIMEOUT")]
    start_timeout: TimeSpan,

    /// validate the settings, print what is wrong with them, and exit
    #[argh(switch)]
    check: bool,
}

impl GatewayCommand {
    /// Starts the entry node and serves until it is stopped.
    pub async fn run(self, deadline: ExitDeadline) -> u8 {
        let file = match &self.settings {
            Some(path) => Ok(SettingsFile::new(path)),
            None => SettingsFile::from_env(),
        };
        let wait = StartWait::new(self.start_timeout);
        let file = match file {
            Ok(file) => file
                .with_metrics_port(self.metrics_port)
                .with_response_limit(self.response_limit),
            Err(mistake) => return wait.fail(&StartProblem::new(mistake, EXIT_USAGE)),
        };
        if self.check {
            return check_settings(&file);
        }
        let mut signals = match GatewaySignals::install() {
            Ok(signals) => signals,
            Err(error) => {
                let reason = format!("cannot install signal handlers: {error}");
                return wait.fail(&StartProblem::new(reason, EXIT_FAILURE));
            }
        };
        let started = tokio::select! {
            () = signals.stop_requested(|| {}) => return EXIT_SUCCESS,
            () = deadline.signalled() => return EXIT_SUCCESS,
            started = wait.run(async || start(&file).await) => started,
        };
        let server = match started {
            Ok(server) => server,
            Err(code) => return code,
        };
        deadline.set_gateway(server.core().clone());
        tokio::select! {
            () = signals.stop_requested(|| server.reload("SIGHUP")) => {}
            () = deadline.signalled() => {}
        }
        server.stop().await;
        EXIT_SUCCESS
    }
}

/// Reads the settings and starts to serve, if all addresses can be opened.
async fn start(file: &SettingsFile) -> Result<GatewayServer, StartProblem> {
    let read = file.read_all();
    let (settings, store) =
        read.map_err(|mistake| StartProblem::new(mistake, EXIT_USAGE).with_transient(true))?;
    let bound = GatewayListeners::bind(&settings).await;
    let listeners = bound.map_err(|error| {
        StartProblem::new(&error, EXIT_FAILURE).with_transient(error.is_transient())
    })?;
    let ports = make_ports(file.clone(), store);
    Ok(GatewayServer::serve(listeners, settings, ports))
}

/// Prints whether the settings are valid; returns the exit code.
fn check_settings(file: &SettingsFile) -> u8 {
    match file.read_all() {
        Ok((settings, _)) => {
            println!("settings of {} are valid", settings.node);
            EXIT_SUCCESS
        }
        Err(mistake) => {
            eprintln!("{mistake}");
            EXIT_USAGE
        }
    }
}

/// Signals that a gateway handles. They are installed before its start waits for anything, as each of them would end
/// the process otherwise.
struct GatewaySignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl GatewaySignals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns on SIGTERM or SIGINT; calls `reload` on each SIGHUP before that.
    async fn stop_requested(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
