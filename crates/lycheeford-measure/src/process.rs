use std::fs;

use snafu::{OptionExt, ResultExt, Whatever};

/// Clock ticks per second in `/proc/PID/stat`, the same on every Linux.
const TICKS_PER_S: u64 = 100;
/// The index of the user time among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;
const BYTES_PER_KB: u64 = 1_024;

/// A process whose figures are read from `/proc`.
#[derive(Debug)]
pub(crate) struct Process {
    pid: u32,
}

impl Process {
    pub(crate) fn new(pid: u32) -> Process {
        Process { pid }
    }

    /// Returns the CPU time used so far, in user and system mode.
    pub(crate) fn cpu_ms(&self) -> Result<u64, Whatever> {
        let stat = self.read("stat")?;
        // The program's name, in parentheses, may contain spaces, so count the fields after it.
        let (_, fields) =
            stat.rsplit_once(')').whatever_context("/proc/PID/stat has no program name")?;
        let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: u64 = times.filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(ticks * 1_000 / TICKS_PER_S)
    }

    pub(crate) fn resident_bytes(&self) -> Result<u64, Whatever> {
        let status = self.read("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next());
        let kb = kb.and_then(|kb| kb.parse::<u64>().ok());
        Ok(kb.whatever_context("/proc/PID/status has no VmRSS")? * BYTES_PER_KB)
    }

    fn read(&self, file: &str) -> Result<String, Whatever> {
        let path = format!("/proc/{}/{file}", self.pid);
        fs::read_to_string(&path).with_whatever_context(|_| format!("can't read {path}"))
    }
}

/// Returns the total CPU time of several processes.
pub(crate) fn cpu_ms<'a>(processes: impl Iterator<Item = &'a Process>) -> Result<u64, Whatever> {
    processes.map(Process::cpu_ms).sum()
}

/// Returns the smallest and the largest resident memory of several processes, as text.
pub(crate) fn resident_range<'a>(
    processes: impl Iterator<Item = &'a Process>,
) -> Result<String, Whatever> {
    let bytes: Vec<u64> = processes.map(Process::resident_bytes).collect::<Result<_, _>>()?;
    let (least, most) = (bytes.iter().min(), bytes.iter().max());
    let mb = |bytes: Option<&u64>| *bytes.unwrap_or(&0) as f64 / 1e6;
    Ok(format!("{:.1} to {:.1} MB", mb(least), mb(most)))
}
