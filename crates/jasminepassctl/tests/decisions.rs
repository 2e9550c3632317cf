//! Tests of commands that need no platform: differences, rollout states, output and the command line.

use std::collections::BTreeMap;

use clap::error::ErrorKind;
use config::{Configuration, answers::generate};
use jasminepassctl::{
    answers,
    command::command,
    error::CtlError,
    plan::differences,
    reply::Reply,
    rollout::{STATUS_STALE_AFTER_S, describe, rollout_state},
    run::run,
    status::render,
    store::{ChangeOutcome, change_outcome},
};
use model::prelude::*;
use proto::report::{DcStatus, SlotReport, VmReport, VmStatus};
use serde_json::json;

const QUOTING: &str = include_str!("../../../examples/quoting.toml");
const NOW_S: u64 = 1_000_000;

fn cfg(text: &str) -> Configuration {
    generate(text, &Configuration::empty(), 1).expect("valid answers")
}

#[test]
fn differences_describe_each_change() {
    let check = |find: &str, replace: &str, expected: &[(&str, &str)]| {
        let found = differences(&cfg(QUOTING), &cfg(&QUOTING.replacen(find, replace, 1)));
        let found: Vec<(&str, &str)> =
            found.iter().map(|d| (d.place.as_str(), d.change.as_str())).collect();
        assert_eq!(found, expected, "{find}");
    };
    check("", "", &[]);
    check(
        "cut_off_trust_s = 600",
        "cut_off_trust_s = 60",
        &[("", "cut_off_trust_s changes from 600 to 60")],
    );
    check(
        "weight = 5",
        "weight = 6",
        &[("service quote-ledger-1, route schedule-delivery", "weight changes from 5 to 6")],
    );
    check(
        r#"time_zone = "America/Edmonton""#,
        "",
        &[("workspace calgary-dealer", "time_zone changes from America/Edmonton to nothing")],
    );
    check(
        r#"name = "annotate-quote""#,
        r#"name = "comment-quote""#,
        &[
            ("service quote-ledger-1", "route annotate-quote is taken out"),
            ("service quote-ledger-1", "route comment-quote is added"),
        ],
    );
    check(
        r#"services = ["quote-ledger-1", "quote-ledger-2", "quote-ledger-3"]"#,
        r#"services = ["quote-ledger-2", "quote-ledger-1"]"#,
        &[
            ("workspace saskatoon-dealer", "service quote-ledger-3 is taken out"),
            ("workspace saskatoon-dealer", "the order of services changes"),
        ],
    );
}

#[test]
fn change_outcome_after_a_lost_reply() {
    let check = |generation, change_id, earlier: &[u64], expected| {
        let mut found = Configuration::empty();
        found.generation = Generation(generation);
        found.change_id = change_id;
        found.earlier_changes = earlier.to_vec();
        assert_eq!(change_outcome(&found, Generation(4), 77), expected, "{generation} {change_id}");
    };
    check(4, 70, &[60], ChangeOutcome::NotApplied);
    check(5, 77, &[70, 60], ChangeOutcome::Applied);
    check(5, 78, &[70, 60], ChangeOutcome::Superseded);
    check(6, 79, &[77, 70], ChangeOutcome::Applied);
    check(6, 79, &[78, 70], ChangeOutcome::Superseded);
}

fn vm(generation: u64, heard_ago_s: u64) -> VmStatus {
    let report = VmReport {
        vm: VmName::new("north-1").expect("a name"),
        incarnation: Incarnation(7),
        generation: Generation(generation),
        stopping: false,
        portions: 4,
        suspects: Vec::new(),
        slots: vec![SlotReport {
            service: ServiceName::new("quotes").expect("a name"),
            slot: SlotName::new("s1").expect("a name"),
            term: Term(generation),
            primary: DatabaseName::new("quotes-north").ok(),
            lag: BTreeMap::from([(DatabaseName::new("quotes-south").expect("a name"), Some(12))]),
        }],
    };
    VmStatus { report: Some(report), heard_at_s: NOW_S - heard_ago_s, listed: true }
}

fn status(written_ago_s: u64, vms: &[(&str, VmStatus)]) -> DcStatus {
    let vms = vms.iter().map(|(name, vm)| (VmName::new(name).expect("a name"), vm.clone()));
    DcStatus { written_at_s: NOW_S - written_ago_s, writer: None, vms: vms.collect() }
}

#[test]
fn rollout_state_names_outdated_vms_and_silent_data_centres() {
    let check = |status: Option<DcStatus>, expected: &str| {
        let state = rollout_state(status.as_ref(), Generation(5), NOW_S);
        assert!(describe(&state).starts_with(expected), "{}: {expected}", describe(&state));
    };
    let silent = VmStatus { report: None, heard_at_s: 0, listed: true };
    let stale = STATUS_STALE_AFTER_S + 1;
    check(None, "can't be reached, it has never");
    check(Some(status(0, &[("a", vm(5, 0)), ("b", vm(6, 1))])), "in force");
    check(Some(status(0, &[("a", vm(4, 0)), ("b", vm(5, 0))])), "not in force yet on a");
    check(Some(status(0, &[("a", vm(5, 0)), ("b", silent)])), "not in force yet on b");
    check(Some(status(0, &[("a", vm(5, stale))])), "not in force yet on a");
    check(Some(status(stale, &[("a", vm(5, stale))])), "can't be reached, no status for 31 s");
}

