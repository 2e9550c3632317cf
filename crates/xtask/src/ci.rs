//! The CI task: formatting, lints, build and tests.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

use eyre::eyre;

const CHECKS: [&[&str]; 3] = [
    &["fmt", "--all", "--check"],
    &["clippy", "--workspace", "--all-targets", "--locked", "--", "--deny", "warnings"],
    &["build", "--workspace", "--bins", "--locked"],
];

/// The test command that README states, with `--no-fail-fast` so that every failure is listed.
const TESTS: &[&str] = &["test", "--workspace", "--no-fail-fast"];

/// File that lists the tests whose failure CI tolerates.
const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

/// Runs every step. Fails on the first failed check, and on any failed test that `KNOWN-RED.txt` doesn't
/// list.
pub fn run() -> eyre::Result<()> {
    for step in CHECKS {
        println!("cargo {}", step.join(" "));
        let status = cargo(step).status()?;
        if !status.success() {
            return Err(eyre!("cargo {} failed: {status}", step.join(" ")));
        }
    }
    println!("cargo {}", TESTS.join(" "));
    let known = known_failures()?;
    let outcome = run_tests()?;
    check_failures(&outcome, &known)
}

/// Result of `cargo test`: whether it succeeded, and the names of the failed tests.
struct TestRun {
    success: bool,
    failed: BTreeSet<String>,
}

fn run_tests() -> eyre::Result<TestRun> {
    let mut child = cargo(TESTS).stdout(Stdio::piped()).spawn()?;
    let stdout = child.stdout.take().ok_or_else(|| eyre!("cargo has no output"))?;
    let mut failed = BTreeSet::new();
    for line in BufReader::new(stdout).lines() {
        let line = line?;
        println!("{line}");
        let name = line.strip_prefix("test ").and_then(|rest| rest.strip_suffix(" ... FAILED"));
        failed.extend(name.map(str::to_owned));
    }
    Ok(TestRun { success: child.wait()?.success(), failed })
}

fn check_failures(outcome: &TestRun, known: &BTreeSet<String>) -> eyre::Result<()> {
    for name in known {
        let seen = if outcome.failed.contains(name) { "failed again" } else { "passed this time" };
        println!("known red: {name}: {seen}");
    }
    let new: Vec<&str> = outcome.failed.difference(known).map(String::as_str).collect();
    if !new.is_empty() {
        return Err(eyre!("failed: {}", new.join(", ")));
    }
    // If cargo fails without naming a test, a test didn't compile or its process died.
    if !outcome.success && outcome.failed.is_empty() {
        return Err(eyre!("cargo {} failed", TESTS.join(" ")));
    }
    Ok(())
}

/// Reads the test names of `KNOWN-RED.txt`: the first word of each line that starts with neither `#`
/// nor white space.
fn known_failures() -> eyre::Result<BTreeSet<String>> {
    if !std::fs::exists(KNOWN_FAILURES_FILE)? {
        return Ok(BTreeSet::new());
    }
    let text = std::fs::read_to_string(KNOWN_FAILURES_FILE)?;
    let entries = text.lines().filter(|line| !line.starts_with(['#', ' ', '\t']));
    Ok(entries.filter_map(|line| line.split_whitespace().next()).map(str::to_owned).collect())
}

fn cargo(args: &[&str]) -> Command {
    let mut command = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned()));
    command.args(args);
    command
}
