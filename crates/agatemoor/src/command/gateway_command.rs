use argh::FromArgs;
use base::EventKind;
use gateway::GatewayServer;
use platform::{SettingsFile, make_ports};
use tokio::signal::unix::{SignalKind, signal};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
use super::node_command::stop_signal;

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
        let started = GatewayServer::start(settings, make_ports(file, store)).await;
        let server = match started {
            Ok(server) => server,
            Err(failure) => {
                eprintln!("{failure}");
                return EXIT_FAILURE;
            }
        };
        serve_until_stopped(&server).await;
        server.stop().await;
        EXIT_SUCCESS
    }
}

async fn serve_until_stopped(server: &GatewayServer) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            let number = EventKind::ProcessMessage.number();
            log::warn!(event = number; "cannot install the SIGHUP handler, so settings are not reloaded: {error}");
            return stop_signal().await;
        }
    };
    let mut stop = Box::pin(stop_signal());
    loop {
        tokio::select! {
            () = &mut stop => return,
            _ = hangup.recv() => server.reload("SIGHUP"),
        }
    }
}
