use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use async_std::task;
use rustix::process::{Pid, Signal, kill_process};

const POLL: Duration = Duration::from_millis(10);

/// A child process that can be killed, paused and started again.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the daemon; its output goes to `log`.
    pub fn daemon(settings: &Path, log: PathBuf) -> Process {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_lycheefordd"));
        let arguments = vec!["--settings".to_owned(), settings.display().to_string()];
        let mut process = Process { program, arguments, log, child: None };
        process.start();
        process
    }

    /// Starts a stand-in and waits for its ready line.
    pub fn stand_in(name: &str, arguments: Vec<String>, log: PathBuf) -> Process {
        let mut process = Process { program: beside_daemon(name), arguments, log, child: None };
        process.start_stand_in();
        process
    }

    /// Starts the process again after its end, with the same addresses.
    pub fn start(&mut self) {
        self.child = Some(self.command(Stdio::from(self.log_file()), self.log_file().into()));
    }

    /// Starts the process again after its end; it logs to `log` instead of its file.
    pub fn start_logging_to(&mut self, log: File) {
        self.child = Some(self.command(Stdio::from(self.log_file()), log.into()));
    }

    /// Starts a stand-in again after its end, and waits for its ready line.
    pub fn start_stand_in(&mut self) {
        let mut child = self.command(Stdio::piped(), self.log_file().into());
        let mut line = String::new();
        let output = child.stdout.take().expect("stdout is piped");
        BufReader::new(output).read_line(&mut line).expect("stdout is readable");
        let program = self.program.display();
        assert!(line.starts_with("ready "), "{program} isn't ready: {line}");
        self.child = Some(child);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells the process that its settings file has changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process.
    pub async fn ended(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            let child = self.child.as_mut()?;
            if let Some(status) = child.try_wait().expect("the child can be waited for") {
                self.child = None;
                return Some(status);
            }
            task::sleep(POLL).await;
        }
        None
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(None)))
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    fn command(&self, stdout: Stdio, stderr: Stdio) -> Child {
        let started = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn();
        started.unwrap_or_else(|error| panic!("can't start {}: {error}", self.program.display()))
    }

    fn log_file(&self) -> File {
        File::options().create(true).append(true).open(&self.log).expect("the log can be written")
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id().cast_signed()).expect("a child's id isn't zero");
            kill_process(pid, signal).expect("the child runs");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a stand-in's program.
fn beside_daemon(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_lycheefordd"));
    let program = daemon.with_file_name(name);
    assert!(
        program.exists(),
        "{} is missing; run `cargo build --workspace` first",
        program.display()
    );
    program
}
