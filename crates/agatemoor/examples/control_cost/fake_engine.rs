use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::AnyError;

/// Longest accepted request head in bytes.
const MAX_HEAD_BYTES: usize = 4_096;

/// Counters of the probes at the sockets of all engines.
#[derive(Default)]
pub struct ProbeCounters {
    /// Number of probes answered.
    pub probes: AtomicU64,
    /// Bytes received in requests.
    pub received: AtomicU64,
    /// Bytes sent in responses.
    pub sent: AtomicU64,
}

/// Starts a fake engine that answers every request with a health response.
///
/// It runs until its task is aborted. `varied` makes it report a random load, drawn with `seed`.
pub async fn start(
    address: SocketAddr,
    seed: u64,
    varied: bool,
    count: Arc<ProbeCounters>,
) -> Result<JoinHandle<()>, AnyError> {
    let listener = TcpListener::bind(address).await?;
    Ok(tokio::spawn(async move {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        while let Ok((stream, _)) = listener.accept().await {
            let connection_seed = rng.random();
            tokio::spawn(serve_connection(
                stream,
                connection_seed,
                varied,
                count.clone(),
            ));
        }
    }))
}

async fn serve_connection(
    mut stream: TcpStream,
    seed: u64,
    varied: bool,
    count: Arc<ProbeCounters>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut head = Vec::new();
    loop {
        let mut part = [0; MAX_HEAD_BYTES];
        let Ok(length @ 1..) = stream.read(&mut part).await else {
            return;
        };
        count.received.fetch_add(length as u64, Ordering::Relaxed);
        head.extend_from_slice(&part[..length]);
        if !head.ends_with(b"\r\n\r\n") || head.len() > MAX_HEAD_BYTES {
            continue;
        }
        head.clear();
        let body = health_body(&mut rng, varied);
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             date: Mon, 01 Jan 2024 00:00:00 GMT\r\n\r\n{body}",
            body.len()
        );
        count.probes.fetch_add(1, Ordering::Relaxed);
        count.sent.fetch_add(text.len() as u64, Ordering::Relaxed);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn health_body(rng: &mut Pcg64Mcg, varied: bool) -> String {
    let running = if varied { rng.random_range(24..56) } else { 40 };
    let used = running * 170;
    format!(
        "{{\"load\":{{\"running\":{running},\"waiting\":0,\"used_pages\":{used},\
         \"cached_pages\":1200,\"total_pages\":9375,\"page_tokens\":16,\"preemptions\":0}},\
         \"incarnation\":1700000000001,\"leaving\":false,\"role\":\"mixed\",\
         \"loaded\":[{{\"model\":\"quill\",\"version\":\"2\",\"adapters\":[],\"ready\":true,\
         \"failure\":null,\"load_rate\":null}}],\"fencing\":null}}"
    )
}
