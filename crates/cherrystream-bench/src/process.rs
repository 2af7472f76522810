//! Processes of the program under measurement, and their resource use.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Clock ticks per second in /proc.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// A running process.
pub struct Process {
    child: Child,
}

/// Resource use of a process.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time since the start in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Process {
    /// Starts the program with a settings file; its output is discarded.
    pub fn start(settings: &Path) -> Result<Process, String> {
        let program = program_path()?;
        let child = Command::new(program)
            .args(["run", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("cannot start the program: {e}"))?;
        Ok(Process { child })
    }

    /// Returns the process's resource use so far.
    pub fn cost(&self) -> Cost {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The process name in parentheses may contain spaces, so fields are counted after it.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
        let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
        Cost {
            cpu: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
            memory: pages.unwrap_or(0) * PAGE_BYTES,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the cherrystream program in this program's folder.
fn program_path() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = own.with_file_name("cherrystream");
    if path.exists() {
        return Ok(path);
    }
    Err("the program cherrystream is not built; run: cargo build --release --workspace".into())
}
