//! The place of a process among those of its dispatcher: files in a directory that all of them have.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use rainlug::Time;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::ConnectionInbox;
use crate::descriptor::pass_descriptor;
use crate::listener::{ListenerInbox, SocketId};
use crate::phase::Follower;
use crate::words::Words;

/// More processes of one dispatcher than this do not run beside each other.
const PLACES: usize = 4;

/// What the others are to know of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub started: Time,
    /// Takes clients.
    pub serves: bool,
    /// Is to end, and answers what it holds.
    pub stops: bool,
    /// The version of the words that it has applied.
    pub applied: u64,
    /// The listening socket that it accepts from. A process that is older than this field passes none on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listener: Option<SocketId>,
    /// Takes idle connections of those that stop. A process that is older than this field takes none.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub takes_connections: bool,
}

impl Status {
    fn begun(started: Time) -> Self {
        Status { started, serves: false, stops: false, applied: 0, listener: None, takes_connections: false }
    }

    /// Whether the other process takes the clients of this one: a newer one that serves, and where this one is to end also an
    /// older one that goes on.
    fn is_followed_by(&self, other: &Status) -> bool {
        other.serves && (other.started > self.started || (self.stops && !other.stops))
    }
}

/// What one process has learnt, for the next.
#[derive(Serialize, Deserialize)]
struct Learnt<T> {
    name: String,
    what: T,
    /// Where others of the fleet are. One that has no fleet, or is older than this, says nothing of it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    fleet: Vec<SocketAddr>,
}

pub struct Place {
    name: String,
    base: PathBuf,
    number: usize,
    status: RefCell<Status>,
    /// The words as last read, by what the file was then.
    words: RefCell<Words>,
    file: Cell<Option<Mark>>,
    /// What was left for others before this process began.
    left: Option<Mark>,
    /// Held as long as the process lives.
    _lock: File,
    /// Held by one process at a time.
    sole: RefCell<Option<File>>,
    /// The processes that the listener has been passed to, by place and start.
    passed: RefCell<BTreeSet<(usize, Time)>>,
}

/// Which file it is: a file that was replaced is another one.
type Mark = (u64, i64, i64, u64);

fn mark(of: &fs::Metadata) -> Mark {
    use std::os::unix::fs::MetadataExt;
    (of.ino(), of.mtime(), of.mtime_nsec(), of.len())
}

/// Which file there is, if any can be seen.
fn found(path: &Path) -> Option<Mark> {
    fs::metadata(path).ok().as_ref().map(mark)
}

