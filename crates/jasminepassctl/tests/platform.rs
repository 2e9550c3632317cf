//! Changes on the platform: races, lost answers, outages.

use std::os::unix::fs::PermissionsExt;

use config::{Configuration, KeyState};
use edge::{
    client::{Client, encode_json, json_content_type},
    platform::PlatformClient,
};
use http::Method;
use jasminepassctl::{
    apply::apply,
    error::CtlError,
    key,
    reply::Reply,
    store::{change, read},
};
use model::prelude::*;
use rig::process::Process;
use serde_json::{Value, json};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

struct World {
    process: Process,
    platform: PlatformClient,
}

impl World {
    async fn new(name: &str) -> World {
        let log = format!("{}/{name}.log", env!("CARGO_TARGET_TMPDIR"));
        let process =
            Process::start("standin-platform", name, &[], log.as_ref()).expect("a platform");
        let platform = PlatformClient::new(Client::new("ctl"), process.address("listen"));
        World { process, platform }
    }

    async fn applied(name: &str) -> World {
        let world = World::new(name).await;
        let reply = world.apply(None).await.expect("applied");
        assert_eq!(reply.json["generation"], json!(1));
        world
    }

    async fn apply(&self, expected: Option<u64>) -> Result<Reply, CtlError> {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quoting.toml");
        apply(&self.platform, file, expected.map(Generation), None).await
    }

    async fn give(&self, name: &str) -> Result<Reply, CtlError> {
        key::give(&self.platform, "calgary-dealer", Some(name), None, None).await
    }

    async fn set_faults(&self, faults: Value) {
        let client = Client::new("test");
        let address = self.process.address("control");
        let (body, headers) = (encode_json(&faults), [json_content_type()]);
        let sent = client.send(&address, Method::POST, "/faults", &headers, body, TIMEOUT);
        assert!(sent.await.expect("an answer").status.is_success());
    }

    async fn cfg(&self) -> Configuration {
        read(&self.platform).await.expect("a configuration").1
    }
}

#[tokio::test]
async fn apply_is_conditional() {
    let world = World::applied("conditional").await;
    let again = world.apply(None).await.expect("no change");
    assert_eq!(again.json, json!({"generation": 1, "changed": false}));
    match world.apply(Some(7)).await {
        Err(CtlError::Conflict { expected, found }) => {
            assert_eq!((expected, found), (Generation(7), Generation(1)));
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn change_that_loses_a_race_names_both_generations() {
    let world = World::applied("race").await;
    // Another operator's change comes between this one's reading and its update.
    let raced = change(&world.platform, None, |current, _| {
        let other = std::thread::scope(|scope| {
            let run = || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                runtime.expect("a runtime").block_on(world_give(&world))
            };
            scope.spawn(run).join().expect("the other operator")
        });
        other.expect("the other change");
        Ok(current.clone())
    });
    match raced.await {
        Err(CtlError::Conflict { expected, found }) => {
            assert_eq!((expected, found), (Generation(1), Generation(2)));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(world.cfg().await.keys.len(), 1);
}

async fn world_give(world: &World) -> Result<Reply, CtlError> {
    // A client of its own, since connections belong to a runtime.
    let platform = PlatformClient::new(Client::new("other"), world.process.address("listen"));
    key::give(&platform, "calgary-dealer", Some("other"), None, None).await
}

#[tokio::test]
async fn change_whose_answer_is_lost_is_resolved() {
    let world = World::applied("lost").await;
    world.set_faults(json!({"lose_answers": 1})).await;
    let reply = world.give("k1").await.expect("it took effect");
    assert_eq!(reply.json["generation"], json!(2));
    assert_eq!(world.cfg().await.keys.len(), 1, "it took effect once");
}

#[tokio::test]
async fn change_leaves_its_id_to_later_ones() {
    let world = World::applied("ids").await;
    let first = world.cfg().await.change_id;
    world.give("k1").await.expect("a key");
    let second = world.cfg().await.change_id;
    world.give("k2").await.expect("a key");
    assert_eq!(world.cfg().await.earlier_changes, [second, first, 0]);
}

#[tokio::test]
async fn change_during_an_outage_changes_nothing() {
    let world = World::applied("outage").await;
    world.set_faults(json!({"down": true})).await;
    assert_eq!(world.give("k1").await.expect_err("it is down").code(), 5);
    world.set_faults(json!({})).await;
    assert_eq!(world.cfg().await.keys, []);
}

#[tokio::test]
async fn key_is_shown_once_and_listed_without_its_hash() {
    let world = World::applied("keys").await;
    let file = format!("{}/calgary.key", env!("CARGO_TARGET_TMPDIR"));
    // It may be left from an earlier run.
    let _ = std::fs::remove_file(&file);
    let shown = world.give("k1").await.expect("a key");
    assert!(shown.text.starts_with("jp.k1."), "{}", shown.text);
    let give = |name| key::give(&world.platform, "calgary-dealer", Some(name), Some(&file), None);
    let filed = give("k2").await.expect("a key");
    let secret = std::fs::read_to_string(&file).expect("the key's file");
    let mode = std::fs::metadata(&file).expect("the key's file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let rendered = filed.render(false) + &filed.render(true);
    assert!(!rendered.contains(secret.trim()), "{rendered}");
    assert_eq!(give("k3").await.expect_err("the file is there").code(), 1);
    std::fs::remove_file(&file).expect("the key's file");
    let third = give("k3").await.expect_err("two keys are valid");
    assert!(third.to_string().contains("3 keys are valid"), "{third}");
    assert!(
        !std::fs::exists(&file).expect("a directory"),
        "no file is left of a key that was not given"
    );

    key::withdraw(&world.platform, "k1", None).await.expect("withdrawn");
    assert_eq!(key::withdraw(&world.platform, "k9", None).await.expect_err("unknown").code(), 7);
    let list = key::list(&world.platform, None).await.expect("a list").render(true);
    let cfg = world.cfg().await;
    assert_eq!(cfg.keys[0].state, KeyState::Withdrawn);
    assert!(cfg.keys.iter().all(|k| !list.contains(&k.hash.0) && list.contains(k.name.as_str())));
}
