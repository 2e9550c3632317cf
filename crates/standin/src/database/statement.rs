//! Statements of the stand-in database: `get`, `put`, `append`, `add` and `fail`. The first
//! parameter is a name, the second a value.

use std::collections::BTreeMap;

use proto::database::DatabaseError;
use serde_json::Value;

use super::slot::SlotData;

/// Written values, by name.
pub type Writes = BTreeMap<String, Value>;

/// Result and writes of a statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Effect {
    /// Result for the caller.
    pub result: Value,
    /// Values to write, not applied yet.
    pub writes: Writes,
}

/// Evaluates a statement on the slot's values, overlaid with the uncommitted writes of its
/// transaction.
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
        "fail" => return Err(fail(format!("statement `fail` on `{name}`"))),
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
