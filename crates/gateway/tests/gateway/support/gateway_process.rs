use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{FakeStore, Gateway};

/// A gateway with a runtime of its own, which ends when the gateway has stopped, so that its
/// connections are closed as by the end of a process.
pub struct GatewayProcess {
    pub callers: SocketAddr,
    terminate: oneshot::Sender<()>,
    thread: JoinHandle<Instant>,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it is ready.
    pub async fn start_ready(store: &Arc<FakeStore>) -> Self {
        let (ready_sender, ready) = oneshot::channel();
        let (terminate, terminated) = oneshot::channel();
        let store = store.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            let ended_at = runtime.block_on(async {
                let gateway = Gateway::start_ready(&store).await;
                ready_sender.send(gateway.callers).unwrap();
                terminated.await.unwrap();
                gateway.server.stop().await;
                Instant::now()
            });
            runtime.shutdown_background();
            ended_at
        });
        Self {
            callers: ready.await.unwrap(),
            terminate,
            thread,
        }
    }

    /// Stops the gateway as planned and returns when its process would have ended.
    pub async fn stop(self) -> Instant {
        self.terminate.send(()).unwrap();
        let joined = tokio::task::spawn_blocking(move || self.thread.join().unwrap());
        joined.await.unwrap()
    }
}