/// The lock of that file, held until it is dropped; nothing where another process holds it.
fn locked(path: &Path) -> Result<Option<File>> {
    let opened = File::options().create(true).write(true).truncate(false).open(path);
    let lock = opened.with_context(|| format!("cannot open {}", path.display()))?;
    match lock.try_lock() {
        Ok(()) => Ok(Some(lock)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => {
            Err(error).with_context(|| format!("cannot lock {}", path.display()))
        }
    }
}

impl Place {
    /// Takes the first place that nobody holds, and reads the words said so far. A file of words that cannot be used is
    /// told with the reason, and counts as none.
    pub fn take(dir: &Path, name: &str, started: Time) -> Result<(Self, Option<anyhow::Error>)> {
        let base = dir.join(format!("rainlug-{}", utf8_percent_encode(name, NON_ALPHANUMERIC)));
        for number in 0..PLACES {
            let Some(lock) = locked(&lock_path(&base, number))? else { continue };
            let left = found(&learnt_path(&base));
            let place = Place {
                name: name.to_owned(),
                base,
                number,
                status: RefCell::new(Status::begun(started)),
                words: RefCell::default(),
                file: Cell::default(),
                left,
                _lock: lock,
                sole: RefCell::default(),
                passed: RefCell::default(),
            };
            place.publish()?;
            let odd = place.news().err();
            return Ok((place, odd));
        }
        bail!("{PLACES} processes of {name} run already")
    }

    /// The words as this process holds them.
    pub fn words(&self) -> Words {
        self.words.borrow().clone()
    }

    /// The status of each other process that lives.
    pub fn others(&self) -> Vec<Status> {
        self.numbered_others().map(|(_, status)| status).collect()
    }

    fn numbered_others(&self) -> impl Iterator<Item = (usize, Status)> {
        let others = (0..PLACES).filter(|n| *n != self.number && self.held(*n));
        let read = |n| serde_json::from_str(&fs::read_to_string(status_path(&self.base, n)).ok()?).ok();
        // One that has no status yet has only just begun.
        others.map(move |n| (n, read(n).unwrap_or_else(|| Status::begun(Time::MAX))))
    }

    /// Whether somebody holds that place. Only who holds a lock keeps others from sharing it.
    fn held(&self, number: usize) -> bool {
        let lock = File::open(lock_path(&self.base, number));
        lock.is_ok_and(|l| matches!(l.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }

    pub fn started(&self) -> Time {
        self.status.borrow().started
    }

    /// Takes clients from now on, from that socket.
    pub fn serves(&self, listener: Option<SocketId>) -> io::Result<()> {
        let mut status = self.status.borrow_mut();
        (status.serves, status.listener) = (true, listener);
        drop(status);
        self.publish()
    }

    /// Has closed its listening socket.
    pub fn closed_listener(&self) -> io::Result<()> {
        self.status.borrow_mut().listener = None;
        self.publish()
    }

    /// Who takes the clients, by the status of the others: a newer process that serves, and for one that is to end also an older
    /// one that goes on.
    pub fn follower(&self, others: &[Status]) -> Follower {
        let status = self.status.borrow();
        let mut followers = others.iter().filter(|other| status.is_followed_by(other)).peekable();
        if followers.peek().is_none() {
            return Follower::Absent;
        }
        let is_same = |other: &Status| other.listener.is_some() && other.listener == status.listener;
        if followers.any(is_same) { Follower::SameSocket } else { Follower::OwnSocket }
    }

    /// Where other processes pass a listener to this one.
    ///
    /// # Errors
    ///
    /// Where it cannot be opened.
    pub fn listener_inbox(&self) -> io::Result<ListenerInbox> {
        ListenerInbox::bind(&inbox_path(&self.base, self.number))
    }

    /// Passes the listener to each process that does not serve yet and can take it. One that cannot yet is passed it at a
    /// later call.
    pub fn pass_listener(&self, listener: &impl AsFd) {
        for (number, status) in self.numbered_others().filter(|(_, status)| !status.serves) {
            let is_passed = self.passed.borrow().contains(&(number, status.started));
            if !is_passed && pass_descriptor(listener, &inbox_path(&self.base, number)).is_ok() {
                self.passed.borrow_mut().insert((number, status.started));
            }
        }
    }

    /// Where other processes pass connections to this one, once it serves: they are told with that.
    ///
    /// # Errors
    ///
    /// Where it cannot be opened.
    pub fn connection_inbox(&self) -> io::Result<ConnectionInbox> {
        let inbox = ConnectionInbox::bind(&connections_path(&self.base, self.number))?;
        self.status.borrow_mut().takes_connections = true;
        Ok(inbox)
    }

    /// The inbox of the newest process that takes the clients of this one and connections with them. The status of the
    /// others is read now: one that is about to end must not be passed any.
    pub fn connection_receiver(&self) -> Option<PathBuf> {
        let status = self.status.borrow();
        let takes = |other: &Status| other.takes_connections && !other.stops && status.is_followed_by(other);
        let others = self.numbered_others().filter(|(_, other)| takes(other));
        let (number, _) = others.max_by_key(|(_, other)| other.started)?;
        Some(connections_path(&self.base, number))
    }

    pub fn stops(&self) -> io::Result<()> {
        self.status.borrow_mut().stops = true;
        self.publish()
    }

    /// Whether an older process that is to end still lives.
    pub fn outlived(&self) -> bool {
        !self.others().iter().any(|o| o.stops && o.started < self.started())
    }

    /// Whether another process that is to end still lives.
    pub fn another_stops(&self) -> bool {
        self.others().iter().any(|other| other.stops)
    }

    /// Whether this is the one process that may act for the dispatcher alone. The first one is, and the next when that has
    /// ended, however it did.
    pub fn sole(&self) -> bool {
        let mut sole = self.sole.borrow_mut();
        if sole.is_none() {
            *sole = locked(&self.base.with_added_extension("sole")).ok().flatten();
        }
        sole.is_some()
    }

    fn publish(&self) -> io::Result<()> {
        let text = serde_json::to_string(&*self.status.borrow())?;
        replace(&status_path(&self.base, self.number), &text)
    }

    /// The words before, where others have said some since.
    pub fn news(&self) -> Result<Option<Words>> {
        let path = self.words_path();
        let found = match fs::metadata(&path) {
            Ok(found) => Some(mark(&found)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error).with_context(|| format!("cannot read {}", path.display())),
        };
        if found.is_none() || found == self.file.get() {
            return Ok(None);
        }
        self.file.set(found);
        let text = fs::read_to_string(&path);
        let read = text.map_err(Into::into).and_then(|t| Words::read(&t, &self.name));
        let read = read.with_context(|| format!("{} is not used", path.display()))?;
        self.applied(read).map(Some)
    }

    /// Takes these words for applied; gives those before.
    fn applied(&self, words: Words) -> Result<Words> {
        self.status.borrow_mut().applied = words.version;
        let before = self.words.replace(words);
        self.publish()?;
        Ok(before)
    }

    /// Adds to the words of all, and gives those that this process held before; nothing where another process is just
    /// adding to them.
    pub fn say(&self, change: impl FnOnce(&mut Words)) -> Result<Option<Words>> {
        let Some(_lock) = locked(&self.base.with_added_extension("lock"))? else { return Ok(None) };
        let before = self.words();
        // What cannot be used is written anew, by what this process holds.
        let _ = self.news();
        let mut words = self.words();
        change(&mut words);
        words.version += 1;
        replace(&self.words_path(), &words.text(&self.name))?;
        self.file.set(found(&self.words_path()));
        self.applied(words)?;
        Ok(Some(before))
    }

    /// Whether every other process that lives has applied the words of this one.
    pub fn agreed(&self) -> bool {
        let version = self.words.borrow().version;
        self.others().iter().all(|o| o.applied >= version)
    }

    /// Leaves what this process has learnt by now for those that begin, and where others of its fleet are.
    pub fn teach(&self, what: impl Serialize, fleet: Vec<SocketAddr>) -> Result<()> {
        let text = serde_json::to_string(&Learnt { name: self.name.clone(), what, fleet })?;
        Ok(replace(&learnt_path(&self.base), &text)?)
    }

    /// What was left since this process began; nothing yet, or an error where it cannot be used.
    pub fn taught<T: DeserializeOwned>(&self) -> Result<Option<(T, Vec<SocketAddr>)>> {
        let path = learnt_path(&self.base);
        let found = found(&path);
        if found.is_none() || found == self.left {
            return Ok(None);
        }
        let text = fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
        let read = serde_json::from_str::<Learnt<T>>(&text);
        let learnt = read.with_context(|| format!("{} is not used", path.display()))?;
        Ok(Some(learnt).filter(|l| l.name == self.name).map(|l| (l.what, l.fleet)))
    }

    fn words_path(&self) -> PathBuf {
        self.base.with_added_extension("words")
    }
}

fn lock_path(base: &Path, number: usize) -> PathBuf {
    base.with_added_extension(format!("{number}.lock"))
}

fn status_path(base: &Path, number: usize) -> PathBuf {
    base.with_added_extension(format!("{number}.status"))
}

fn inbox_path(base: &Path, number: usize) -> PathBuf {
    base.with_added_extension(format!("{number}.sock"))
}

fn connections_path(base: &Path, number: usize) -> PathBuf {
    base.with_added_extension(format!("{number}.connections.sock"))
}

fn learnt_path(base: &Path) -> PathBuf {
    base.with_added_extension("learnt")
}

/// Replaces a file as a whole: whoever reads it finds the old text or the new one.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_added_extension("new");
    fs::write(&new, text)?;
    fs::rename(&new, path)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn take(dir: &Path, started: Time) -> Place {
        let (place, odd) = Place::take(dir, "n/0", started).unwrap();
        assert!(odd.is_none(), "{odd:?}");
        place
    }

    #[test]
    fn each_sees_the_others_as_long_as_they_live() {
        let dir = tempfile::tempdir().unwrap();
        let old = take(dir.path(), 1);
        assert!(old.others().is_empty());
        let new = take(dir.path(), 2);
        new.serves(None).unwrap();
        assert_eq!(old.others(), [Status { serves: true, ..Status::begun(2) }]);
        assert_eq!(new.others(), [Status::begun(1)]);
        assert!(new.outlived(), "one that serves on is not waited for");
        old.stops().unwrap();
        assert!(!new.outlived() && old.outlived());
        drop(old);
        assert!(new.others().is_empty() && new.outlived());
        // A place that is free is taken again, whatever status was left there.
        let next = take(dir.path(), 3);
        assert_eq!(new.others(), [Status::begun(3)]);
        drop(next);
    }

    #[test]
    fn given_a_process_that_stops_when_an_older_one_serves_on_then_that_one_takes_its_clients() {
        let dir = tempfile::tempdir().unwrap();
        let (old, new) = (take(dir.path(), 1), take(dir.path(), 2));
        old.serves(None).unwrap();
        new.serves(None).unwrap();
        assert_eq!(new.follower(&new.others()), Follower::Absent);
        new.stops().unwrap();
        assert_eq!(new.follower(&new.others()), Follower::OwnSocket);
        old.stops().unwrap();
        assert_eq!(new.follower(&new.others()), Follower::Absent, "both are to end");
        assert_eq!(old.follower(&old.others()), Follower::OwnSocket, "the newer one takes what still comes");
    }

    #[test]
    fn given_processes_that_take_connections_when_one_stops_then_the_newest_that_goes_on_is_passed_its_own() {
        let dir = tempfile::tempdir().unwrap();
        let (old, middle, new) = (take(dir.path(), 1), take(dir.path(), 2), take(dir.path(), 3));
        old.stops().unwrap();
        middle.serves(None).unwrap();
        assert_eq!(old.connection_receiver(), None, "it takes none");
        let inboxes = [&middle, &new].map(|place| place.connection_inbox().unwrap());
        let arrived = || inboxes.iter().map(|inbox| !inbox.is_empty()).collect::<Vec<_>>();
        assert_eq!(old.connection_receiver(), None, "nobody has been told yet");
        middle.serves(None).unwrap();
        new.serves(None).unwrap();
        new.stops().unwrap();
        let passes = |place: &Place| {
            let inbox = place.connection_receiver()?;
            pass_descriptor(File::open(dir.path()).unwrap(), &inbox).ok()
        };
        assert!(passes(&old).is_some());
        assert_eq!(arrived(), [true, false], "the newer one is to end");
        let newest = take(dir.path(), 4);
        let inbox = newest.connection_inbox().unwrap();
        newest.serves(None).unwrap();
        assert!(passes(&old).is_some());
        assert!(!inbox.is_empty() && arrived() == [true, false]);
        assert!(passes(&middle).is_some(), "a newer one serves");
        assert!(passes(&newest).is_none(), "it does not end itself, and is the newest");
    }

    #[test]
    fn no_more_than_there_are_places() {
        let dir = tempfile::tempdir().unwrap();
        let all: Vec<Place> = (0..PLACES).map(|n| take(dir.path(), n as Time)).collect();
        assert!(Place::take(dir.path(), "n/0", 9).is_err());
        // Another dispatcher has places of its own.
        assert!(Place::take(dir.path(), "n0", 9).is_ok());
        drop(all);
    }

    #[test]
    fn words_said_at_either_reach_both_and_outlive_them() {
        let dir = tempfile::tempdir().unwrap();
        let (old, new) = (take(dir.path(), 1), take(dir.path(), 2));
        assert!(old.say(|w| w.hand("a", true)).unwrap().is_some());
        assert!(!old.agreed());
        assert_eq!(new.news().unwrap(), Some(Words::default()));
        assert!(old.agreed() && new.words().out.contains("a"));
        assert_eq!(new.news().unwrap(), None, "it is read once");
        // Said at the one before it has read what the other said: both hold.
        old.say(|w| w.hand("b", true)).unwrap();
        let before = new.say(|w| w.emptied = true).unwrap().unwrap();
        assert_eq!(before.changes(&new.words()).collect::<Vec<_>>(), [("b", true)]);
        assert!(!new.agreed());
        old.news().unwrap().unwrap();
        assert!(new.agreed() && old.words() == new.words() && old.words().emptied);
        drop((old, new));
        assert_eq!(take(dir.path(), 3).words().out.len(), 2);
    }

    #[test]
    fn files_that_are_torn_or_foreign_are_not_read_and_written_anew() {
        for odd in ["", "{\"form\":1,\"name\":\"n", "\0", &Words::default().text("another")] {
            let dir = tempfile::tempdir().unwrap();
            fs::write(dir.path().join("rainlug-n%2F0.words"), odd).unwrap();
            fs::write(dir.path().join("rainlug-n%2F0.1.status"), odd).unwrap();
            let (place, told) = Place::take(dir.path(), "n/0", 1).unwrap();
            assert!(told.unwrap().to_string().contains("rainlug-n%2F0.words is not used"));
            assert_eq!(place.words(), Words::default());
            place.say(|w| w.hand("a", true)).unwrap();
            drop(place);
            assert!(take(dir.path(), 2).words().out.contains("a"));
        }
    }

    #[test]
    fn one_process_is_sole_and_the_next_when_it_has_ended() {
        let dir = tempfile::tempdir().unwrap();
        let (old, new) = (take(dir.path(), 10), take(dir.path(), 20));
        assert!(old.sole() && !new.sole() && old.sole());
        drop(old);
        assert!(new.sole());
    }

    #[test]
    fn what_was_learnt_reaches_who_begins_after_and_is_not_read_later() {
        let dir = tempfile::tempdir().unwrap();
        let old = take(dir.path(), 10);
        let at: Vec<SocketAddr> = vec!["127.0.0.1:9".parse().unwrap()];
        old.teach([1, 2], at.clone()).unwrap();
        let new = take(dir.path(), 20);
        assert_eq!(new.taught::<Vec<u32>>().unwrap(), None, "left for another one before");
        old.teach([1, 2, 3], at.clone()).unwrap();
        assert_eq!(new.taught::<Vec<u32>>().unwrap(), Some((vec![1, 2, 3], at)));
        // By one that knows of no fleet.
        fs::write(learnt_path(&new.base), "{\"name\":\"n/0\",\"what\":[4]}").unwrap();
        assert_eq!(new.taught::<Vec<u32>>().unwrap(), Some((vec![4], Vec::new())));
        // Of another form, or torn.
        assert!(new.taught::<Vec<String>>().is_err());
        fs::write(learnt_path(&new.base), "{\"name\":\"n/0\",\"wh").unwrap();
        assert!(new.taught::<Vec<u32>>().unwrap_err().to_string().contains("is not used"));
    }

    #[test]
    fn a_directory_that_is_not_there_is_one_message() {
        let told = Place::take(Path::new("/nowhere/at all"), "n0", 1).err().unwrap();
        assert!(told.to_string().contains("/nowhere/at all"), "{told:#}");
    }
}