#[test]
fn status_shows_the_highest_term_of_each_slot() {
    let dc = |name: &str| DcName::new(name).expect("a name");
    let statuses = [
        (dc("north"), Some(status(1, &[("north-1", vm(3, 1)), ("north-2", vm(5, 1))]))),
        (dc("south"), None),
    ];
    let mut cfg = Configuration::empty();
    cfg.generation = Generation(5);
    let reply = render(&cfg, &statuses, NOW_S);
    assert_eq!(reply.json["slots"][0]["term"], json!(5), "{}", reply.json);
    assert_eq!(reply.json["data_centres"][1]["force"]["state"], json!("unreachable"));
    for expected in ["not in force yet on north-1", "quotes/s1", "quotes-south 12", "0 s ago"] {
        assert!(reply.text.contains(expected), "{expected}:\n{}", reply.text);
    }
}

#[test]
fn command_accepts_and_rejects_arguments() {
    command().debug_assert();
    let check = |line: &str, expected: Option<ErrorKind>| {
        let parsed = command().try_get_matches_from(line.split(' '));
        assert_eq!(parsed.err().map(|e| e.kind()), expected, "{line}");
    };
    check("ctl answers check a.toml --output json", None);
    check("ctl key give calgary --key-file k --wait --wait-limit-s 5", None);
    check("ctl key give", Some(ErrorKind::MissingRequiredArgument));
    check("ctl apply a.toml --expect soon", Some(ErrorKind::ValueValidation));
    check("ctl frobnicate", Some(ErrorKind::InvalidSubcommand));
}

#[tokio::test]
async fn completion_supports_every_shell() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let matches = command().get_matches_from(["jasminepassctl", "completion", shell]);
        let script = run(&matches).await.expect("a script").text;
        assert!(script.contains("withdraw") && script.contains("key-file"), "{shell}");
    }
}

#[tokio::test]
async fn run_reports_an_unreachable_platform() {
    let matches =
        command().get_matches_from(["jasminepassctl", "--platform", "127.0.0.1:1", "status"]);
    assert_eq!(run(&matches).await.expect_err("nothing listens there").code(), 5);
}

#[test]
fn help_of_every_command_has_an_example() {
    fn leaves(command: &clap::Command, path: &str) -> Vec<(String, String)> {
        let path = format!("{path} {}", command.get_name());
        let mut subcommands = command.get_subcommands().peekable();
        if subcommands.peek().is_none() {
            let after = command.get_after_help().map(ToString::to_string).unwrap_or_default();
            return vec![(path, after)];
        }
        subcommands.flat_map(|sub| leaves(sub, &path)).collect()
    }
    let leaves = leaves(&command(), "");
    assert_eq!(leaves.len(), 13);
    for (path, after) in leaves {
        assert!(after.contains(&format!("Example:{path}")), "{path}: {after}");
    }
}

#[test]
fn errors_have_exit_codes_and_diagnostics() {
    let dir = env!("CARGO_TARGET_TMPDIR");
    let file = format!("{dir}/faulty.toml");
    std::fs::write(&file, QUOTING.replace("burst = 600", "burst = 1")).expect("a file");
    let error = answers::check(&file).expect_err("invalid answers");
    assert_eq!(error.code(), 3);
    let rendered: serde_json::Value = serde_json::from_str(&error.render(true)).expect("JSON");
    let faults = rendered["error"]["faults"].as_array().expect("a list");
    assert!(faults.iter().all(|f| f["line"].is_u64() && f["remedy"].is_string()), "{rendered}");
    assert_eq!(faults.len(), QUOTING.matches("burst = 600").count());
    let missing = answers::check(&format!("{dir}/nothing.toml")).expect_err("no such file");
    assert_eq!(missing.code(), 1);
    let conflict = CtlError::Conflict { expected: Generation(4), found: Generation(6) };
    assert_eq!(conflict.code(), 4);
    assert!(
        conflict.to_string().contains("generation 4")
            && conflict.to_string().contains("generation 6")
    );
}

#[test]
fn answers_new_overwrites_nothing() {
    let file = format!("{}/new.toml", env!("CARGO_TARGET_TMPDIR"));
    // Remove the file of an earlier run.
    let _ = std::fs::remove_file(&file);
    answers::new(Some(&file)).expect("a new file");
    assert!(answers::check(&file).is_ok());
    assert_eq!(answers::new(Some(&file)).expect_err("the file exists").code(), 1);
}

#[test]
fn reply_renders_as_text_and_json() {
    let reply = Reply::new("done", json!({"a": 1}));
    assert_eq!(
        (reply.render(false).as_str(), reply.render(true).as_str()),
        ("done\n", "{\n  \"a\": 1\n}\n")
    );
}
