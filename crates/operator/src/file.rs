//! Reads and checks an operator's file, and converts the platform's settings to the limits that the check
//! applies.

use applemill_balancer::interface::{Class, Effect, Group, Settings};
use applemill_balancer::wire::{Names, WireError};
use applemill_routes::{
    DroppedBy, Effect as RouteEffect, LONGEST_FILE, Platform, PlatformClass, Report, Rules, load_bytes,
};
use std::io::Read;
use std::path::Path;

/// Why a file was not applied.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {reason}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The cause.
        reason: String,
    },
    /// The check found errors; the report lists them.
    #[error("{} is refused\n{}", .0, .1.text(.0))]
    Refused(String, Report),
    /// The file passes the check, but this node cannot apply it: path and cause.
    #[error("{0}: {1}")]
    NotApplicable(String, String),
    /// The values of the file are not valid settings.
    #[error("{0}: {1}")]
    InvalidSettings(String, WireError),
}

/// Reads a whole file.
///
/// # Errors
/// The file cannot be read, is no regular file or is longer than `LONGEST_FILE`.
pub fn read_file(path: &Path) -> Result<Vec<u8>, FileError> {
    let unreadable = |reason: String| FileError::Unreadable { path: path.display().to_string(), reason };
    let io = |e: std::io::Error| unreadable(e.to_string());
    let metadata = std::fs::metadata(path).map_err(io)?;
    if !metadata.is_file() {
        return Err(unreadable("not a file".into()));
    }
    if metadata.len() > LONGEST_FILE {
        return Err(unreadable(format!("{} bytes; {} MiB at most", metadata.len(), LONGEST_FILE >> 20)));
    }
    let mut bytes = Vec::new();
    std::fs::File::open(path).map_err(io)?.take(LONGEST_FILE + 1).read_to_end(&mut bytes).map_err(io)?;
    Ok(bytes)
}

/// Reads and checks a file. The returned report may hold warnings.
///
/// # Errors
/// The file cannot be read, or the check found errors.
pub fn load(path: &Path, platform: Option<&Platform>) -> Result<(Report, Rules), FileError> {
    let bytes = read_file(path)?;
    match load_bytes(&bytes, platform) {
        (report, Some(rules)) => Ok((report, rules)),
        (report, None) => Err(FileError::Refused(path.display().to_string(), report)),
    }
}

/// The limits that the platform's settings put on an operator's file.
pub fn platform_limits(settings: &Settings, names: &Names) -> Platform {
    let to_platform_class = |(class, name): (&Class, &String)| {
        let (effect, group) = match class.effect {
            Effect::Safe => (RouteEffect::Safe, Group::All),
            Effect::Keyed(group) => (RouteEffect::Keyed, group),
            Effect::Unsafe => (RouteEffect::Unsafe, Group::All),
        };
        let dropped_by = match group {
            Group::All => DroppedBy::Pool,
            Group::Zone => DroppedBy::Zone,
            Group::Cell => DroppedBy::Cell,
        };
        PlatformClass {
            name: name.clone(),
            effect,
            patience_ms: class.deadline_ms,
            dropped_by,
            dropped_for_ms: class.key_ttl_ms,
        }
    };
    Platform {
        classes: settings.classes.iter().zip(names.classes()).map(to_platform_class).collect(),
        max_attempts: settings.max_attempts,
        second_copies: settings.second_copies && settings.may_cancel,
    }
}
