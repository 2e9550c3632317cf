//! `plan`: lists the differences between two configurations as text.

use config::Configuration;
use edge::platform::PlatformClient;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::{
    answers::generate_from_file, error::CtlError, reply::Reply, store::read_configuration,
};

/// Fields that are not compared: they identify the change, or answers files don't set them.
const IGNORED_FIELDS: [&str; 5] = ["generation", "change_id", "earlier_changes", "keys", "drains"];

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The part that differs, such as `workspace calgary-dealer`; empty for a top-level setting.
    pub place: String,
    /// The change, such as `rate_per_s changes from 100 to 200`.
    pub change: String,
}

/// Lists what applying the answers in the file would change.
pub async fn plan(platform: &PlatformClient, file: &str) -> Result<Reply, CtlError> {
    let (_, current) = read_configuration(platform).await?;
    let changed = generate_from_file(file, &current, 0)?;
    let differences = differences(&current, &changed);
    let generation = current.generation.0;
    let mut text = match differences.len() {
        0 => format!("{file} changes nothing in generation {generation}\n"),
        count => format!("{file} makes {count} changes to generation {generation}:\n"),
    };
    text.extend(differences.iter().map(Difference::to_line));
    if !differences.is_empty() {
        text += &format!(
            "To apply this only on top of this generation: apply {file} --expect {generation}\n"
        );
    }
    Ok(Reply::new(text, json!({ "generation": generation, "differences": differences })))
}

impl Difference {
    fn to_line(&self) -> String {
        match self.place.as_str() {
            "" => format!("  {}\n", self.change),
            place => format!("  {place}: {}\n", self.change),
        }
    }
}

/// Returns the differences between two configurations, apart from keys and drains, which answers files
/// don't set.
pub fn differences(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    let (from, to) = (serde_json::to_value(from), serde_json::to_value(to));
    if let (Ok(Value::Object(mut from)), Ok(Value::Object(mut to))) = (from, to) {
        for name in IGNORED_FIELDS {
            from.remove(name);
            to.remove(name);
        }
        compare_settings("", &from, &to, &mut found);
    }
    found
}

fn compare_settings(
    place: &str,
    from: &Map<String, Value>,
    to: &Map<String, Value>,
    found: &mut Vec<Difference>,
) {
    let mut names: Vec<&String> = from.keys().chain(to.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let (old, new) = (from.get(name), to.get(name));
        match (old, new) {
            (Some(old), Some(new)) if old == new => {}
            (Some(Value::Array(old)), Some(Value::Array(new))) => {
                compare_lists(place, name, old, new, found);
            }
            _ => {
                let change =
                    format!("{name} changes from {} to {}", value_text(old), value_text(new));
                found.push(Difference { place: place.to_owned(), change });
            }
        }
    }
}

fn compare_lists(
    place: &str,
    list: &str,
    old: &[Value],
    new: &[Value],
    found: &mut Vec<Difference>,
) {
    let kind = singular(list);
    let mut add = |change: String| found.push(Difference { place: place.to_owned(), change });
    for removed in old.iter().filter(|item| find_by_name(new, item).is_none()) {
        add(format!("{kind} {} is taken out", item_name(removed)));
    }
    for added in new.iter().filter(|item| find_by_name(old, item).is_none()) {
        add(format!("{kind} {} is added", item_name(added)));
    }
    let kept = |items: &[Value], other: &[Value]| -> Vec<String> {
        items.iter().filter(|item| find_by_name(other, item).is_some()).map(item_name).collect()
    };
    if kept(old, new) != kept(new, old) {
        add(format!("the order of {list} changes"));
    }
    for item in old {
        if let (Value::Object(from), Some(Value::Object(to))) = (item, find_by_name(new, item)) {
            let inner = format!("{kind} {}", item_name(item));
            let inner = if place.is_empty() { inner } else { format!("{place}, {inner}") };
            compare_settings(&inner, from, to, found);
        }
    }
}

/// Returns the item with the same name as `like`.
fn find_by_name<'a>(items: &'a [Value], like: &Value) -> Option<&'a Value> {
    items.iter().find(|item| item_name(item) == item_name(like))
}

fn item_name(item: &Value) -> String {
    match item {
        Value::Object(map) => map.get("name").map(item_name).unwrap_or_default(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn singular(list: &str) -> &str {
    match list {
        "data_centres" => "data centre",
        "services" => "service",
        "databases" => "database",
        "slots" => "slot",
        "members" => "member",
        "routes" => "route",
        "workspaces" => "workspace",
        other => other,
    }
}

fn value_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "nothing".to_owned(),
        Some(value) => item_name(value),
    }
}
