//! The part of JSON that the store's bodies need.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(text) = self { text.parse().ok() } else { None }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text;
        let value = value(&mut rest)?;
        rest.trim().is_empty().then_some(value)
    }
}

fn value(rest: &mut &str) -> Option<Json> {
    *rest = rest.trim_start();
    match rest.chars().next()? {
        '{' => {
            let mut fields = BTreeMap::new();
            list(rest, '}', |rest| {
                *rest = rest.trim_start();
                let key = string(rest)?;
                *rest = rest.trim_start().strip_prefix(':')?;
                fields.insert(key, value(rest)?);
                Some(())
            })?;
            Some(Json::Object(fields))
        }
        '[' => {
            let mut items = Vec::new();
            list(rest, ']', |rest| {
                items.push(value(rest)?);
                Some(())
            })?;
            Some(Json::List(items))
        }
        '"' => string(rest).map(Json::Text),
        _ => {
            let end = rest.find([',', '}', ']', ' ', '\n', '\r']).unwrap_or(rest.len());
            let (word, after) = rest.split_at(end);
            *rest = after;
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => {
                    number.parse::<f64>().ok()?;
                    Json::Number(number.to_owned())
                }
            })
        }
    }
}

fn list(rest: &mut &str, end: char, mut item: impl FnMut(&mut &str) -> Option<()>) -> Option<()> {
    *rest = rest[1..].trim_start();
    if let Some(after) = rest.strip_prefix(end) {
        *rest = after;
        return Some(());
    }
    loop {
        item(rest)?;
        *rest = rest.trim_start();
        let next = rest.chars().next()?;
        *rest = &rest[1..];
        match next {
            ',' => {}
            next if next == end => return Some(()),
            _ => return None,
        }
    }
}

fn string(rest: &mut &str) -> Option<String> {
    let mut out = String::new();
    let mut chars = rest.strip_prefix('"')?.char_indices();
    let text = &rest[1..];
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => {
                *rest = &text[at + 1..];
                return Some(out);
            }
            '\\' => match chars.next()?.1 {
                'n' => out.push('\n'),
                't' => out.push('\t'),
                'r' => out.push('\r'),
                'u' => {
                    let hex: String = (0..4).filter_map(|_| Some(chars.next()?.1)).collect();
                    out.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                }
                other => out.push(other),
            },
            c => out.push(c),
        }
    }
    None
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let quoted = |text: &str| {
            let mut out = String::from('"');
            for c in text.chars() {
                match c {
                    '"' | '\\' => out.extend(['\\', c]),
                    '\n' => out.push_str("\\n"),
                    c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
                    c => out.push(c),
                }
            }
            out + "\""
        };
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => f.write_str(&quoted(text)),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Object(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(key, value)| format!("{}:{value}", quoted(key))).collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}
