//! Checks that links between pages lead to existing files.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Folders that hold no pages.
const SKIPPED: [&str; 3] = ["target", ".git", "data"];

fn collect_pages(folder: &Path, out: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() && !SKIPPED.contains(&name.as_ref()) {
            collect_pages(&path, out);
        } else if path.extension().is_some_and(|e| e == "md") {
            out.push(path);
        }
    }
}

/// Returns the link targets in a page, except web addresses and anchors in the
/// same page.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    let files = targets.filter_map(|t| t.split('#').next());
    files.filter(|t| !t.is_empty() && !t.contains("://"))
}

#[test]
fn every_link_between_pages_leads_to_a_file() {
    let mut found = Vec::new();
    collect_pages(Path::new(env!("CARGO_MANIFEST_DIR")), &mut found);
    let mut broken = Vec::new();
    for page in &found {
        let text = fs::read_to_string(page).expect("the page is readable");
        let folder = page.parent().expect("the page is in a folder");
        let missing = links(&text).filter(|l| !folder.join(l).exists());
        broken.extend(missing.map(|l| format!("{}: {l}", page.display())));
    }
    assert!(broken.is_empty(), "broken links:\n{}", broken.join("\n"));
}
