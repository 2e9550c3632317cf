//! Settings, read from flags and environment variables and checked when the daemon starts.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, builder::ValueParser, value_parser};
use eyre::WrapErr;
use model::{key::FleetSecret, prelude::*};
use route::transaction::TransactionLimits;

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmName,
    /// Incarnation of this VM: the number of this process run, never used before by this VM.
    pub incarnation: Incarnation,
    /// Data centre that this VM is in.
    pub dc: DcName,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the listener for other VMs.
    pub peer_listen: SocketAddr,
    /// Address of the listener for operators.
    pub ops_listen: SocketAddr,
    /// Address at which other VMs reach the peers' listener. Defaults to the address that it is
    /// bound to.
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform, which stores the configuration and the list of VMs.
    pub platform: SocketAddr,
    /// Secret shared by all VMs of the fleet, which authenticates peer messages and tokens.
    pub fleet_secret: FleetSecret,
    /// Format of the log.
    pub log_format: LogFormat,
    /// StatsD address that counters are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// Number of worker threads of the runtime.
    pub threads: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Peer addresses of other VMs, so that this VM can start while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// How long a planned stop continues to accept requests, so that balancers and other VMs notice
    /// it.
    pub stop_notice: Duration,
    /// How long a planned stop waits for requests and transactions to end.
    pub drain_limit: Duration,
    /// Interval of the status queries to each database.
    pub status_interval: DurationUs,
    /// Time limits after which transactions are rolled back.
    pub transaction_limits: TransactionLimits,
}

impl Settings {
    /// Reads the settings from the parsed command line, and the fleet's secret from its file.
    pub fn new(matches: &ArgMatches) -> eyre::Result<Settings> {
        let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
        let required = |name: &str| {
            address(name).ok_or_else(|| eyre::eyre!("--{name} is missing: give ip:port"))
        };
        Ok(Settings {
            vm: required_value(matches, "vm")?,
            incarnation: Incarnation(required_value(matches, "incarnation")?),
            dc: required_value(matches, "dc")?,
            listen: required("listen")?,
            peer_listen: required("peer-listen")?,
            ops_listen: required("ops-listen")?,
            peer_address: address("peer-address"),
            platform: required("platform")?,
            fleet_secret: read_secret(&required_value::<PathBuf>(matches, "fleet-secret-file")?)?,
            log_format: match required_value::<String>(matches, "log-format")?.as_str() {
                "json" => LogFormat::Json,
                _ => LogFormat::Terminal,
            },
            statsd: address("statsd"),
            threads: required_value::<u64>(matches, "threads")? as usize,
            max_connections: required_value::<u64>(matches, "max-connections")? as usize,
            seeds: matches.get_many("seeds").unwrap_or_default().copied().collect(),
            stop_notice: Duration::from_millis(required_value(matches, "stop-notice-ms")?),
            drain_limit: Duration::from_millis(required_value(matches, "drain-limit-ms")?),
            status_interval: DurationUs::from_ms(required_value(matches, "status-interval-ms")?),
            transaction_limits: TransactionLimits {
                idle_timeout: DurationUs::from_ms(required_value(matches, "transaction-idle-ms")?),
                total_timeout: DurationUs::from_ms(required_value(
                    matches,
                    "transaction-limit-ms",
                )?),
            },
        })
    }
}

