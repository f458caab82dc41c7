//! Computes the identifier of the build from the sources of the crates whose types
//! travel between processes.
//!
//! Two builds with the same identifier have the same messages. It depends on no
//! clock and no version control, so that every build of the same sources gets the
//! same one.

use std::{
    collections::BTreeSet,
    env, fs, io,
    path::{Path, PathBuf},
};

/// Crates of the workspace start with this prefix.
const PREFIX: &str = "sequoiawing_";

fn main() -> io::Result<()> {
    let root = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").expect("cargo sets it"));
    let version = env::var("CARGO_PKG_VERSION").expect("cargo sets it");
    let mut hash = Fnv::new();
    hash.write(version.as_bytes());
    // A package that is built outside the workspace has no sources of the other crates
    // beside it. Without an identifier the build speaks JSON with every other one.
    let id = match crates(&root)? {
        Some(crates) => {
            for path in crates {
                hash_sources(&path, &mut hash)?;
            }
            let lock = root.join("../../Cargo.lock");
            if lock.is_file() {
                hash_file(&lock, "Cargo.lock", &mut hash)?;
            }
            hash.0.max(1)
        }
        None => 0,
    };
    println!("cargo::rustc-env=SEQUOIAWING_BUILD_ID={id:016x}");
    Ok(())
}

/// Returns the crate and the crates that it depends on, with their sources beside it;
/// `None` if one has none there.
fn crates(root: &Path) -> io::Result<Option<Vec<PathBuf>>> {
    let parent = root.parent().expect("the crate is in a folder");
    let mut names = BTreeSet::new();
    let mut open = vec![root.to_owned()];
    let mut found = vec![root.to_owned()];
    while let Some(path) = open.pop() {
        let manifest = path.join("Cargo.toml");
        println!("cargo::rerun-if-changed={}", manifest.display());
        for name in dependencies(&fs::read_to_string(manifest)?) {
            let path = parent.join(&name);
            if !path.join("src").is_dir() {
                return Ok(None);
            }
            if names.insert(name) {
                open.push(path.clone());
                found.push(path);
            }
        }
    }
    found.sort();
    Ok(Some(found))
}

/// Returns the workspace's crates that a manifest names as dependencies.
fn dependencies(manifest: &str) -> Vec<String> {
    let mut is_dependency = false;
    let mut names = Vec::new();
    for line in manifest.lines().map(str::trim) {
        if let Some(section) = line.strip_prefix('[') {
            // A package's own manifest has a table for each dependency.
            let section = section.trim_end_matches(']');
            is_dependency = section == "dependencies";
            let table = section.strip_prefix("dependencies.");
            names.extend(table.filter(|t| t.starts_with(PREFIX)).map(str::to_owned));
        } else if is_dependency && line.starts_with(PREFIX) {
            let end = line.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
            names.push(line[..end.unwrap_or(line.len())].to_owned());
        }
    }
    names
}

fn hash_sources(root: &Path, hash: &mut Fnv) -> io::Result<()> {
    let sources = root.join("src");
    println!("cargo::rerun-if-changed={}", sources.display());
    let name = root.file_name().expect("a crate has a name");
    hash.write(name.as_encoded_bytes());
    let mut files = Vec::new();
    collect_files(&sources, &mut files)?;
    files.sort();
    for file in files {
        let relative = file.strip_prefix(root).expect("the file is in the crate");
        hash_file(&file, &relative.to_string_lossy(), hash)?;
    }
    Ok(())
}

fn collect_files(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_files(&path, files)?;
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

fn hash_file(path: &Path, name: &str, hash: &mut Fnv) -> io::Result<()> {
    println!("cargo::rerun-if-changed={}", path.display());
    hash.write(name.as_bytes());
    hash.write(&fs::read(path)?);
    Ok(())
}

/// The FNV-1a hash of parts, each with its length.
struct Fnv(u64);

impl Fnv {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn write(&mut self, part: &[u8]) {
        let length = u64::try_from(part.len()).expect("a length fits");
        for byte in length.to_le_bytes().iter().chain(part) {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }
}
