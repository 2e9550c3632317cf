//! Numbers on the command line.

use clap::{Arg, ArgMatches, value_parser};

/// An option that takes a whole number.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

/// The number that an option of [`number`] was given.
pub fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}
