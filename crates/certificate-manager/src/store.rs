//! Key-value store in a folder with atomic writes. Files are complete when they appear under their names,
//! readable by their owner only, and a newer value has a higher number. Several nodes may share the
//! folder; the filesystem must create hard links exclusively and rename atomically.

use std::fs::{self, DirBuilder, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Larger than any value stored here.
const MAX_VALUE_BYTES: u64 = 1 << 20;
/// Numbers that are kept, so that a reader that has just listed an older one still finds it.
const KEPT_NUMBERS: usize = 3;

/// A store in one folder.
#[derive(Clone, Debug)]
pub struct Store {
    root: PathBuf,
}

/// Escapes a name for use as a file name; all bytes but ASCII letters, digits, `-` and `_` are
/// percent-encoded.
fn escape(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    name.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02x}") }).collect()
}

fn number_name(number: u64) -> String {
    format!("{number:020}")
}

impl Store {
    /// Opens the store at this path. The folder is created with the first write.
    pub fn new(root: &Path) -> Store {
        Store { root: root.to_owned() }
    }

    fn folder(&self, collection: &str) -> PathBuf {
        collection.split('/').fold(self.root.clone(), |path, part| path.join(escape(part)))
    }

    /// Writes a temporary file next to the final location and syncs it to disk.
    fn write_temporary(&self, folder: &Path, bytes: &[u8]) -> io::Result<PathBuf> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        DirBuilder::new().recursive(true).mode(0o700).create(folder)?;
        // The counter separates the threads of a process; the random part separates processes and
        // machines.
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = folder.join(format!(".{}-{n}-{:016x}", std::process::id(), fastrand::u64(..)));
        let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
        let written = file.write_all(bytes).and_then(|()| file.sync_all());
        if let Err(e) = written {
            // A full disk leaves a partial file.
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        Ok(path)
    }

    /// Writes a value, replacing the previous one.
    ///
    /// # Errors
    /// I/O errors; the previous value stays.
    pub fn put(&self, collection: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        let folder = self.folder(collection);
        let temporary = self.write_temporary(&folder, bytes)?;
        let done = fs::rename(&temporary, folder.join(escape(name)));
        if done.is_err() {
            let _ = fs::remove_file(&temporary);
        }
        done
    }

