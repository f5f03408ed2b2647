use std::io;

use argh::FromArgs;
use gateway::GatewayServer;
use platform::{SettingsFile, make_ports};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};

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

    /// validate the settings, print what is wrong with them, and exit
    #[argh(switch)]
    check: bool,
}

impl GatewayCommand {
    /// Starts the entry node and serves until it is stopped.
    pub async fn run(self) -> u8 {
        let file = match &self.settings {
            Some(path) => Ok(SettingsFile::new(path)),
            None => SettingsFile::from_env(),
        };
        let file = file.map(|file| file.with_metrics_port(self.metrics_port));
        let read = file.and_then(|file| Ok((file.read_all()?, file)));
        let ((settings, store), file) = match read {
            Ok(read) => read,
            Err(mistake) => {
                eprintln!("{mistake}");
                return EXIT_USAGE;
            }
        };
        if self.check {
            println!("settings of {} are valid", settings.node);
            return EXIT_SUCCESS;
        }
        let mut signals = match GatewaySignals::install() {
            Ok(signals) => signals,
            Err(error) => {
                eprintln!("cannot install signal handlers: {error}");
                return EXIT_FAILURE;
            }
        };
        let started = GatewayServer::start(settings, make_ports(file, store)).await;
        let server = match started {
            Ok(server) => server,
            Err(failure) => {
                eprintln!("{failure}");
                return EXIT_FAILURE;
            }
        };
        signals.serve_until_stopped(&server).await;
        server.stop().await;
        EXIT_SUCCESS
    }
}

/// Signals that a gateway handles. They are installed before it serves, as each of them would end
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

    /// Returns on SIGTERM or SIGINT; reloads the settings on each SIGHUP before that.
    async fn serve_until_stopped(&mut self, server: &GatewayServer) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => server.reload("SIGHUP"),
            }
        }
    }
}
