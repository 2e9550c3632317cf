//! Reads memory and CPU time of a process from `/proc`.

use std::time::Duration;

use eyre::{WrapErr, eyre};

/// Linux reports CPU time in `USER_HZ` ticks, 100 per second on all common architectures.
const TICKS_PER_S: u64 = 100;

/// Memory and CPU time of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory now, in bytes.
    pub resident_bytes: u64,
    /// User and system CPU time since the process started.
    pub cpu_time: Duration,
}

/// Reads the usage of the process with this id.
pub fn process_usage(id: u32) -> eyre::Result<Usage> {
    let read = |name: &str| {
        let path = format!("/proc/{id}/{name}");
        std::fs::read_to_string(&path).wrap_err_with(|| format!("read {path}"))
    };
    let status = read("status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    let resident_kb = resident_kb.ok_or_else(|| eyre!("/proc/{id}/status has no VmRSS"))?;
    Ok(Usage { resident_bytes: resident_kb * 1024, cpu_time: cpu_time(&read("stat")?)? })
}

/// Sums user and system time, the 14th and 15th fields of `/proc/PID/stat`. Fields are counted from
/// the end of the program name in parentheses, since the name may contain spaces.
fn cpu_time(stat: &str) -> eyre::Result<Duration> {
    let (_, fields) =
        stat.rsplit_once(") ").ok_or_else(|| eyre!("/proc/PID/stat has no program name"))?;
    let ticks: u64 = fields.split(' ').skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}
