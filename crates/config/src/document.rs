//! Reads an answers file against the schema: finds unknown, missing and wrongly typed settings, and
//! records the line of each setting for later checks.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;
use toml::{
    Spanned, Table, Value,
    de::{DeTable, DeValue},
};

use crate::{
    check::Diagnostic,
    schema::{ANSWERS, Setting, SettingType},
};

/// Largest edit distance at which an unknown setting counts as a misspelt one.
const MISSPELT_DISTANCE_MAX: usize = 2;

/// An answers file in which placeholders replace the missing and invalid values, so that the rest
/// can be checked as well.
pub(crate) struct Document {
    /// The settings, with placeholders.
    pub(crate) table: Table,
    /// Errors found while reading: unknown, missing and wrongly typed settings.
    pub(crate) diagnostics: Vec<Diagnostic>,
    /// Line of each setting by its path. Of a repeated name, the last line.
    lines: BTreeMap<String, usize>,
    /// Paths of the settings whose value is a placeholder.
    invalid: BTreeSet<String>,
}

impl Document {
    /// Reads an answers file. The error lists the syntax errors of TOML.
    pub(crate) fn parse(text: &str) -> Result<Document, Vec<Diagnostic>> {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(errors.iter().map(|e| syntax_error(text, e)).collect());
        }
        let mut reader = Reader {
            line_starts: line_starts(text),
            document: Document {
                table: Table::new(),
                diagnostics: Vec::new(),
                lines: BTreeMap::new(),
                invalid: BTreeSet::new(),
            },
        };
        let table = reader.read_table(root.get_ref(), ANSWERS, "", 1);
        reader.document.table = table;
        Ok(reader.document)
    }

    /// The line of the setting at the path, or of the nearest enclosing table that has one.
    pub(crate) fn line_of(&self, place: &str) -> Option<usize> {
        let mut place = place;
        loop {
            if let Some(line) = self.lines.get(place) {
                return Some(*line);
            }
            place = place.rsplit_once('.')?.0;
        }
    }

    /// Whether the value at the path is a placeholder. An error found in it is to be ignored, since
    /// the missing or invalid value was reported already.
    pub(crate) fn is_invalid(&self, place: &str) -> bool {
        self.invalid.contains(place)
    }
}

/// Collects the settings and errors of a [`Document`].
struct Reader {
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    document: Document,
}

impl Reader {
    fn read_table(
        &mut self,
        table: &DeTable<'_>,
        settings: &[Setting],
        place: &str,
        line: usize,
    ) -> Table {
        let mut read = Table::new();
        let mut missing: Vec<&Setting> = Vec::new();
        for setting in settings {
            let inner = join(place, setting.name);
            match table.get(setting.name) {
                Some(value) => {
                    read.extend([(setting.name.to_owned(), self.read(value, setting, &inner))]);
                }
                None if setting.required => {
                    read.insert(setting.name.to_owned(), placeholder(setting));
                    self.document.invalid.insert(inner);
                    missing.push(setting);
                }
                None => {}
            }
        }
        for key in table.keys() {
            if !settings.iter().any(|s| s.name == key.get_ref()) {
                self.report_unknown(key, settings, &mut missing, place);
            }
        }
        for setting in missing {
            let problem = format!("{} is missing", setting.name);
            let remedy = format!("add {}: {}", setting.name, setting.ty.remedy());
            let place = if place.is_empty() { setting.name } else { place };
            self.report(line, place, problem, remedy);
        }
        read
    }

    fn report_unknown(
        &mut self,
        key: &Spanned<std::borrow::Cow<'_, str>>,
        settings: &[Setting],
        missing: &mut Vec<&Setting>,
        place: &str,
    ) {
        let name = key.get_ref();
        let close =
            |s: &&&Setting| strsim::damerau_levenshtein(s.name, name) <= MISSPELT_DISTANCE_MAX;
        let remedy = match missing.iter().find(close).map(|s| s.name) {
            Some(meant) => {
                missing.retain(|s| s.name != meant);
                format!("write `{meant}`")
            }
            None => {
                let names: Vec<&str> = settings.iter().map(|s| s.name).collect();
                format!("take it out; there are {}", names.join(", "))
            }
        };
        let line = self.line(key);
        self.report(line, &join(place, name), format!("`{name}` is not a setting"), remedy);
    }