    /// Writes a value under an unused name. Returns false if the name is in use.
    ///
    /// # Errors
    /// I/O errors.
    pub fn create(&self, collection: &str, name: &str, bytes: &[u8]) -> io::Result<bool> {
        let folder = self.folder(collection);
        let temporary = self.write_temporary(&folder, bytes)?;
        let done = fs::hard_link(&temporary, folder.join(escape(name)));
        let _ = fs::remove_file(&temporary);
        match done {
            Ok(()) => Ok(true),
            Err(e) if e.kind() == ErrorKind::AlreadyExists => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads a value; `None` if there is none.
    ///
    /// # Errors
    /// I/O errors, or the file is larger than 1 MiB.
    pub fn get(&self, collection: &str, name: &str) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.folder(collection).join(escape(name))) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        file.take(MAX_VALUE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_VALUE_BYTES {
            return Err(io::Error::new(ErrorKind::InvalidData, "longer than 1 MiB"));
        }
        Ok(Some(bytes))
    }

    /// Removes a value.
    pub fn remove(&self, collection: &str, name: &str) {
        let _ = fs::remove_file(self.folder(collection).join(escape(name)));
    }

    /// The file names in a collection, still escaped, without temporary files.
    ///
    /// # Errors
    /// I/O errors.
    pub fn names(&self, collection: &str) -> io::Result<Vec<String>> {
        let folder = match fs::read_dir(self.folder(collection)) {
            Ok(folder) => folder,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(e) => return Err(e),
        };
        let mut names = Vec::new();
        for entry in folder {
            if let Ok(name) = entry?.file_name().into_string()
                && !name.starts_with('.')
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    /// The numbers in a collection, highest first.
    ///
    /// # Errors
    /// I/O errors.
    pub fn numbers(&self, collection: &str) -> io::Result<Vec<u64>> {
        let mut numbers: Vec<u64> = self.names(collection)?.iter().filter_map(|n| n.parse().ok()).collect();
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        Ok(numbers)
    }

    /// Reads the value with a number.
    ///
    /// # Errors
    /// As [`Store::get`].
    pub fn get_number(&self, collection: &str, number: u64) -> io::Result<Option<Vec<u8>>> {
        self.get(collection, &number_name(number))
    }

    /// Writes the value with a number. A delayed writer writes under a lower number, which nobody reads.
    ///
    /// # Errors
    /// As [`Store::put`].
    pub fn put_number(&self, collection: &str, number: u64, bytes: &[u8]) -> io::Result<()> {
        self.put(collection, &number_name(number), bytes)
    }

    /// Writes a value under an unused number. Returns false if the number is in use.
    ///
    /// # Errors
    /// As [`Store::create`].
    pub fn create_number(&self, collection: &str, number: u64, bytes: &[u8]) -> io::Result<bool> {
        self.create(collection, &number_name(number), bytes)
    }

    /// Removes files older than this, by the filesystem's times. Their writer has died, or it would have
    /// removed them.
    pub fn remove_older_than(&self, collection: &str, longer_than: Duration) {
        let Ok(folder) = fs::read_dir(self.folder(collection)) else { return };
        for entry in folder.flatten() {
            let written = entry.metadata().and_then(|metadata| metadata.modified());
            if written.is_ok_and(|at| at.elapsed().is_ok_and(|age| age > longer_than)) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }

    /// Removes all but the highest numbers.
    pub fn remove_old_numbers(&self, collection: &str) {
        for number in self.numbers(collection).unwrap_or_default().into_iter().skip(KEPT_NUMBERS) {
            self.remove(collection, &number_name(number));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::PermissionsExt;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> (Folder, Store) {
            let path = std::env::temp_dir().join(format!("applemill-store-{}-{name}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            (Folder(path.clone()), Store::new(&path))
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn files_are_private_and_only_the_highest_numbers_are_kept() {
        let (folder, store) = Folder::new("put");
        assert_eq!((store.get("a", "x").unwrap(), store.numbers("a").unwrap()), (None, vec![]));
        for number in [3, 12, 7, 1, 2] {
            store.put_number("certs/a.lv", number, b"one").unwrap();
        }
        store.put_number("certs/a.lv", 12, b"two").unwrap();
        assert_eq!(store.numbers("certs/a.lv").unwrap(), [12, 7, 3, 2, 1]);
        assert_eq!(store.get_number("certs/a.lv", 12).unwrap().as_deref(), Some(&b"two"[..]));
        store.remove_old_numbers("certs/a.lv");
        assert_eq!(store.numbers("certs/a.lv").unwrap(), [12, 7, 3]);
        let mode = |p: &Path| fs::metadata(p).unwrap().permissions().mode() & 0o777;
        assert_eq!(mode(&folder.0.join("certs")), 0o700);
        assert_eq!(mode(&folder.0.join("certs/a%2elv").join(number_name(12))), 0o600);
        assert_eq!(store.names("certs/a.lv").unwrap().len(), 3, "no temporary file is left");
    }

    #[test]
    fn only_files_older_than_the_limit_are_removed() {
        let (folder, store) = Folder::new("sweep");
        for name in ["old", "new"] {
            store.put("proofs", name, b"x").unwrap();
        }
        let hour = Duration::from_secs(3600);
        let file = File::options().write(true).open(folder.0.join("proofs/old")).unwrap();
        file.set_modified(std::time::SystemTime::now() - 2 * hour).unwrap();
        store.remove_older_than("proofs", hour);
        store.remove_older_than("none", hour);
        assert_eq!(store.names("proofs").unwrap(), ["new"]);
    }

    #[test]
    fn concurrent_creates_of_a_number_succeed_once() {
        let (_folder, store) = Folder::new("create");
        let won: usize = std::thread::scope(|scope| {
            let all: Vec<_> = (0..8)
                .map(|_| {
                    let store = store.clone();
                    scope.spawn(move || {
                        (1..=20).filter(|n| store.create_number("c", *n, b"x").unwrap()).count()
                    })
                })
                .collect();
            all.into_iter().map(|t| t.join().unwrap()).sum()
        });
        assert_eq!(won, 20);
    }

    #[test]
    fn names_cannot_escape_the_folder_and_an_unusable_folder_is_an_error() {
        let (folder, store) = Folder::new("names");
        store.put("a", "../../x", b"1").unwrap();
        assert_eq!(store.get("a", "../../x").unwrap().as_deref(), Some(&b"1"[..]));
        assert!(folder.0.join("a/%2e%2e%2f%2e%2e%2fx").is_file());
        // A file in place of a folder: permissions would not stop root.
        fs::write(folder.0.join("b"), b"").unwrap();
        assert!(store.put("b", "x", b"1").is_err() && store.numbers("b").is_err());
        store.put("a", "long", &vec![0; MAX_VALUE_BYTES as usize + 1]).unwrap();
        assert!(store.get("a", "long").is_err());
    }
}
