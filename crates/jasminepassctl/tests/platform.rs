//! Tests of changes on a simulated platform: concurrent changes, lost replies and outages.

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
    store::{change_configuration, read_configuration},
};
use model::prelude::*;
use rig::process::Process;
use serde_json::{Value, json};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A running platform stand-in and a client of it.
struct PlatformFixture {
    process: Process,
    platform: PlatformClient,
}

impl PlatformFixture {
    async fn new(name: &str) -> PlatformFixture {
        let log = format!("{}/{name}.log", env!("CARGO_TARGET_TMPDIR"));
        let process =
            Process::start("standin-platform", name, &[], log.as_ref()).expect("a platform");
        let platform = PlatformClient::new(Client::new("ctl"), process.address("listen"));
        PlatformFixture { process, platform }
    }

    /// Starts a platform and applies the example answers to it.
    async fn with_configuration(name: &str) -> PlatformFixture {
        let fixture = PlatformFixture::new(name).await;
        let reply = fixture.apply(None).await.expect("applied");
        assert_eq!(reply.json["generation"], json!(1));
        fixture
    }

    async fn apply(&self, expected: Option<u64>) -> Result<Reply, CtlError> {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/quoting.toml");
        apply(&self.platform, file, expected.map(Generation), None).await
    }

    async fn issue(&self, name: &str) -> Result<Reply, CtlError> {
        key::issue(&self.platform, "calgary-dealer", Some(name), None, None).await
    }

    async fn set_faults(&self, faults: Value) {
        let client = Client::new("test");
        let address = self.process.address("control");
        let (body, headers) = (encode_json(&faults), [json_content_type()]);
        let sent = client.send(&address, Method::POST, "/faults", &headers, body, TIMEOUT);
        assert!(sent.await.expect("an answer").status.is_success());
    }

    async fn cfg(&self) -> Configuration {
        read_configuration(&self.platform).await.expect("a configuration").1
    }
}

#[tokio::test]
async fn apply_is_conditional() {
    let fixture = PlatformFixture::with_configuration("conditional").await;
    let again = fixture.apply(None).await.expect("no change");
    assert_eq!(again.json, json!({"generation": 1, "changed": false}));
    match fixture.apply(Some(7)).await {
        Err(CtlError::Conflict { expected, found }) => {
            assert_eq!((expected, found), (Generation(7), Generation(1)));
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn change_configuration_reports_a_conflicting_change() {
    let fixture = PlatformFixture::with_configuration("race").await;
    // Another operator's change is made between this change's read and its update.
    let result = change_configuration(&fixture.platform, None, |current, _| {
        let other = std::thread::scope(|scope| {
            let run = || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                runtime.expect("a runtime").block_on(issue_as_other_operator(&fixture))
            };
            scope.spawn(run).join().expect("the other operator")
        });
        other.expect("the other change");
        Ok(current.clone())
    });
    match result.await {
        Err(CtlError::Conflict { expected, found }) => {
            assert_eq!((expected, found), (Generation(1), Generation(2)));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(fixture.cfg().await.keys.len(), 1);
}

async fn issue_as_other_operator(fixture: &PlatformFixture) -> Result<Reply, CtlError> {
    // It needs its own client, since connections are bound to a runtime.
    let platform = PlatformClient::new(Client::new("other"), fixture.process.address("listen"));
    key::issue(&platform, "calgary-dealer", Some("other"), None, None).await
}

#[tokio::test]
async fn change_with_a_lost_reply_is_resolved() {
    let fixture = PlatformFixture::with_configuration("lost").await;
    fixture.set_faults(json!({"lose_answers": 1})).await;
    let reply = fixture.issue("k1").await.expect("the change was applied");
    assert_eq!(reply.json["generation"], json!(2));
    assert_eq!(fixture.cfg().await.keys.len(), 1, "applied exactly once");
}

#[tokio::test]
async fn change_ids_are_kept_in_later_generations() {
    let fixture = PlatformFixture::with_configuration("ids").await;
    let first = fixture.cfg().await.change_id;
    fixture.issue("k1").await.expect("a key");
    let second = fixture.cfg().await.change_id;
    fixture.issue("k2").await.expect("a key");
    assert_eq!(fixture.cfg().await.earlier_changes, [second, first, 0]);
}

#[tokio::test]
async fn change_during_an_outage_changes_nothing() {
    let fixture = PlatformFixture::with_configuration("outage").await;
    fixture.set_faults(json!({"down": true})).await;
    assert_eq!(fixture.issue("k1").await.expect_err("the platform is down").code(), 5);
    fixture.set_faults(json!({})).await;
    assert_eq!(fixture.cfg().await.keys, []);
}

#[tokio::test]
async fn key_is_shown_once_and_listed_without_its_hash() {
    let fixture = PlatformFixture::with_configuration("keys").await;
    let file = format!("{}/calgary.key", env!("CARGO_TARGET_TMPDIR"));
    // Remove the file of an earlier run.
    let _ = std::fs::remove_file(&file);
    let shown = fixture.issue("k1").await.expect("a key");
    assert!(shown.text.starts_with("jp.k1."), "{}", shown.text);
    let issue =
        |name| key::issue(&fixture.platform, "calgary-dealer", Some(name), Some(&file), None);
    let filed = issue("k2").await.expect("a key");
    let secret = std::fs::read_to_string(&file).expect("the key's file");
    let mode = std::fs::metadata(&file).expect("the key's file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let rendered = filed.render(false) + &filed.render(true);
    assert!(!rendered.contains(secret.trim()), "{rendered}");
    assert_eq!(issue("k3").await.expect_err("the file exists").code(), 1);
    std::fs::remove_file(&file).expect("the key's file");
    let third = issue("k3").await.expect_err("two keys are valid");
    assert!(third.to_string().contains("3 keys are valid"), "{third}");
    assert!(
        !std::fs::exists(&file).expect("a directory"),
        "the file of a key that was not issued is removed"
    );

    key::withdraw(&fixture.platform, "k1", None).await.expect("withdrawn");
    assert_eq!(key::withdraw(&fixture.platform, "k9", None).await.expect_err("unknown").code(), 7);
    let list = key::list(&fixture.platform, None).await.expect("a list").render(true);
    let cfg = fixture.cfg().await;
    assert_eq!(cfg.keys[0].state, KeyState::Withdrawn);
    assert!(cfg.keys.iter().all(|k| !list.contains(&k.hash.0) && list.contains(k.name.as_str())));
}
