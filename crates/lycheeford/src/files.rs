use std::fs;
use std::path::Path;

use lycheeford_config::{Document, check, merge};
use lycheeford_policy::Configuration;

use crate::failure::{Exit, Failure};

/// Reads, merges and checks the files.
///
/// A failure lists all faults of both files, or all faults of the merged document if both files
/// can be read.
pub(crate) fn load(base: &Path, overlay: Option<&Path>) -> Result<Configuration, Failure> {
    let base = read_document(base);
    let overlay = overlay.map_or(Ok(Document::default()), read_document);
    let (base, overlay) = match (base, overlay) {
        (Ok(base), Ok(overlay)) => (base, overlay),
        (Err(base), Err(overlay)) => return Err(faulty_files(&format!("{base}\n{overlay}"))),
        (Err(faults), Ok(_)) | (Ok(_), Err(faults)) => return Err(faulty_files(&faults)),
    };
    check(&merge(&base, &overlay)).map_err(|faults| faulty_files(&faults.to_string()))
}

fn read_document(path: &Path) -> Result<Document, String> {
    let file_name = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{file_name}: can't be read: {error}; name another file"))?;
    Document::from_yaml(&text, &file_name).map_err(|faults| faults.to_string())
}

fn faulty_files(faults: &str) -> Failure {
    Failure::new(Exit::Usage, faults)
}
