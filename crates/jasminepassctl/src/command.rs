//! The definition of the command line: subcommands, arguments and help.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const EXAMPLES_AND_EXIT_CODES: &str = "\
Examples:
  jasminepassctl answers new answers.toml
  jasminepassctl answers check answers.toml
  jasminepassctl --platform 10.0.0.2:8000 plan answers.toml
  jasminepassctl --platform 10.0.0.2:8000 apply answers.toml --expect 41 --wait
  jasminepassctl --platform 10.0.0.2:8000 key give calgary-dealer --key-file calgary.key
  jasminepassctl --platform 10.0.0.2:8000 key withdraw calgary-dealer-1f2e3d4c --wait
  jasminepassctl --platform 10.0.0.2:8000 status
  jasminepassctl --platform 10.0.0.2:8000 report burn --html burn.html

Exit codes:
  0  done
  1  a file can't be read or written
  2  the command line is wrong
  3  the answers or the changed configuration are invalid; all errors are listed
  4  the configuration was changed concurrently; nothing was changed
  5  the platform sent no valid reply; nothing was changed
  6  the reply to the change was lost and its outcome is unknown
  7  the key, workspace or VM doesn't exist
  8  done, but not in force everywhere within the wait limit";

/// Builds the parser of the whole command line.
pub fn command() -> Command {
    Command::new("jasminepassctl")
        .version(clap::crate_version!())
        .about("Operates a jasminepass fleet")
        .after_help(EXAMPLES_AND_EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .env("JASMINEPASS_PLATFORM")
                .global(true)
                .help("The platform's address, ip:port"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Output format"),
        )
        .subcommands([answers(), plan(), apply(), key(), status(), vm(), report(), completion()])
}

/// Returns whether the output format is JSON.
pub fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("output").is_some_and(|output| output == "json")
}

fn answers() -> Command {
    command_group(
        "answers",
        "Creates and checks answers files, from which the configuration is generated",
    )
    .subcommands([
        Command::new("new")
            .about("Writes a commented template of an answers file")
            .arg(Arg::new("file").help("The file to create; default: standard output"))
            .after_help("Example: jasminepassctl answers new answers.toml"),
        Command::new("check")
            .about("Lists every error in the answers, with its line and how to correct it")
            .arg(answers_file_arg())
            .after_help("Example: jasminepassctl answers check examples/dispatch.toml"),
        Command::new("show")
            .about("Shows the configuration generated from the answers, as JSON")
            .arg(answers_file_arg())
            .after_help("Example: jasminepassctl answers show examples/dispatch.toml"),
    ])
}

fn plan() -> Command {
    Command::new("plan")
        .about("Shows what applying the answers would change")
        .arg(answers_file_arg())
        .after_help("Example: jasminepassctl plan answers.toml")
}

fn apply() -> Command {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("GENERATION")
        .value_parser(value_parser!(u64))
        .help("Applies only if this is the current generation, as shown by `plan`");
    with_wait_args(Command::new("apply"))
        .about("Applies the configuration generated from the answers")
        .arg(answers_file_arg())
        .arg(expect)
        .after_help("Example: jasminepassctl apply answers.toml --expect 41 --wait")
}

fn key() -> Command {
    let workspace = Arg::new("workspace").help("The workspace");
    command_group("key", "Issues, lists and withdraws the keys of callers").subcommands([
        with_wait_args(Command::new("give"))
            .about("Issues a key for a workspace and shows it, only this once")
            .arg(workspace.clone().required(true))
            .arg(Arg::new("name").long("name").help("The key's name; default: generated"))
            .arg(
                Arg::new("key-file").long("key-file").help(
                    "Writes the key to this new file, readable by its owner only, instead of showing it",
                ),
            )
            .after_help("Example: jasminepassctl key give calgary-dealer --key-file calgary.key"),
        Command::new("list")
            .about("Lists keys by name, without the keys themselves")
            .arg(workspace)
            .after_help("Example: jasminepassctl key list calgary-dealer --output json"),
        with_wait_args(Command::new("withdraw"))
            .about("Withdraws a key")
            .arg(Arg::new("name").required(true).help("The key's name"))
            .after_help("Example: jasminepassctl key withdraw calgary-1 --wait"),
    ])
}

fn status() -> Command {
    let ops = Arg::new("ops").long("ops").value_name("IP:PORT").action(ArgAction::Append).help(
        "Queries the operators' listener of this VM instead of the platform; can be repeated",
    );
    Command::new("status")
        .about(
            "Shows VMs, slots with primary, term and lag, and where the current configuration is in force",
        )
        .arg(ops)
        .after_help("Example: jasminepassctl status --output json")
}

fn vm() -> Command {
    command_group("vm", "Manages VMs").subcommand(
        Command::new("drain")
            .about("Drains a VM: it finishes its work and exits")
            .arg(Arg::new("vm").required(true).help("The VM's name"))
            .after_help("Example: jasminepassctl vm drain uusimaa-a-1"),
    )
}

fn report() -> Command {
    let option = |name, value, help| Arg::new(name).long(name).value_name(value).help(help);
    command_group("report", "Reports error budget burn and usage").subcommands([
        Command::new("burn")
            .about("Shows how fast each workspace uses up its error budget")
            .arg(option("html", "FILE", "Writes an HTML page with a plot to this file instead"))
            .after_help("Example: jasminepassctl report burn --html burn.html"),
        Command::new("usage")
            .about("Shows the usage of each workspace by business day")
            .arg(Arg::new("workspace").help("Only this workspace"))
            .arg(option(
                "from",
                "DAY",
                "The first day, such as 2026-03-31; default: a week before the last",
            ))
            .arg(option("to", "DAY", "The last day; default: today"))
            .after_help("Example: jasminepassctl report usage calgary-dealer --from 2026-03-01"),
    ])
}

fn completion() -> Command {
    Command::new("completion")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell))
                .help("The shell"),
        )
        .after_help(
            "Example: jasminepassctl completion bash > /etc/bash_completion.d/jasminepassctl",
        )
}

fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn answers_file_arg() -> Arg {
    Arg::new("file").required(true).help("The answers file, in TOML")
}

fn with_wait_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("wait").long("wait").action(ArgAction::SetTrue).help(
                "Waits until the change is in force in every data centre, and shows where it is",
            ),
        )
        .arg(
            Arg::new("wait-limit-s")
                .long("wait-limit-s")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .default_value("30")
                .help("Maximum time to wait, in seconds"),
        )
}
