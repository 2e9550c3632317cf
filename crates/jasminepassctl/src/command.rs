//! The command line.

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
  3  the answers or the changed configuration have faults; all are listed
  4  somebody else changed the configuration meanwhile; nothing was changed
  5  the platform gave no answer that can be read; nothing was changed
  6  whether the change came into force is unknown
  7  there is no such key, workspace or VM
  8  done, but not in force everywhere within the time to wait";

/// The command line.
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
                .help("For a person or for a program"),
        )
        .subcommands([answers(), plan(), apply(), key(), status(), vm(), report(), completion()])
}

/// Whether output is for a program.
pub fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("output").is_some_and(|output| output == "json")
}

fn answers() -> Command {
    command_group("answers", "The questionnaire: a team's answers become its configuration")
        .subcommands([
            Command::new("new")
                .about("Writes a commented questionnaire")
                .arg(Arg::new("file").help("A new file; shown where absent"))
                .after_help("Example: jasminepassctl answers new answers.toml"),
            Command::new("check")
                .about("Lists every fault of the answers, with its line and remedy")
                .arg(answers_file_arg())
                .after_help("Example: jasminepassctl answers check examples/dispatch.toml"),
            Command::new("show")
                .about("Shows the configuration that the answers become, as JSON")
                .arg(answers_file_arg())
                .after_help("Example: jasminepassctl answers show examples/dispatch.toml"),
        ])
}

fn plan() -> Command {
    Command::new("plan")
        .about("Says what the answers would change")
        .arg(answers_file_arg())
        .after_help("Example: jasminepassctl plan answers.toml")
}

fn apply() -> Command {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("GENERATION")
        .value_parser(value_parser!(u64))
        .help("Only if this generation is in force, as `plan` said");
    with_wait_args(Command::new("apply"))
        .about("Puts the configuration of the answers in force")
        .arg(answers_file_arg())
        .arg(expect)
        .after_help("Example: jasminepassctl apply answers.toml --expect 41 --wait")
}

fn key() -> Command {
    let workspace = Arg::new("workspace").help("The workspace");
    command_group("key", "Gives, lists and withdraws callers' keys").subcommands([
        with_wait_args(Command::new("give"))
            .about("Makes a key for a workspace and shows it, this once")
            .arg(workspace.clone().required(true))
            .arg(Arg::new("name").long("name").help("The key's name; made up where absent"))
            .arg(
                Arg::new("key-file").long("key-file").help(
                    "Writes the key to this new file, for its owner alone, and shows nothing",
                ),
            )
            .after_help("Example: jasminepassctl key give calgary-dealer --key-file calgary.key"),
        Command::new("list")
            .about("Lists keys by name; a key itself is never shown again")
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
        "Asks this VM's operators' listener instead of the platform; can be given several times",
    );
    Command::new("status")
        .about(
            "Shows VMs, slots with primary, term and lag, and where the configuration is in force",
        )
        .arg(ops)
        .after_help("Example: jasminepassctl status --output json")
}

fn vm() -> Command {
    command_group("vm", "Works on a VM").subcommand(
        Command::new("drain")
            .about("Lets a VM finish its work and end")
            .arg(Arg::new("vm").required(true).help("The VM's name"))
            .after_help("Example: jasminepassctl vm drain uusimaa-a-1"),
    )
}

fn report() -> Command {
    let option = |name, value, help| Arg::new(name).long(name).value_name(value).help(help);
    command_group("report", "Service-level burn and usage").subcommands([
        Command::new("burn")
            .about("Shows how fast each workspace uses up its error budget")
            .arg(option("html", "FILE", "Writes a page with a plot instead"))
            .after_help("Example: jasminepassctl report burn --html burn.html"),
        Command::new("usage")
            .about("Shows what each workspace used, by business day")
            .arg(Arg::new("workspace").help("Only this workspace"))
            .arg(option(
                "from",
                "DAY",
                "The first day, such as 2026-03-31; a week before the last where absent",
            ))
            .arg(option("to", "DAY", "The last day; today where absent"))
            .after_help("Example: jasminepassctl report usage calgary-dealer --from 2026-03-01"),
    ])
}

fn completion() -> Command {
    Command::new("completion")
        .about("Shows a script that completes commands in a shell")
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
    Arg::new("file").required(true).help("The answers, a TOML file")
}

fn with_wait_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Waits until it is in force everywhere, and says where it is and where not"),
        )
        .arg(
            Arg::new("wait-limit-s")
                .long("wait-limit-s")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .default_value("30")
                .help("How long to wait at most, in seconds"),
        )
}
