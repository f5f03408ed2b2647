use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::AnyError;

/// Child process that is killed when this value is dropped.
pub struct ChildProcess {
    child: Child,
    /// Address that the process printed as its first line.
    pub address: SocketAddr,
}

impl ChildProcess {
    /// Starts this program with other arguments and waits for its address.
    pub fn start(args: &[&str]) -> Result<Self, AnyError> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().parse()?;
        Ok(Self { child, address })
    }

    /// Returns the CPU time of all threads so far, user and system.
    ///
    /// Reads `schedstat`, which counts nanoseconds; `utime` and `stime` only count ticks of 10 ms.
    pub fn cpu(&self) -> Result<Duration, AnyError> {
        let mut total = 0;
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = fs::read_to_string(task?.path().join("schedstat"))?;
            let nanos = text.split(' ').next().unwrap_or_default();
            total += nanos.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(total))
    }

    /// Returns the CPU time in user mode and in the kernel so far, in ticks of 10 ms.
    pub fn ticks(&self) -> Result<(u64, u64), AnyError> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, rest) = text.rsplit_once(") ").ok_or("no state")?;
        let mut fields = rest.split(' ').skip(11);
        let mut next = || fields.next().unwrap_or_default().parse::<u64>();
        Ok((next()?, next()?))
    }

    /// Returns the resident memory in KiB.
    pub fn resident(&self) -> Result<u64, AnyError> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let figure = line.and_then(|line| line.trim().split(' ').next());
        Ok(figure.ok_or("no VmRSS")?.parse()?)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
