//! Texts that a test compares with what a build tells the outside. With `RAINLUG_WRITE_FIXTURES=1` set the same test writes the file
//! in place of comparing; the difference is then for the reader of the commit.

use std::path::PathBuf;

/// Whether fixtures are written now.
pub fn is_writing() -> bool {
    std::env::var_os("RAINLUG_WRITE_FIXTURES").is_some_and(|set| set == "1")
}

/// A fixture's place: `tests/outside/` of the crate under test.
fn path(name: &str) -> PathBuf {
    PathBuf::from(std::env::var_os("CARGO_MANIFEST_DIR").expect("cargo says where the crate is"))
        .join("tests/outside")
        .join(name)
}

/// What the fixture of this name says; empty where there is none yet.
pub fn expected(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_default()
}

/// Finds that a text is the fixture's, line by line.
pub fn assert_same(name: &str, told: &str) {
    if is_writing() {
        std::fs::create_dir_all(path("")).unwrap();
        return std::fs::write(path(name), told).unwrap();
    }
    let expected = expected(name);
    let lacks = |of: &str, other: &str| -> Vec<String> {
        of.lines().filter(|line| !other.lines().any(|l| l == *line)).map(str::to_owned).collect()
    };
    assert!(
        told == expected,
        "{name}: no longer told {:#?}, told anew {:#?}",
        lacks(&expected, told),
        lacks(told, &expected)
    );
}
