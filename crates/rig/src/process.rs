//! Processes of this workspace.

use std::{
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::OnceLock,
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;

const EXIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process of this workspace. It is killed when dropped.
pub struct Process {
    /// What it is called in messages.
    pub name: String,
    child: Child,
    addresses: Value,
}

impl Process {
    /// Starts a program of this workspace and reads the line in which it says its addresses. Its
    /// standard error goes to `log`.
    pub fn start(program: &str, name: &str, args: &[String], log: &Path) -> eyre::Result<Process> {
        let path = program_path(program)?;
        let log =
            std::fs::File::create(log).wrap_err_with(|| format!("log file {}", log.display()))?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started", path.display()))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("{name} has no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let mut process = Process { name: name.to_owned(), child, addresses: Value::Null };
        process.addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} did not say its addresses: see its log"))?;
        Ok(process)
    }

    /// The address that the process gave under this name.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap_or_default().to_owned()
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes the process: it keeps its connections and does nothing.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to stop, without waiting for it.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process has ended and returns its exit code.
    pub fn wait(&mut self) -> eyre::Result<Option<i32>> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(eyre!("{} did not end within {} s", self.name, EXIT_TIMEOUT.as_secs()))
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal)
            .wrap_err_with(|| format!("signal to {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a program of this workspace to its end and returns its standard output.
pub fn run_program(program: &str, args: &[String]) -> eyre::Result<String> {
    let output = Command::new(program_path(program)?).args(args).stdin(Stdio::null()).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let stderr = String::from_utf8_lossy(&output.stderr);
    Err(eyre!("{program} {} failed with {}: {stderr}", args.join(" "), output.status))
}

/// Path of a program of this workspace, built if it is not up to date.
pub fn program_path(program: &str) -> eyre::Result<PathBuf> {
    static DIR: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let dir = DIR.get_or_init(|| build_programs().map_err(|e| format!("{e:#}")));
    dir.as_ref().map(|dir| dir.join(program)).map_err(|e| eyre!("{e}"))
}

/// Builds the programs with the profile of the running one, and returns their directory.
fn build_programs() -> eyre::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let dir = me
        .ancestors()
        .skip(1)
        .find(|dir| !dir.ends_with("deps"))
        .ok_or_else(|| eyre!("no target directory"))?;
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--workspace", "--bins", "--exclude", "xtask"]);
    if dir.ends_with("release") {
        build.arg("--release");
    }
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = build.status().wrap_err("cargo can't be started")?;
    match status.success() {
        true => Ok(dir.to_owned()),
        false => Err(eyre!("the workspace's programs can't be built: {status}")),
    }
}
