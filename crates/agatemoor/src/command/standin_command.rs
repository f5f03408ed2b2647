use std::net::SocketAddr;

use argh::FromArgs;
use base::{EventKind, TargetName};
use engine::WeightKey;
use standin::{EngineServer, EngineSettings, PlatformServer, ServiceServer};

use super::exit_code::{EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE};
use super::stop_signals::stop_signal;

/// Run a stand-in for an external system: the platform, a model engine or a plain service.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "Run an engine with one version in memory:\n  $ agatemoor stand-in engine --listen 127.0.0.1:9101 --name e1 --load quill:2"
)]
pub struct StandInCommand {
    #[argh(subcommand)]
    kind: StandInKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandInKind {
    Platform(PlatformCommand),
    Engine(EngineCommand),
    App(AppCommand),
}

/// Run a stand-in for the platform: its configuration service and its list of VMs.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "platform",
    example = "  $ agatemoor stand-in platform --listen 127.0.0.1:8500"
)]
struct PlatformCommand {
    /// address and port to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Run a stand-in for a model engine.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "engine",
    example = "  $ agatemoor stand-in engine --listen 127.0.0.1:9101 --name e1 --load quill:2"
)]
struct EngineCommand {
    /// address and port to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// name under which it logs its runs
    #[argh(option)]
    name: TargetName,

    /// MODEL:VERSION in memory at the start; may be repeated
    #[argh(option)]
    load: Vec<String>,

    /// MODEL:VERSION that fails to load; may be repeated
    #[argh(option)]
    broken: Vec<String>,

    /// refuse orders with an outdated fencing number
    #[argh(switch)]
    fencing: bool,

    /// seed of the model; a restarted engine needs another one
    #[argh(option, default = "std::process::id().into()")]
    seed: u64,

    /// the process crashes when it gets a prompt that contains this text
    #[argh(option)]
    crash_text: Option<String>,
}

/// Run a stand-in for a plain service.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "app",
    example = "  $ agatemoor stand-in app --listen 127.0.0.1:9201 --name orders-1"
)]
struct AppCommand {
    /// address and port to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// name under which it logs its runs
    #[argh(option)]
    name: TargetName,
}

impl StandInCommand {
    /// Runs the stand-in until SIGTERM or SIGINT.
    pub async fn run(self) -> u8 {
        match self.kind {
            StandInKind::Platform(command) => command.run().await,
            StandInKind::Engine(command) => command.run().await,
            StandInKind::App(command) => command.run().await,
        }
    }
}

impl PlatformCommand {
    async fn run(self) -> u8 {
        match PlatformServer::bind(self.listen).await {
            Ok(server) => {
                let (handle, _task) = server.start();
                serve_until_signal("platform", handle.address()).await
            }
            Err(error) => report_listen_error(self.listen, &error),
        }
    }
}

impl AppCommand {
    async fn run(self) -> u8 {
        match ServiceServer::bind(self.listen, self.name).await {
            Ok(server) => {
                let (handle, _task) = server.start();
                serve_until_signal("app", handle.address()).await
            }
            Err(error) => report_listen_error(self.listen, &error),
        }
    }
}

impl EngineCommand {
    async fn run(self) -> u8 {
        let mut settings = EngineSettings::new(self.name).with_seed(self.seed);
        for (versions, broken) in [(&self.load, false), (&self.broken, true)] {
            for text in versions {
                let Some(key) = standin::parse_weight_key(text) else {
                    eprintln!("`{text}` is not MODEL:VERSION");
                    return EXIT_USAGE;
                };
                settings = add_weights(settings, key, broken);
            }
        }
        if self.fencing {
            settings = settings.with_fencing();
        }
        if let Some(text) = &self.crash_text {
            settings = settings.with_crash_text(text);
        }
        let listen = self.listen;
        // The engine starts its own runtime, which cannot be done on a thread of this one.
        let started = tokio::task::spawn_blocking(move || EngineServer::start(listen, settings));
        match started.await {
            Ok(Ok(handle)) => {
                let address = handle.address();
                tokio::select! {
                    code = serve_until_signal("engine", address) => code,
                    () = handle.wait_until_stopped() => EXIT_FAILURE,
                }
            }
            Ok(Err(error)) => report_listen_error(listen, &error),
            Err(_) => EXIT_FAILURE,
        }
    }
}

fn add_weights(settings: EngineSettings, key: WeightKey, broken: bool) -> EngineSettings {
    match broken {
        true => settings.with_failing_weights(key),
        false => settings.with_loaded(key),
    }
}

async fn serve_until_signal(kind: &str, address: SocketAddr) -> u8 {
    let number = EventKind::StandInStarted.number();
    log::info!(event = number; "{kind} listens on {address}");
    stop_signal().await;
    EXIT_SUCCESS
}

fn report_listen_error(address: SocketAddr, error: &std::io::Error) -> u8 {
    eprintln!("cannot listen on {address}: {error}");
    EXIT_FAILURE
}
