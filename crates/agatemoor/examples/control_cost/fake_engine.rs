use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::AnyError;

/// Longest request head.
const HEAD_LIMIT: usize = 4_096;

/// Bytes and requests at the sockets of all engines.
#[derive(Default)]
pub struct ProbeCount {
    /// Probes answered.
    pub probes: AtomicU64,
    /// Bytes of requests.
    pub received: AtomicU64,
    /// Bytes of answers.
    pub sent: AtomicU64,
}

/// Answers each request with the health of an engine until the task is aborted.
pub async fn start(
    address: SocketAddr,
    number: u64,
    varied: bool,
    count: Arc<ProbeCount>,
) -> Result<JoinHandle<()>, AnyError> {
    let listener = TcpListener::bind(address).await?;
    Ok(tokio::spawn(async move {
        let mut rng = Pcg64Mcg::seed_from_u64(number);
        while let Ok((stream, _)) = listener.accept().await {
            let seed = rng.random();
            tokio::spawn(answer(stream, seed, varied, count.clone()));
        }
    }))
}

async fn answer(mut stream: TcpStream, seed: u64, varied: bool, count: Arc<ProbeCount>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut head = Vec::new();
    loop {
        let mut part = [0; HEAD_LIMIT];
        let Ok(length @ 1..) = stream.read(&mut part).await else {
            return;
        };
        count.received.fetch_add(length as u64, Ordering::Relaxed);
        head.extend_from_slice(&part[..length]);
        if !head.ends_with(b"\r\n\r\n") || head.len() > HEAD_LIMIT {
            continue;
        }
        head.clear();
        let body = health(&mut rng, varied);
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

fn health(rng: &mut Pcg64Mcg, varied: bool) -> String {
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
