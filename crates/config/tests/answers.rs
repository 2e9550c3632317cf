//! The questionnaire and the checks of a configuration.

use config::{
    Configuration,
    answers::{AnswersError, generate},
};

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
fn generate_names_the_fault() {
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
    ] {
        match generate(&ANSWERS.replace(find, replace), &Configuration::empty(), 1) {
            Err(AnswersError::Faults(faults)) => {
                assert!(
                    faults.iter().any(|f| f.to_string().contains(expected)),
                    "{expected}: {faults:?}"
                );
            }
            other => panic!("{expected}: {other:?}"),
        }
    }
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
        let text = std::fs::read_to_string(path).expect("an example");
        let cfg = generate(&text, &Configuration::empty(), 1).expect("sound answers");
        let databases: Vec<usize> = cfg.services.iter().map(|s| s.databases.len()).collect();
        assert_eq!((databases, cfg.workspaces.len()), (vec![3, 3, 3], 8), "{file}");
    }
}
