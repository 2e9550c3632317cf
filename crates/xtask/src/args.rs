//! Command-line options that take a whole number.

use clap::{Arg, ArgMatches, value_parser};

/// Defines the option `--name`, which takes a non-negative whole number.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

/// Returns the value of an option defined by [`number`].
pub fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}