    fn read(&mut self, value: &Spanned<DeValue<'_>>, setting: &Setting, place: &str) -> Value {
        let line = self.line(value);
        self.document.lines.insert(place.to_owned(), line);
        let read = match (setting.ty, value.get_ref()) {
            (SettingType::Text, DeValue::String(text)) => Some(Value::String(text.to_string())),
            (SettingType::Name, DeValue::String(text)) if is_name(text) => {
                Some(Value::String(text.to_string()))
            }
            (SettingType::OneOf(words), DeValue::String(text))
                if words.contains(&text.as_ref()) =>
            {
                Some(Value::String(text.to_string()))
            }
            (SettingType::Bool, DeValue::Boolean(flag)) => Some(Value::Boolean(*flag)),
            (SettingType::Number { max }, DeValue::Integer(number)) => {
                let parsed = i64::from_str_radix(number.as_str(), number.radix()).ok();
                let fits = |number: &i64| u64::try_from(*number).is_ok_and(|n| n <= max);
                parsed.filter(fits).map(Value::Integer)
            }
            (SettingType::NameList, DeValue::Array(items)) => {
                let names = items.iter().filter_map(|item| self.read_name(item, place));
                return Value::Array(names.collect());
            }
            (SettingType::Tables(settings), DeValue::Array(items)) => {
                let tables = items.iter().enumerate();
                let tables =
                    tables.filter_map(|(at, item)| self.read_item(item, at, settings, place));
                return Value::Array(tables.collect());
            }
            _ => None,
        };
        read.unwrap_or_else(|| {
            self.report_wrong_type(line, place, value.get_ref(), setting.ty);
            self.document.invalid.insert(place.to_owned());
            placeholder(setting)
        })
    }

    fn read_name(&mut self, item: &Spanned<DeValue<'_>>, place: &str) -> Option<Value> {
        let line = self.line(item);
        match item.get_ref() {
            DeValue::String(text) if is_name(text) => {
                self.document.lines.insert(join(place, text), line);
                Some(Value::String(text.to_string()))
            }
            other => {
                self.report_wrong_type(line, place, other, SettingType::Name);
                None
            }
        }
    }

    fn read_item(
        &mut self,
        item: &Spanned<DeValue<'_>>,
        at: usize,
        settings: &[Setting],
        place: &str,
    ) -> Option<Value> {
        let line = self.line(item);
        let DeValue::Table(table) = item.get_ref() else {
            self.report_wrong_type(line, place, item.get_ref(), SettingType::Tables(&[]));
            return None;
        };
        let name = table.get("name").and_then(|name| name.get_ref().as_str());
        let unnamed = format!("unnamed-{}", at + 1);
        let place = join(place, name.unwrap_or(&unnamed));
        self.document.lines.insert(place.clone(), line);
        let mut read = self.read_table(table, settings, &place, line);
        if self.document.is_invalid(&join(&place, "name")) {
            read.insert("name".to_owned(), Value::String(unnamed));
        }
        Some(Value::Table(read))
    }

    fn report_wrong_type(
        &mut self,
        line: usize,
        place: &str,
        found: &DeValue<'_>,
        ty: SettingType,
    ) {
        let problem = match found {
            DeValue::String(text) => format!("`{text}` can't be used"),
            DeValue::Integer(number) => format!("{number} can't be used"),
            DeValue::Float(number) => format!("{number} is not a whole number"),
            DeValue::Boolean(flag) => format!("{flag} can't be used"),
            DeValue::Datetime(date) => format!("{date} can't be used"),
            DeValue::Array(_) => "a list can't be used".to_owned(),
            DeValue::Table(_) => "a table can't be used".to_owned(),
        };
        self.report(line, place, problem, ty.remedy());
    }

    fn report(&mut self, line: usize, place: &str, problem: String, remedy: String) {
        self.document
            .diagnostics
            .push(Diagnostic::new(place, problem, remedy).with_line(Some(line)));
    }

    fn line<T>(&self, spanned: &Spanned<T>) -> usize {
        line_at(&self.line_starts, spanned.span().start)
    }
}

fn placeholder(setting: &Setting) -> Value {
    let table: Table =
        toml::from_str(&format!("value = {}", setting.placeholder)).unwrap_or_default();
    table.get("value").cloned().unwrap_or(Value::Boolean(false))
}

fn syntax_error(text: &str, error: &toml::de::Error) -> Diagnostic {
    let line = error.span().map(|span| line_at(&line_starts(text), span.start));
    let remedy = "correct the line: see https://toml.io for how TOML is written";
    Diagnostic::new("document", error.message(), remedy).with_line(line)
}

fn line_starts(text: &str) -> Vec<usize> {
    let after_breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
    [0].into_iter().chain(after_breaks).collect()
}

fn line_at(starts: &[usize], offset: usize) -> usize {
    starts.partition_point(|start| *start <= offset)
}

fn is_name(text: &str) -> bool {
    ServiceName::new(text).is_ok()
}

fn join(place: &str, name: &str) -> String {
    match place {
        "" => name.to_owned(),
        _ => format!("{place}.{name}"),
    }
}
