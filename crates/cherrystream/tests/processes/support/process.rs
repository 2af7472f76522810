//! Child processes that are killed when dropped.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time limit for a process to exit.
const END_TIMEOUT: Duration = Duration::from_secs(40);

/// A running process.
pub struct Process {
    child: Child,
    started: Instant,
}

impl Process {
    /// Starts a process whose log goes to a file.
    pub fn start(program: &Path, args: &[&str], log: &Path) -> Process {
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Process { child, started: Instant::now() }
    }

    /// Starts a stand-in and returns it with the address that it listens on.
    pub fn start_standin(args: &[&str], log: &Path) -> (Process, String) {
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut child = Command::new(standin())
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap().to_string();
        (Process { child, started: Instant::now() }, address)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Suspends the process, and waits until none of its threads runs.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let start = Instant::now();
        while !self.is_suspended() {
            assert!(start.elapsed() < END_TIMEOUT, "the process runs for {END_TIMEOUT:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn is_suspended(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.map(|thread| thread.unwrap().path().join("stat")).all(|stat| {
            // The state follows the name, which is in parentheses.
            let stat = std::fs::read_to_string(stat).unwrap_or_default();
            stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
        })
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().unwrap();
    }

    /// Sends a signal, unless the process has ended.
    pub fn try_signal(&mut self, signal: Signal) {
        if self.is_running() {
            self.signal(signal);
        }
    }

    /// Returns how long ago the process was started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Kills the process, unless it has ended.
    pub fn kill_if_running(&mut self) {
        if self.is_running() {
            self.kill();
        }
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Returns the number of open file descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Waits until the process exits.
    pub async fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < END_TIMEOUT,
                "the process does not exit within {END_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the program.
pub fn cherrystream() -> PathBuf {
    env!("CARGO_BIN_EXE_cherrystream").into()
}

fn standin() -> PathBuf {
    let path = cherrystream().with_file_name("cherrystream-standin");
    assert!(path.exists(), "build the stand-in first: cargo build -p cherrystream-standin");
    path
}
