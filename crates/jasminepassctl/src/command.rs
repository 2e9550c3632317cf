//! The command line.

use clap::{Arg, Command};

/// The command line.
pub fn command() -> Command {
    let file = Arg::new("file").required(true).help("The answers, a TOML file");
    let name = Arg::new("name").required(true).help("The key's name");
    Command::new("jasminepassctl")
        .version(clap::crate_version!())
        .about("Operates a jasminepass fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .env("JASMINEPASS_PLATFORM")
                .global(true)
                .help("The platform's address, ip:port"),
        )
        .subcommand(
            Command::new("apply")
                .about("Puts the configuration of a team's answers in force")
                .arg(file),
        )
        .subcommand(
            Command::new("key")
                .about("Gives and withdraws callers' keys")
                .subcommand_required(true)
                .subcommand(
                    Command::new("give")
                        .about("Makes a key for a workspace and prints it, this once")
                        .arg(Arg::new("workspace").required(true).help("The workspace"))
                        .arg(
                            Arg::new("name")
                                .long("name")
                                .help("The key's name; made up where absent"),
                        ),
                )
                .subcommand(Command::new("withdraw").about("Withdraws a key").arg(name)),
        )
}
