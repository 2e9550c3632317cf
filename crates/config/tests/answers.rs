//! Tests of the answers file and of the checks of a configuration.

use config::{
    Configuration, KeyRecord, KeyState,
    answers::{AnswersError, TEMPLATE, generate},
    check::check,
};
use model::{
    key::KeyHash,
    names::{KeyName, WorkspaceName},
};
use quickcheck::{Gen, QuickCheck};

const ANSWERS: &str = r#"
data_centres = ["north", "south"]
holders_per_database = 1
cut_off_trust_s = 60

[[services]]
name = "quotes"
slots = ["s1", "s2"]

[[services.databases]]
name = "quotes-north"
dc = "north"
address = "127.0.0.1:7001"
admin_address = "127.0.0.1:7002"
connection_limit = 10

[[services.databases]]
name = "quotes-south"
dc = "south"
address = "127.0.0.1:7003"
admin_address = "127.0.0.1:7004"
connection_limit = 10

[[services.routes]]
name = "draft"
kind = "write"
weight = 3

[[workspaces]]
name = "calgary"
rate_per_s = 100
burst = 200
services = ["quotes"]
objective_ppm = 999000
"#;

#[test]
fn generate_gives_each_slot_another_first_primary() {
    let cfg = generate(ANSWERS, &Configuration::empty(), 7).expect("sound answers");
    let first = |slot: usize| cfg.services[0].slots[slot].members[0].as_str();
    assert_eq!((first(0), first(1)), ("quotes-north", "quotes-south"));
    assert_eq!((cfg.generation.0, cfg.change_id), (1, 7));
}

