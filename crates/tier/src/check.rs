//! `rainlug check`: files checked before they are used, settings (`.toml`) and operators' configurations (`.json`).

use std::path::Path;

use bytes::Bytes;
use rainlug_registry::Configuration;

use crate::settings::{Finding, Settings};

/// All that is wrong with a file; nothing where it is sound.
pub fn check_file(path: &Path) -> Vec<Finding> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) => return vec![Finding::of_file(format!("a file that can be read expected: {error}"))],
    };
    match path.extension().and_then(|e| e.to_str()) {
        Some("toml") => match String::from_utf8(bytes) {
            Ok(text) => Settings::check(&text),
            Err(error) => vec![Finding::of_file(format!("UTF-8 expected: {}", error.utf8_error()))],
        },
        Some("json") => check_configuration(bytes.into()),
        _ => vec![Finding::of_file(
            "a name that ends in .toml (settings) or .json (configuration) expected".to_owned(),
        )],
    }
}

/// All that is wrong with the text of an operator's configuration.
pub fn check_configuration(text: Bytes) -> Vec<Finding> {
    match Configuration::parse(&text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings
            .0
            .into_iter()
            .map(|found| Finding { place: found.path, expected: found.expected })
            .collect(),
    }
}

/// Checks files and prints the findings of each; true where all are sound.
pub fn check_files(files: &[impl AsRef<Path>]) -> bool {
    let mut are_sound = true;
    for path in files {
        let (path, findings) = (path.as_ref(), check_file(path.as_ref()));
        if findings.is_empty() {
            println!("{}: sound", path.display());
        }
        for Finding { place, expected } in findings {
            are_sound = false;
            println!("{}: {place}: {}", path.display(), expected.replace(['\n', '\r'], " "));
        }
    }
    are_sound
}
