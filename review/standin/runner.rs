//! Runners: plain ones and model runners.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::http::{Head, read_head, read_request_body};
use crate::record;
use crate::store::Store;

/// A request that reached a runner.
pub struct Arrival {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

impl Arrival {
    /// `Request-Attempt-Id`.
    pub fn id(&self) -> &str {
        self.head.get("request-attempt-id").unwrap_or("")
    }
}

/// What a runner does with a request; returns whether its connection stays open.
pub type Work = Arc<dyn Fn(&Runner, &Arrival, &mut TcpStream) -> bool + Send + Sync>;

/// A running runner.
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    slots: u32,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    /// Ids of the requests that it ran, with the time.
    pub runs: Mutex<Vec<(u64, String)>>,
}

impl Runner {
    /// Starts a runner on `ip`, which is not registered yet.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        ip: &str,
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the runner");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            slots,
            address: listener.local_addr().expect("its address"),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            runs: Mutex::new(Vec::new()),
        });
        let served = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runner, work) = (served.clone(), work.clone());
                std::thread::spawn(move || runner.serve(stream, work));
            }
        });
        runner
    }

    /// Registers in the store, and again every 1,200 ms.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        self.report(store);
        let (runner, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                record::sleep(1_200);
                if store.has(&format!("servers/{}", runner.id)) {
                    runner.report(&store);
                }
            }
        });
    }

    /// Reports `draining`.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.report(store);
        record::line(&format!("runner {}: reports draining", self.id));
    }

    fn report(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = self.state();
        let value = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":1780000000000}}"#,
            self.service, self.address, self.zone, self.slots
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    fn state(&self) -> &'static str {
        match self.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        }
    }

    /// Records that a request runs; `how` is added to the line.
    pub fn begin(&self, arrival: &Arrival, how: &str) {
        self.runs
            .lock()
            .expect("runs")
            .push((record::now_ms(), arrival.id().to_owned()));
        if !arrival.id().starts_with("short") {
            record::line(&format!("runner {}: runs {}{how}", self.id, arrival.id()));
        }
    }

    /// Whether it has begun to run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs
            .lock()
            .expect("runs")
            .iter()
            .any(|(_, run)| run == id)
    }

    /// Number of requests that it has begun to run.
    pub fn run_count(&self) -> usize {
        self.runs.lock().expect("runs").len()
    }

    fn serve(&self, stream: TcpStream, work: Work) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_request_body(&mut reader, &head) else {
                return;
            };
            let arrival = Arrival { head, body };
            let goes_on = match (arrival.head.word(0), arrival.head.word(1)) {
                ("GET", "/health") => answer(
                    &mut writer,
                    "200 OK",
                    &format!("Instance-Id: {}\r\n", self.id),
                    b"",
                ),
                ("GET", "/report") => {
                    let body = format!(
                        r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":2,"queueDepth":0,"activeRequests":1,"kvUsed":4000,"kvTotal":34288,"handles":0,"state":"{}"}}"#,
                        self.state()
                    );
                    answer(
                        &mut writer,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        body.as_bytes(),
                    )
                }
                _ if arrival
                    .head
                    .get("expect-instance")
                    .is_some_and(|id| id != self.id.as_str()) =>
                {
                    answer(
                        &mut writer,
                        "421 Misdirected Request",
                        &format!("Instance-Id: {}\r\n", self.id),
                        b"",
                    )
                }
                _ => work(self, &arrival, &mut writer),
            };
            if !goes_on {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Sends an answer with a length; returns whether that went well.
pub fn answer(writer: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes()).is_ok() && writer.write_all(body).is_ok()
}

/// Headers that a runner puts on its own answers to a request.
pub fn own_headers(arrival: &Arrival) -> String {
    format!(
        "Request-Attempt-Id: {}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
        arrival.id()
    )
}
