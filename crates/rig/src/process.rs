//! Builds, starts and signals programs of this Cargo workspace.

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

/// A child process that runs a program of this Cargo workspace. It is killed when dropped.
pub struct Process {
    /// Name of the process in error messages.
    pub name: String,
    child: Child,
    addresses: Value,
}

impl Process {
    /// Starts a program of this Cargo workspace and waits for the JSON line on its standard output
    /// that lists its addresses. Its standard error goes to the file `log`.
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
            .wrap_err_with(|| format!("start {}", path.display()))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("{name}: stdout is not captured"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let mut process = Process { name: name.to_owned(), child, addresses: Value::Null };
        process.addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} did not print its addresses, see its log"))?;
        Ok(process)
    }

    /// Returns the address that the process printed under `name`; empty if there is none.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP. Its connections stay open.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Sends SIGTERM without waiting for the exit.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits up to 40 s for the process to exit and returns its exit code; `None` if a signal ended
    /// it.
    pub fn wait(&mut self) -> eyre::Result<Option<i32>> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(eyre!("{} did not exit within {} s", self.name, EXIT_TIMEOUT.as_secs()))
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal)
            .wrap_err_with(|| format!("send a signal to {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a program of this Cargo workspace to completion and returns its standard output. An exit
/// code other than 0 is an error that carries the standard error.
pub fn run_program(program: &str, args: &[String]) -> eyre::Result<String> {
    let output = Command::new(program_path(program)?).args(args).stdin(Stdio::null()).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let stderr = String::from_utf8_lossy(&output.stderr);
    Err(eyre!("{program} {} failed with {}: {stderr}", args.join(" "), output.status))
}

/// Returns the path of a program of this Cargo workspace. The first call builds all programs.
pub fn program_path(program: &str) -> eyre::Result<PathBuf> {
    static DIR: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let dir = DIR.get_or_init(|| build_programs().map_err(|e| format!("{e:#}")));
    dir.as_ref().map(|dir| dir.join(program)).map_err(|e| eyre!("{e}"))
}

/// Builds the programs with the profile of the running executable and returns their directory.
fn build_programs() -> eyre::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let dir = me
        .ancestors()
        .skip(1)
        .find(|dir| !dir.ends_with("deps"))
        .ok_or_else(|| eyre!("the running executable is in no target directory"))?;
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--workspace", "--bins", "--exclude", "xtask"]);
    if dir.ends_with("release") {
        build.arg("--release");
    }
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = build.status().wrap_err("start cargo")?;
    match status.success() {
        true => Ok(dir.to_owned()),
        false => Err(eyre!("cargo build failed: {status}")),
    }
}
