//! Parameters with which VMs open links: builds of different age understand each other.

use axum::extract::Query;
use gateway::link::LinkParameters;
use model::prelude::*;
use serde::Deserialize;

/// The parameters as builds before load reports decode them.
#[derive(Debug, Deserialize)]
struct EarlierParameters {
    vm: VmName,
}

fn decode<T: for<'a> Deserialize<'a>>(query: &str) -> T {
    let uri = format!("/link?{query}").parse().expect("a valid path");
    Query::try_from_uri(&uri).map(|Query(parameters)| parameters).expect("valid parameters")
}

fn parameters() -> LinkParameters {
    LinkParameters::new(VmName::new("vm-a-1").expect("a valid name"))
}

/// Guards against a link that a peer of an earlier build refuses because of what this build announces.
#[test]
fn query_earlier_build_ignores_load_reports() {
    let earlier: EarlierParameters = decode(&parameters().query());
    assert_eq!(earlier.vm, parameters().vm);
    assert_eq!(decode::<LinkParameters>(&parameters().query()), parameters());
}

/// Guards against load reports to a peer of an earlier build, which announces nothing.
#[test]
fn query_of_earlier_build_asks_for_no_reports() {
    let parameters: LinkParameters = decode("vm=vm-a-1");
    assert!(!parameters.load_reports);
}
