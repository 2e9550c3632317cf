//! Checks that the imports between the daemon's modules have no cycle.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

/// For each module, the modules of the crate that it imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Names of the modules that a source file imports from its own crate.
fn imports(source: &str) -> BTreeSet<String> {
    let name = |text: &str| {
        text.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect::<String>()
    };
    let mut found = BTreeSet::new();
    for (at, _) in source.match_indices("crate::") {
        let rest = &source[at + "crate::".len()..];
        let Some(group) = rest.strip_prefix('{') else {
            found.insert(name(rest));
            continue;
        };
        let (mut depth, mut starts) = (1, true);
        for (at, c) in group.char_indices() {
            match c {
                '{' => depth += 1,
                '}' => depth -= 1,
                ',' if depth == 1 => starts = true,
                c if starts && depth == 1 && !c.is_whitespace() => {
                    found.insert(name(&group[at..]));
                    starts = false;
                }
                _ => {}
            }
            if depth == 0 {
                break;
            }
        }
    }
    found
}

/// Extends `path` along imports until it reaches a module that is already on it.
fn extend_to_cycle(imports: &Imports, path: &mut Vec<String>, done: &mut BTreeSet<String>) -> bool {
    let Some(next) = path.last().and_then(|last| imports.get(last)) else { return false };
    for module in next {
        let is_passed = path.contains(module);
        path.push(module.clone());
        if is_passed || (!done.contains(module) && extend_to_cycle(imports, path, done)) {
            return true;
        }
        path.pop();
        done.insert(module.clone());
    }
    false
}

fn find_cycle(imports: &Imports) -> Option<Vec<String>> {
    let mut done = BTreeSet::new();
    imports.keys().find_map(|module| {
        let mut path = vec![module.clone()];
        extend_to_cycle(imports, &mut path, &mut done).then_some(path)
    })
}

#[test]
fn find_cycle_reports_only_cycles() {
    let check = |sources: &[(&str, &str)], expected: bool| {
        let all = sources.iter().map(|(name, source)| ((*name).to_owned(), imports(source)));
        assert_eq!(find_cycle(&all.collect()).is_some(), expected, "{sources:?}");
    };
    check(&[("a", "use crate::{b::{B, c}, d};"), ("b", "use crate::d::D;"), ("d", "")], false);
    check(&[("a", "use crate::{c, b::{B, D}};"), ("b", "fn f() { crate::a::g() }")], true);
    check(
        &[("a", "use crate::b::B;"), ("b", "use crate::{d,\n c::C};"), ("c", "use crate::b;")],
        true,
    );
}

#[test]
fn module_imports_have_no_cycle() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Imports::new();
    for entry in std::fs::read_dir(sources).expect("a directory") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default().to_owned();
        if !["lib", "main"].contains(&&*name) {
            let source = std::fs::read_to_string(&path).expect("a source");
            found.insert(name, imports(&source));
        }
    }
    assert!(found.len() > 20 && found.contains_key("app"), "{:?}", found.keys());
    assert_eq!(find_cycle(&found), None);
}
