//! What a process of this machine uses, from the system's own accounts.

use std::time::Duration;

use eyre::{WrapErr, eyre};

const TICKS_PER_S: u64 = 100;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Memory resident now, in bytes.
    pub resident_bytes: u64,
    /// Processor time used so far.
    pub cpu_time: Duration,
}

/// What the process of that id uses.
pub fn process_usage(id: u32) -> eyre::Result<Usage> {
    let read = |name: &str| {
        let path = format!("/proc/{id}/{name}");
        std::fs::read_to_string(&path).wrap_err_with(|| format!("{path} can't be read"))
    };
    let status = read("status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    let resident_kb = resident_kb.ok_or_else(|| eyre!("process {id} has no resident memory"))?;
    Ok(Usage { resident_bytes: resident_kb * 1024, cpu_time: cpu_time(&read("stat")?)? })
}

/// User and system time: the 14th and 15th fields, counted after the name in parentheses.
fn cpu_time(stat: &str) -> eyre::Result<Duration> {
    let (_, fields) =
        stat.rsplit_once(") ").ok_or_else(|| eyre!("the process's accounts can't be read"))?;
    let ticks: u64 = fields.split(' ').skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}
