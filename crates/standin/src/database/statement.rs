//! The statements that a database understands: `get`, `put`, `append`, `add` and `fail`.

use std::collections::BTreeMap;

use proto::database::DatabaseError;
use serde_json::Value;

use super::slot::SlotData;

/// Values written, by name.
pub type Writes = BTreeMap<String, Value>;

/// What a statement returned and what it writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Effect {
    /// What it returned.
    pub result: Value,
    /// What it writes.
    pub writes: Writes,
}

/// Runs a statement on the slot's data, overlaid with writes that are not committed yet.
pub fn run(
    slot: &SlotData,
    overlay: &Writes,
    statement: &str,
    params: &[Value],
) -> Result<Effect, DatabaseError> {
    let fail = |message: String| DatabaseError::Statement { message };
    let name = params.first().and_then(Value::as_str);
    let name = name.ok_or_else(|| fail("the first parameter must be a name".to_owned()))?;
    let current = overlay.get(name).or_else(|| slot.value(name).map(|v| &v.value)).cloned();
    let given = params.get(1).cloned().unwrap_or_default();
    let (result, written) = match statement {
        "get" => (current.unwrap_or_default(), None),
        "put" => (Value::Null, Some(given)),
        "append" => {
            let mut list = match current {
                Some(Value::Array(list)) => list,
                None | Some(Value::Null) => Vec::new(),
                Some(_) => return Err(fail(format!("`{name}` is not a list"))),
            };
            list.push(given);
            (list.len().into(), Some(Value::Array(list)))
        }
        "add" => {
            let sum = current.and_then(|v| v.as_i64()).unwrap_or(0) + given.as_i64().unwrap_or(1);
            (sum.into(), Some(sum.into()))
        }
        "fail" => return Err(fail(format!("`{name}` was to fail"))),
        other => {
            return Err(fail(format!(
                "unknown statement `{other}`: use get, put, append, add or fail"
            )));
        }
    };
    Ok(Effect {
        result,
        writes: written.map(|value| (name.to_owned(), value)).into_iter().collect(),
    })
}
