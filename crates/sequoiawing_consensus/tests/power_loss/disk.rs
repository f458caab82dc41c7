//! A folder in memory that decides what a loss of power leaves of it.

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use sequoiawing_consensus::{Folder, FolderFile};
use std::{
    collections::BTreeMap,
    io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
};

/// What the disk does wrong beside losing power.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Syncs of files return at once and make nothing durable.
    FilesNotSynced,
    /// Syncs of the folder return at once and make nothing durable.
    FolderNotSynced,
}

type FileId = usize;

/// A change of a file since its last sync.
#[derive(Clone, Debug)]
enum Change {
    Written { offset: usize, bytes: Vec<u8> },
    Resized(usize),
}

#[derive(Debug, Default)]
struct File {
    durable: Vec<u8>,
    changes: Vec<Change>,
}

impl File {
    fn content(&self) -> Vec<u8> {
        let mut content = self.durable.clone();
        for change in &self.changes {
            change.apply(&mut content);
        }
        content
    }
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::Written { offset, bytes } => {
                let end = offset + bytes.len();
                content.resize(content.len().max(end), 0);
                content[*offset..end].copy_from_slice(bytes);
            }
            Self::Resized(length) => content.resize(*length, 0),
        }
    }
}

#[derive(Debug)]
struct State {
    random: ChaCha8Rng,
    fault: Fault,
    files: Vec<File>,
    /// The files that each name has stood for since the last sync of the folder;
    /// the first one is durable.
    names: BTreeMap<String, Vec<Option<FileId>>>,
    /// The number of operations until the power or the process is lost.
    budget: Option<u32>,
    /// The number of operations until writes fail, and for how many they do.
    refusal: Option<(u32, u32)>,
}

/// A disk; its clones are the same disk.
#[derive(Clone, Debug)]
pub(crate) struct Disk(Arc<Mutex<State>>);