/// Defines the command line.
pub fn command() -> Command {
    Command::new("jasminepassd")
        .version(clap::crate_version!())
        .about("A database proxy with session consistency; one runs on every VM")
        .after_help(
            "Every setting can also be given in the environment, such as JASMINEPASS_VM for --vm.",
        )
        .arg(setting("vm", "JASMINEPASS_VM", "Name of this VM", name::<VmName>()).required(true))
        .arg(
            setting(
                "incarnation",
                "JASMINEPASS_INCARNATION",
                "Number of this process run, never used before by this VM",
                range(0, u64::MAX),
            )
            .required(true),
        )
        .arg(
            setting("dc", "JASMINEPASS_DC", "Data centre that this VM is in", name::<DcName>())
                .required(true),
        )
        .arg(
            setting("listen", "JASMINEPASS_LISTEN", "Address of the listener for callers", socket())
                .default_value("127.0.0.1:0"),
        )
        .arg(
            setting(
                "peer-listen",
                "JASMINEPASS_PEER_LISTEN",
                "Address of the listener for other VMs",
                socket(),
            )
            .default_value("127.0.0.1:0"),
        )
        .arg(
            setting(
                "ops-listen",
                "JASMINEPASS_OPS_LISTEN",
                "Address of the listener for operators",
                socket(),
            )
            .default_value("127.0.0.1:0"),
        )
        .arg(setting(
            "peer-address",
            "JASMINEPASS_PEER_ADDRESS",
            "Address at which other VMs reach the peers' listener, if not the one it is bound to",
            socket(),
        ))
        .arg(
            setting("platform", "JASMINEPASS_PLATFORM", "Address of the platform", socket())
                .required(true),
        )
        .arg(
            setting(
                "fleet-secret-file",
                "JASMINEPASS_FLEET_SECRET_FILE",
                "File with the secret that all VMs of the fleet share",
                value_parser!(PathBuf),
            )
            .required(true),
        )
        .arg(
            setting(
                "log-format",
                "JASMINEPASS_LOG_FORMAT",
                "Format of the log",
                ["json", "terminal"].into(),
            )
            .default_value("json"),
        )
        .arg(setting(
            "statsd",
            "JASMINEPASS_STATSD",
            "StatsD address that counters are sent to",
            socket(),
        ))
        .arg(
            setting("threads", "JASMINEPASS_THREADS", "Number of worker threads", range(1, 64))
                .default_value("2"),
        )
        .arg(
            setting(
                "max-connections",
                "JASMINEPASS_MAX_CONNECTIONS",
                "Maximum number of open connections of callers",
                range(1, 1 << 20),
            )
            .default_value("8192"),
        )
        .arg(
            setting(
                "seeds",
                "JASMINEPASS_SEEDS",
                "Peer addresses of other VMs, used when the platform can't be reached; separated by commas",
                socket(),
            )
            .value_delimiter(','),
        )
        .arg(
            setting(
                "stop-notice-ms",
                "JASMINEPASS_STOP_NOTICE_MS",
                "How long a planned stop continues to accept requests, so that balancers and other VMs notice it, in milliseconds",
                range(0, 600_000),
            )
            .default_value("5000"),
        )
        .arg(
            setting(
                "drain-limit-ms",
                "JASMINEPASS_DRAIN_LIMIT_MS",
                "How long a planned stop waits for requests and transactions to end, in milliseconds",
                range(0, 600_000),
            )
            .default_value("30000"),
        )
        .arg(
            setting(
                "status-interval-ms",
                "JASMINEPASS_STATUS_INTERVAL_MS",
                "Interval of the status queries to each database, in milliseconds; a primary counts as unresponsive after four times that, at least 500",
                range(20, 10_000),
            )
            .default_value("100"),
        )
        .arg(
            setting(
                "transaction-idle-ms",
                "JASMINEPASS_TRANSACTION_IDLE_MS",
                "Time without a request after which an open transaction is rolled back, in milliseconds",
                range(10, 600_000),
            )
            .default_value("5000"),
        )
        .arg(
            setting(
                "transaction-limit-ms",
                "JASMINEPASS_TRANSACTION_LIMIT_MS",
                "Maximum duration of a transaction, after which it is rolled back, in milliseconds",
                range(10, 600_000),
            )
            .default_value("30000"),
        )
}

fn setting(name: &'static str, env: &'static str, help: &'static str, parser: ValueParser) -> Arg {
    Arg::new(name).long(name).env(env).help(help).value_parser(parser)
}

fn name<T>() -> ValueParser
where
    T: std::str::FromStr<Err = model::names::NameError> + Clone + Send + Sync + 'static,
{
    ValueParser::new(|text: &str| text.parse::<T>())
}

fn socket() -> ValueParser {
    ValueParser::new(|text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|_| "write an IP address and a port, such as 10.0.0.7:8080".to_owned())
    })
}

fn range(min: u64, max: u64) -> ValueParser {
    ValueParser::new(move |text: &str| match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(number),
        _ => Err(format!("give a whole number from {min} to {max}")),
    })
}

fn required_value<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> eyre::Result<T> {
    matches.get_one::<T>(name).cloned().ok_or_else(|| eyre::eyre!("--{name} is missing"))
}

fn read_secret(path: &PathBuf) -> eyre::Result<FleetSecret> {
    let problem = || {
        format!("--fleet-secret-file {}: write the fleet's secret into this file", path.display())
    };
    let text = fs::read_to_string(path).wrap_err_with(problem)?;
    FleetSecret::new(text.trim()).wrap_err_with(problem)
}
