//! The live pages (`README.md`, `CONTRIBUTING.md` and `docs/*.md` but the record pages) name no file or folder that is not there.
//!
//! Two kinds of names are checked, both outside fenced code blocks:
//!
//! - The target of a markdown link, `[text](target)`, unless it is a URL or an anchor of the same page. It is resolved from the
//!   page's folder, as a reader's browser does.
//! - A path in backticks: one word of letters, digits, `_`, `-`, `.` and `/` that ends in one of `SUFFIXES`, or that has a `/` and
//!   begins with a top-level folder of the repository or with the name of a crate. It is resolved from the root, the page's folder,
//!   `crates/`, and each crate's folder, `src/` and `tests/`; one of these must have it. `target/` is built, so it is no such folder.
//!   The reports that runs write, `WRITTEN_BY_RUNS`, are no files of the repository.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Pages that stay as they were written: they name files of their time.
const RECORD_PAGES: [&str; 4] = ["ROADMAP.md", "standing.md", "further.md", "news-22.md"];

/// Files that a run of the rig or of the load generator writes into its folder; they are not in the repository.
const WRITTEN_BY_RUNS: [&str; 2] = ["report.md", "trial.md"];

/// A word in backticks that ends in one of these is a path.
const SUFFIXES: [&str; 4] = [".rs", ".toml", ".md", ".py"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn entries(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    entries.map(|entry| entry.expect("an entry of a folder that can be read").path()).collect()
}

fn file_name(path: &Path) -> &str {
    path.file_name().and_then(|name| name.to_str()).expect("a name in UTF-8")
}

/// The folders that a path in backticks may begin with or be resolved from.
struct Layout {
    /// Names of top-level folders and of crates.
    first_components: Vec<String>,
    /// Folders that each path is resolved from, besides the page's own.
    bases: Vec<PathBuf>,
}

impl Layout {
    fn read() -> Self {
        let crates: Vec<PathBuf> =
            entries(&root().join("crates")).into_iter().filter(|path| path.is_dir()).collect();
        let top_level = entries(root())
            .into_iter()
            .filter(|path| path.is_dir() && !["target", ".git"].contains(&file_name(path)));
        let first_components =
            top_level.chain(crates.iter().cloned()).map(|path| file_name(&path).to_string()).collect();
        let mut bases = vec![root().to_path_buf(), root().join("crates")];
        for folder in crates {
            bases.extend([folder.join("src"), folder.join("tests"), folder]);
        }
        Self { first_components, bases }
    }

    fn is_path(&self, word: &str) -> bool {
        let is_plain = word.chars().all(|letter| letter.is_ascii_alphanumeric() || "_-./".contains(letter));
        let has_suffix = SUFFIXES.iter().any(|suffix| word.ends_with(suffix) && word != *suffix);
        let first = word.split_once('/').map(|(first, _)| first);
        is_plain
            && !WRITTEN_BY_RUNS.contains(&word)
            && (has_suffix
                || first.is_some_and(|first| self.first_components.iter().any(|name| name == first)))
    }

    fn has(&self, page_folder: &Path, path: &str) -> bool {
        page_folder.join(path).exists() || self.bases.iter().any(|base| base.join(path).exists())
    }

    /// Names in `text`, a page in `page_folder`, of files and folders that do not exist, each with its line.
    fn missing(&self, page_folder: &Path, text: &str) -> Vec<String> {
        let mut missing = Vec::new();
        let mut is_fenced = false;
        for (index, line) in text.lines().enumerate() {
            if line.trim_start().starts_with("```") {
                is_fenced = !is_fenced;
            } else if !is_fenced {
                let links =
                    link_targets(line).into_iter().filter(|target| !page_folder.join(target).exists());
                let paths = backticked(line)
                    .into_iter()
                    .filter(|word| self.is_path(word) && !self.has(page_folder, word));
                missing.extend(links.chain(paths).map(|name| format!("{}: {name}", index + 1)));
            }
        }
        missing
    }
}

/// Targets of the links of a line that are files, without their anchors.
fn link_targets(line: &str) -> Vec<&str> {
    let targets = line.split("](").skip(1).filter_map(|rest| rest.split_once(')')).map(|(target, _)| target);
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with("mailto:"));
    files
        .map(|target| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty())
        .collect()
}

/// What a line has between backticks.
fn backticked(line: &str) -> Vec<&str> {
    line.split('`').skip(1).step_by(2).collect()
}

fn live_pages() -> Vec<PathBuf> {
    let docs = entries(&root().join("docs")).into_iter();
    let docs = docs.filter(|path| path.extension().is_some_and(|extension| extension == "md"));
    let live = docs.filter(|path| !RECORD_PAGES.contains(&file_name(path)));
    let mut pages: Vec<PathBuf> =
        live.chain(["README.md", "CONTRIBUTING.md"].map(|name| root().join(name))).collect();
    pages.sort();
    pages
}

#[test]
fn given_the_live_pages_then_each_file_that_they_name_exists() {
    let layout = Layout::read();
    let mut missing = Vec::new();
    for page in live_pages() {
        let text = fs::read_to_string(&page).unwrap_or_else(|error| panic!("{}: {error}", page.display()));
        let folder = page.parent().expect("a page is in a folder");
        missing.extend(
            layout.missing(folder, &text).into_iter().map(|name| format!("{}:{name}", file_name(&page))),
        );
    }
    assert!(missing.is_empty(), "names of files that do not exist:\n{}", missing.join("\n"));
}

#[test]
fn given_a_page_that_names_missing_files_then_each_is_found() {
    let page = "[a](no-such-page.md), [b](glossary.md#no-matter), [c](https://example.org/x.md), [d](#here)\n\
                `no_such_file.rs`, `consensus/src/no_such_file.rs`, `crates/no-such-crate`, `wal/src/lib.rs`, `crates/wal`\n\
                `Some::path`, `.rs`, `/v1/retire`, `target/soak`, `to IP:PORT`\n\
                ```text\n`no_such_file.rs`\n```\n\
                `docs/no-such-folder/`, `../CHANGELOG.md`, `../no-such-page.md`";
    let missing = Layout::read().missing(&root().join("docs"), page);
    assert_eq!(
        missing,
        [
            "1: no-such-page.md",
            "2: no_such_file.rs",
            "2: consensus/src/no_such_file.rs",
            "2: crates/no-such-crate",
            "7: docs/no-such-folder/",
            "7: ../no-such-page.md"
        ]
    );
}