impl Disk {
    pub(crate) fn new(seed: u64, fault: Fault) -> Self {
        Self(Arc::new(Mutex::new(State {
            random: ChaCha8Rng::seed_from_u64(seed),
            fault,
            files: Vec::new(),
            names: BTreeMap::new(),
            budget: None,
            refusal: None,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread may panic with the disk")
    }

    /// Returns a random number below `bound`.
    pub(crate) fn random(&self, bound: u64) -> u64 {
        self.state().random(bound)
    }

    /// Lets all operations after the next `operations` fail.
    pub(crate) fn stop_after(&self, operations: u32) {
        self.state().budget = Some(operations);
    }

    /// Lets `count` writes fail as on a full disk, after the next `operations`.
    pub(crate) fn refuse_after(&self, operations: u32, count: u32) {
        self.state().refusal = Some((operations, count));
    }

    /// Returns `true` if an operation has failed since the disk was told to stop.
    pub(crate) fn has_stopped(&self) -> bool {
        self.state().budget == Some(0)
    }

    /// Starts the process again; all that it wrote is still there.
    pub(crate) fn restart_process(&self) {
        let mut state = self.state();
        state.budget = None;
        state.refusal = None;
    }

    /// Starts the machine again after a loss of power: of each change since the
    /// last sync, all, a part or nothing is there.
    pub(crate) fn restart_machine(&self) {
        self.restart_process();
        let mut state = self.state();
        let state = &mut *state;
        let loses_all = state.random(4) == 0;
        for id in 0..state.files.len() {
            let changes = std::mem::take(&mut state.files[id].changes);
            let mut content = std::mem::take(&mut state.files[id].durable);
            for change in changes.iter().filter(|_| !loses_all) {
                if let Some(change) = state.tear(change) {
                    change.apply(&mut content);
                }
            }
            state.files[id].durable = content;
        }
        let names: Vec<String> = state.names.keys().cloned().collect();
        for name in names {
            let count = state.names[&name].len() as u64;
            let kept = if loses_all { 0 } else { state.random(count) };
            let kept = usize::try_from(kept).expect("there must be few changes of a name");
            let history = state.names.get_mut(&name).expect("the name must be known");
            *history = vec![history[kept]];
        }
    }

    /// Returns the content of all files.
    pub(crate) fn contents(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state();
        let current = |history: &Vec<Option<FileId>>| history.last().copied().flatten();
        let files = state.names.iter();
        let files = files.filter_map(|(n, h)| Some((n.clone(), current(h)?)));
        files
            .map(|(n, id)| (n, state.files[id].content()))
            .collect()
    }

    /// Replaces the durable content of a file, as damage of the disk does.
    pub(crate) fn damage(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let id = state.find(name).expect("the file must exist");
        state.files[id] = File {
            durable: bytes,
            changes: Vec::new(),
        };
    }
}

impl State {
    fn random(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    /// Returns what a loss of power leaves of a change.
    fn tear(&mut self, change: &Change) -> Option<Change> {
        if self.random(3) == 0 {
            return None;
        }
        let Change::Written { offset, bytes } = change else {
            return Some(change.clone());
        };
        let cut = usize::try_from(self.random(bytes.len() as u64 + 1));
        let cut = cut.expect("the write must be small");
        Some(match self.random(4) {
            // The length is there and the content, or its rest, is not.
            0 => Change::Written {
                offset: *offset,
                bytes: vec![0; bytes.len()],
            },
            1 => {
                let mut bytes = bytes.clone();
                bytes[cut..].fill(0);
                let offset = *offset;
                Change::Written { offset, bytes }
            }
            2 => Change::Written {
                offset: *offset,
                bytes: bytes[..cut].to_vec(),
            },
            _ => change.clone(),
        })
    }

    fn find(&self, name: &str) -> io::Result<FileId> {
        let history = self.names.get(name);
        let current = history.and_then(|h| h.last().copied().flatten());
        current.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn set_name(&mut self, name: &str, file: Option<FileId>) {
        let history = self.names.entry(name.to_owned());
        history.or_insert_with(|| vec![None]).push(file);
    }

    /// Counts an operation that changes the disk.
    fn operate(&mut self) -> io::Result<()> {
        match &mut self.budget {
            Some(0) => Err(io::Error::other("the power is off")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Counts a write, which fails on a full disk.
    fn write(&mut self) -> io::Result<()> {
        self.operate()?;
        match &mut self.refusal {
            Some((0, 0)) | None => Ok(()),
            Some((0, count)) => {
                *count -= 1;
                Err(io::Error::from(io::ErrorKind::StorageFull))
            }
            Some((left, _)) => {
                *left -= 1;
                Ok(())
            }
        }
    }
}

impl Folder for Disk {
    fn path(&self) -> &Path {
        Path::new("disk")
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let state = self.state();
        let names = state.names.keys();
        Ok(names.filter(|n| state.find(n).is_ok()).cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        Ok(state.files[state.find(name)?].content())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn FolderFile>> {
        let mut state = self.state();
        state.write()?;
        let id = if let Ok(id) = state.find(name) {
            state.files[id].changes.push(Change::Resized(0));
            id
        } else {
            state.files.push(File::default());
            let id = state.files.len() - 1;
            state.set_name(name, Some(id));
            id
        };
        let disk = self.clone();
        Ok(Box::new(OpenFile { disk, id }))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn FolderFile>> {
        let id = self.state().find(name)?;
        let disk = self.clone();
        Ok(Box::new(OpenFile { disk, id }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        let id = state.find(from)?;
        state.set_name(from, None);
        state.set_name(to, Some(id));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.find(name)?;
        state.set_name(name, None);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        if state.fault == Fault::FolderNotSynced {
            return Ok(());
        }
        for history in state.names.values_mut() {
            history.drain(..history.len() - 1);
        }
        Ok(())
    }
}

#[derive(Debug)]
struct OpenFile {
    disk: Disk,
    id: FileId,
}

impl FolderFile for OpenFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        let written = state.write();
        let mut bytes = bytes.to_vec();
        if written.is_err() {
            let kept = state.random(bytes.len() as u64);
            bytes.truncate(usize::try_from(kept).expect("the write must be small"));
        }
        let offset = usize::try_from(offset).expect("the offset must be small");
        state.files[self.id]
            .changes
            .push(Change::Written { offset, bytes });
        written
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.operate()?;
        let length = usize::try_from(length).expect("the length must be small");
        state.files[self.id].changes.push(Change::Resized(length));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.operate()?;
        if state.fault == Fault::FilesNotSynced {
            return Ok(());
        }
        let file = &mut state.files[self.id];
        file.durable = file.content();
        file.changes.clear();
        Ok(())
    }
}
