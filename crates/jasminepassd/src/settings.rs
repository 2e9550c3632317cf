//! Settings, from flags and environment variables, each checked at the start.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, builder::ValueParser, value_parser};
use eyre::WrapErr;
use model::{key::FleetSecret, prelude::*};
use route::transaction::TransactionLimits;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// The daemon's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub dc: DcName,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the peers' listener.
    pub peer_listen: SocketAddr,
    /// Address of the operators' listener.
    pub ops_listen: SocketAddr,
    /// Address at which other VMs reach the peers' listener; the one it is bound to where absent.
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The fleet's secret.
    pub fleet_secret: FleetSecret,
    /// How log lines look.
    pub log_format: LogFormat,
    /// Where counters are sent; nowhere where absent.
    pub statsd: Option<SocketAddr>,
    /// Worker threads.
    pub threads: usize,
    /// Callers' connections open at once.
    pub max_connections: usize,
    /// Addresses of other VMs' peer listeners, for a start while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// How long a planned stop goes on taking requests, until nobody sends it any.
    pub stop_notice: Duration,
    /// How long a planned stop waits for open work.
    pub drain_limit: Duration,
    /// How often each database is asked for its status.
    pub status_interval: DurationUs,
    /// When transactions are rolled back.
    pub transaction_limits: TransactionLimits,
}

impl Settings {
    /// Takes the settings from the parsed command line.
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

/// The command line.
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
                "Number of this run, never used before",
                range(0, u64::MAX),
            )
            .required(true),
        )
        .arg(setting("dc", "JASMINEPASS_DC", "Its data centre", name::<DcName>()).required(true))
        .arg(
            setting("listen", "JASMINEPASS_LISTEN", "Callers' listener", socket())
                .default_value("127.0.0.1:0"),
        )
        .arg(
            setting("peer-listen", "JASMINEPASS_PEER_LISTEN", "Peers' listener", socket())
                .default_value("127.0.0.1:0"),
        )
        .arg(
            setting("ops-listen", "JASMINEPASS_OPS_LISTEN", "Operators' listener", socket())
                .default_value("127.0.0.1:0"),
        )
        .arg(setting(
            "peer-address",
            "JASMINEPASS_PEER_ADDRESS",
            "Where other VMs reach the peers' listener, if not where it is bound",
            socket(),
        ))
        .arg(
            setting("platform", "JASMINEPASS_PLATFORM", "The platform's address", socket())
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
                "How log lines look",
                ["json", "terminal"].into(),
            )
            .default_value("json"),
        )
        .arg(setting("statsd", "JASMINEPASS_STATSD", "Where counters are sent", socket()))
        .arg(
            setting("threads", "JASMINEPASS_THREADS", "Worker threads", range(1, 64))
                .default_value("2"),
        )
        .arg(
            setting(
                "max-connections",
                "JASMINEPASS_MAX_CONNECTIONS",
                "Callers' connections at once",
                range(1, 1 << 20),
            )
            .default_value("8192"),
        )
        .arg(
            setting(
                "seeds",
                "JASMINEPASS_SEEDS",
                "Peer listeners of other VMs, asked when the platform can't be; separated by commas",
                socket(),
            )
            .value_delimiter(','),
        )
        .arg(
            setting(
                "stop-notice-ms",
                "JASMINEPASS_STOP_NOTICE_MS",
                "How long a planned stop goes on taking requests, so that the balancer and the other VMs have sent the last one, in milliseconds",
                range(0, 600_000),
            )
            .default_value("5000"),
        )
        .arg(
            setting(
                "drain-limit-ms",
                "JASMINEPASS_DRAIN_LIMIT_MS",
                "How long a planned stop waits for open work, in milliseconds",
                range(0, 600_000),
            )
            .default_value("30000"),
        )
        .arg(
            setting(
                "status-interval-ms",
                "JASMINEPASS_STATUS_INTERVAL_MS",
                "How often each database is asked for its status, in milliseconds; a primary is taken for gone after four times that, at least 500",
                range(20, 10_000),
            )
            .default_value("100"),
        )
        .arg(
            setting(
                "transaction-idle-ms",
                "JASMINEPASS_TRANSACTION_IDLE_MS",
                "Time without a request after which a transaction is rolled back, in milliseconds",
                range(10, 600_000),
            )
            .default_value("5000"),
        )
        .arg(
            setting(
                "transaction-limit-ms",
                "JASMINEPASS_TRANSACTION_LIMIT_MS",
                "Time in all after which a transaction is rolled back, in milliseconds",
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
            .map_err(|_| "write an IP number and a port, such as 10.0.0.7:8080".to_owned())
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