#[test]
fn generate_reports_the_error() {
    for (find, replace, expected) in [
        (r#"dc = "south""#, r#"dc = "west""#, "data centre `west` is unknown"),
        ("connection_limit = 10", "connection_limit = 0", "connection_limit is 0"),
        ("127.0.0.1:7003", "localhost:7003", "`localhost:7003` is not an address"),
        ("weight = 3", "weight = 0", "weight is 0"),
        (r#"name = "draft""#, r#"name = "transactions""#, "the name is reserved"),
        ("weight = 3", "weight = 201", "less than the heaviest request of weight 201"),
        ("rate_per_s = 100", "rate_per_s = 0", "rate_per_s is 0"),
        (r#"services = ["quotes"]"#, r#"services = ["orders"]"#, "service `orders` is unknown"),
        (r#"name = "quotes-south""#, r#"name = "quotes-north""#, "`quotes-north` is there twice"),
        ("objective_ppm = 999000", "objective_ppm = 1000000", "objective_ppm is 1000000"),
        ("weight = 3", "weight = 3\nopen = true", "there is no workspace `public`"),
        ("weight = 3", "weight = 3\nmax_age_ms = 5", "max_age_ms is 5 on a write"),
        ("cut_off_trust_s = 60", "cut_off_trust_s = 60\ntime_zone = \"Mars\"", "`Mars` is not"),
    ] {
        let faults = faults(&ANSWERS.replace(find, replace));
        assert!(faults.iter().any(|f| f.contains(expected)), "{expected}: {faults:?}");
    }
}

fn faults(text: &str) -> Vec<String> {
    match generate(text, &Configuration::empty(), 1) {
        Err(AnswersError::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
        Ok(_) => Vec::new(),
    }
}

#[test]
fn generate_reports_every_error_with_its_line() {
    let text = ANSWERS
        .replace("holders_per_database = 1", "holders_per_database = \"one\"")
        .replace("connection_limit = 10\n\n[[services.routes]]", "[[services.routes]]")
        .replace(r#"kind = "write""#, r#"kind = "wriet""#)
        .replace("weight = 3", "wieght = 3")
        .replace("rate_per_s = 100", "rate_per_s = -1")
        .replace("burst = 200", "burst = 1.5")
        .replace("objective_ppm = 999000", "objective_ppm = 1000000\ncolour = \"red\"");
    let expected = [
        "line 3: holders_per_database: `one` can't be used; write a whole number from 0 to 4294967295",
        "line 17: services.quotes.databases.quotes-south: connection_limit is missing; add",
        "line 24: services.quotes.routes.draft.kind: `wriet` can't be used; write one of read, write",
        "line 25: services.quotes.routes.draft.wieght: `wieght` is not a setting; write `weight`",
        "line 29: workspaces.calgary.rate_per_s: -1 can't be used",
        "line 30: workspaces.calgary.burst: 1.5 is not a whole number",
        "line 32: workspaces.calgary.objective_ppm: objective_ppm is 1000000",
        "line 33: workspaces.calgary.colour: `colour` is not a setting; take it out",
    ];
    let faults = faults(&text);
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
    for (fault, expected) in faults.iter().zip(expected) {
        assert!(fault.starts_with(expected), "{fault}\n{expected}");
    }
}

#[test]
fn generate_reports_every_syntax_error() {
    let faults = faults("data_centres = [\nholders_per_database = = 1\n[[services]\n");
    assert!(faults.iter().any(|f| f.starts_with("line 2: document: ")), "{faults:?}");
    assert!(faults.iter().all(|f| f.contains("correct the line")), "{faults:?}");
}

#[test]
fn generate_accepts_the_template() {
    assert_eq!(faults(TEMPLATE), Vec::<String>::new());
}

#[test]
fn generate_never_panics() {
    // Replaces one stretch of valid answers by other text.
    fn run(at: usize, length: usize, patch: String) -> bool {
        let chars: Vec<char> = ANSWERS.chars().collect();
        let at = at % chars.len();
        let end = (at + length % 40).min(chars.len());
        let damaged: String = chars[..at]
            .iter()
            .chain(patch.chars().collect::<Vec<_>>().iter())
            .chain(&chars[end..])
            .collect();
        let _ = generate(&damaged, &Configuration::empty(), 1);
        true
    }
    let seeded = || Gen::from_size_and_seed(30, 11);
    QuickCheck::new()
        .rng(seeded())
        .tests(2_000)
        .quickcheck(run as fn(usize, usize, String) -> bool);
}

#[test]
fn check_limits_valid_keys() {
    let key = |name: &str, state| KeyRecord {
        name: KeyName::new(name).expect("a name"),
        workspace: WorkspaceName::new("calgary").expect("a name"),
        hash: KeyHash(String::new()),
        state,
    };
    let mut cfg = generate(ANSWERS, &Configuration::empty(), 7).expect("sound answers");
    cfg.keys =
        vec![key("a", KeyState::Valid), key("b", KeyState::Valid), key("c", KeyState::Withdrawn)];
    assert_eq!(check(&cfg), Vec::new());
    cfg.keys[2].state = KeyState::Valid;
    let faults = check(&cfg);
    assert!(faults[0].to_string().contains("3 keys are valid"), "{faults:?}");
}

#[test]
fn generate_refuses_unknown_settings() {
    let text = ANSWERS.replace("burst", "brust");
    let error = generate(&text, &Configuration::empty(), 1).expect_err("a misspelt setting");
    assert!(error.to_string().contains("brust"), "{error}");
}

#[test]
fn generate_accepts_the_examples() {
    for file in ["dispatch.toml", "quoting.toml"] {
        let path = format!("{}/../../examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("an example");
        let cfg = generate(&text, &Configuration::empty(), 1).expect("sound answers");
        let databases: Vec<usize> = cfg.services.iter().map(|s| s.databases.len()).collect();
        assert_eq!((databases, cfg.workspaces.len()), (vec![3, 3, 3], 8), "{file}");
        // Written by: jasminepassctl answers show examples/<name>.toml > examples/<name>.json
        let committed =
            std::fs::read_to_string(path.replace(".toml", ".json")).expect("a snapshot");
        let committed: Configuration = serde_json::from_str(&committed).expect("a configuration");
        assert_eq!(cfg, Configuration { change_id: 1, ..committed }, "{file}");
    }
}
