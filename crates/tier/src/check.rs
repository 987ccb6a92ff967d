//! Files checked before they are used: settings (`.toml`) and operators' configurations (`.json`).

use std::path::Path;

use bytes::Bytes;
use rainlug_registry::Configuration;

use crate::settings::Settings;
use crate::settings::fields::{self, Finding};

/// All that is wrong with a file, each finding with its place and what was expected there; none where it is sound.
pub fn file(path: &Path) -> Vec<Finding> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) => return vec![("/".to_owned(), format!("a file that can be read expected: {error}"))],
    };
    match path.extension().and_then(|e| e.to_str()) {
        Some("toml") => match String::from_utf8(bytes) {
            Ok(text) => settings(&text),
            Err(error) => vec![("/".to_owned(), format!("UTF-8 expected: {}", error.utf8_error()))],
        },
        Some("json") => configuration(bytes.into()),
        _ => vec![(
            "/".to_owned(),
            "a name that ends in .toml (settings) or .json (configuration) expected".to_owned(),
        )],
    }
}

/// Of settings.
pub fn settings(text: &str) -> Vec<Finding> {
    let placed = |finding: String| match finding.split_once(": ") {
        Some((place, expected)) => (place.to_owned(), expected.to_owned()),
        None => ("/".to_owned(), finding),
    };
    let table = match fields::table(text) {
        Ok(table) => table,
        Err(findings) => return findings.into_iter().map(placed).collect(),
    };
    let mut findings = fields::findings(&table);
    if findings.is_empty() {
        findings.extend(Settings::read(text).err().unwrap_or_default().into_iter().map(placed));
    }
    for (place, expected) in fields::unserved(&table) {
        if findings.iter().all(|(at, _)| *at != place) {
            findings.push((place, expected));
        }
    }
    findings
}

/// Of an operator's configuration.
pub fn configuration(text: Bytes) -> Vec<Finding> {
    match Configuration::parse(&text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.0.into_iter().map(|finding| (finding.path, finding.expected)).collect(),
    }
}

/// Checks these files and says how each is; true where all are sound.
pub fn run(files: &[impl AsRef<Path>]) -> bool {
    let mut sound = true;
    for path in files {
        let (path, findings) = (path.as_ref(), file(path.as_ref()));
        if findings.is_empty() {
            println!("{}: sound", path.display());
        }
        for (place, expected) in findings {
            sound = false;
            println!("{}: {place}: {}", path.display(), expected.replace(['\n', '\r'], " "));
        }
    }
    sound
}
