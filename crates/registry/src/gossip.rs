//! What every process of the tier knows: workers, and newest versions of a few texts (the configuration, the groups of the
//! parts). Entries are merged by their versions, passed on to a few others when they are news, and gaps are found by comparing
//! digests. No order and no agreement is needed for that: what needs agreement is agreed on before it is entered here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::{SECOND, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::wire::{
    Ack, BUCKETS, Difference, Digest, Message, News, Teller, Text, TextVersion, WorkerEntry, WorkerMark,
    phase,
};
use crate::worker::MAX_NAME;
use crate::{Phase, Worker};

/// The text of the configuration in force; of the groups of parts.
pub const CONFIGURATION: u8 = 0;
pub const GROUPS: u8 = 1;

/// Where a gossip's effects go.
pub trait Outgoing {
    /// Bytes for another process: delivered whole and in order, or not at all.
    fn send(&mut self, to: SocketAddr, bytes: Bytes);
    /// A worker is new here or has changed.
    fn worker(&mut self, worker: &Worker);
    /// A text has a newer version here.
    fn text(&mut self, kind: u8, version: u64, text: &Bytes);
}

/// Up to this many peers are told directly; where there are more, they pass it on to `FANOUT` others each, `HOPS` times at most.
const DIRECT: usize = 12;
const FANOUT: usize = 3;
const HOPS: u8 = 8;
/// Who has not acknowledged is told again after this long, then after twice as long up to `AGAIN_MOST`, `TRIES` times in
/// about four seconds.
const AGAIN: Time = 150_000;
const AGAIN_MOST: Time = 600_000;
const TRIES: u8 = 8;
/// How many that were not told directly are told again at once, first and later.
const FIRST_REST: usize = 32;
const REST: usize = 64;
/// Others that everything is compared with after a cut.
const CATCH_UP: usize = 4;
/// News found by a digest is passed on where it is no more than this, this many times.
const FOUND: usize = 32;
const FOUND_HOPS: u8 = 2;
/// Workers' news of which it is known who has it, and for how long.
const PENDING: usize = 256;
const PENDING_FOR: Time = 60 * SECOND;
/// Before it is forgotten, an entry isn't told to others any more, so that it doesn't come back from them.
const HUSH: Time = 15 * SECOND;

/// For how long an entry is listed as a worker, and for how long it is remembered, by phase.
fn spans(phase: Phase) -> Option<(Time, Time)> {
    match phase {
        Phase::Ready => None,
        Phase::Silent => Some((60 * SECOND, 120 * SECOND)),
        Phase::Draining => Some((600 * SECOND, 660 * SECOND)),
        Phase::Gone => Some((0, 60 * SECOND)),
    }
}

/// What of a worker is compared: the greater one is kept. Beats that change nothing don't change it.
type Mark = (bool, u64, Phase);

fn mark(told_seq: u64, phase: Phase) -> Mark {
    (phase == Phase::Gone, told_seq, phase)
}

#[derive(Debug)]
struct Entry {
    worker: Worker,
    /// `call_seq` at the last change.
    told_seq: u64,
    /// When the phase began, as far as known.
    since: Time,
    cold_until: Time,
    /// Not listed any more.
    buried: bool,
}

impl Entry {
    fn mark(&self) -> Mark {
        mark(self.told_seq, self.worker.phase)
    }

    /// Which of two tales is newer.
    fn evidence(&self) -> Mark {
        mark(self.worker.call_seq, self.worker.phase)
    }

    fn alike(&self, other: &Worker) -> bool {
        let mine = &self.worker;
        mine.phase == other.phase
            && mine.address == other.address
            && mine.service == other.service
            && mine.slots == other.slots
            && mine.zone == other.zone
    }

    /// Of a tombstone: the worker's name and place are those that were known.
    fn complete(&mut self, known: &Worker) {
        let (phase, call_seq) = (self.worker.phase, self.worker.call_seq);
        self.worker = Worker { phase, call_seq, ..known.clone() };
    }

    fn shown(&self, now: Time) -> bool {
        spans(self.worker.phase).is_none_or(|(_, whole)| now - self.since < whole - HUSH)
    }

    fn told(&self, now: Time) -> WorkerEntry {
        let ms = |time: Time| u32::try_from(time.max(0) / 1_000).unwrap_or(u32::MAX);
        WorkerEntry {
            told_seq: self.told_seq,
            call_seq: self.worker.call_seq,
            phase: self.worker.phase as u8,
            age_ms: ms(now - self.since),
            slots: self.worker.slots,
            cold_left_ms: ms(self.cold_until - now),
            address: self.worker.address.into(),
            id: self.worker.id.clone(),
            service: self.worker.service.clone(),
            zone: self.worker.zone.clone(),
        }
    }
}

/// What came of merging a tale.
#[derive(Clone, Copy, Debug, Default)]
struct Merged {
    /// The mark here is now greater.
    news: bool,
    /// It came out as neither of the two tales was told.
    retold: bool,
    /// What stands here is newer than what was told.
    older: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Text(u8),
    /// Hash of the id.
    Worker(u64),
}

/// News that was first told here.
#[derive(Debug)]
struct Pending {
    /// Of a worker: its id, what was told, and who has it.
    id: String,
    mark: Mark,
    have: BTreeSet<SocketAddr>,
    direct: Vec<SocketAddr>,
    tries: u8,
    again: Time,
    until: Time,
    done: bool,
}

/// One process's copy.
pub struct Gossip {
    slow: Time,
    chance: ChaCha8Rng,
    peers: Vec<SocketAddr>,
    workers: BTreeMap<String, Entry>,
    texts: BTreeMap<u8, (u64, Bytes)>,
    /// The newest version of a text that a peer is known to have.
    versions: BTreeMap<(u8, SocketAddr), u64>,
    pending: BTreeMap<Subject, Pending>,
    next_digest: Time,
    next_sweep: Time,
    garbage: u64,
}

impl Gossip {
    /// `slow` is how long a gap may stay before digests are compared with one other, in microseconds.
    pub fn new(slow: Time, seed: u64, now: Time) -> Self {
        let mut new = Self {
            slow: slow.max(1_000),
            chance: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            workers: BTreeMap::new(),
            texts: BTreeMap::new(),
            versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_digest: now,
            next_sweep: Time::MAX,
            garbage: 0,
        };
        new.plan_digest(now);
        new
    }

    /// The other processes that live now, by membership (addresses of their peer ports).
    pub fn peers(&mut self, now: Time, peers: &[SocketAddr]) {
        let lonely = self.peers.is_empty();
        self.peers = peers.iter().copied().map(canonical).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        let Self { peers, versions, pending, .. } = self;
        versions.retain(|(_, peer), _| peers.binary_search(peer).is_ok());
        for news in pending.values_mut() {
            news.have.retain(|peer| peers.binary_search(peer).is_ok());
        }
        if lonely && !self.peers.is_empty() {
            self.next_digest = now;
        }
    }

    /// What a worker said here. True where it was news. It is passed on at once. Beats that change nothing but the number of the
    /// call are no news. Refused where a name is longer than 256 bytes.
    pub fn worker(&mut self, now: Time, mut worker: Worker, out: &mut dyn Outgoing) -> bool {
        if [&worker.id, &worker.service, &worker.zone].iter().any(|name| name.len() > MAX_NAME) {
            return false;
        }
        worker.address = canonical(worker.address);
        let id = worker.id.clone();
        let told_seq = worker.call_seq;
        let merged = self.merge(now, entry(now, worker, told_seq, 0), false, out);
        if merged.news {
            self.tell(now, &[], &[id], out);
        }
        merged.news
    }

    /// A text that is agreed on, at a version. True where it was newer than what stood here; it is passed on at once.
    pub fn text(&mut self, now: Time, kind: u8, version: u64, text: Bytes, out: &mut dyn Outgoing) -> bool {
        let news = self.take_text(kind, version, &text, out);
        if news {
            self.tell(now, &[kind], &[], out);
        }
        news
    }

    pub fn get(&self, kind: u8) -> Option<(u64, &Bytes)> {
        self.texts.get(&kind).map(|(version, text)| (*version, text))
    }

    /// The workers by id, without those that said goodbye or have been silent for a minute.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|entry| !entry.buried).map(|entry| &entry.worker)
    }

    /// Whether all peers that live have said that they have this news (or something newer); how many have, of how many.
    pub fn spread(&self, kind: u8, version: u64) -> (usize, usize) {
        let has = |peer: &&SocketAddr| self.versions.get(&(kind, **peer)).is_some_and(|v| *v >= version);
        (self.peers.iter().filter(has).count(), self.peers.len())
    }

    /// The same of a worker's last news that was first told here, for a minute from then; none have other news.
    pub fn worker_spread(&self, id: &str) -> (usize, usize) {
        let all = self.peers.len();
        match self.pending.get(&Subject::Worker(hash(id))) {
            Some(news) if news.done => (all, all),
            Some(news) => (news.have.len(), all),
            None => (0, all),
        }
    }

    /// Whether a worker's last news was first told here and not all peers are known to have it.
    pub fn is_worker_spreading(&self, id: &str) -> bool {
        self.pending.get(&Subject::Worker(hash(id))).is_some_and(|news| !news.done)
    }

    /// Messages, or entries in them, that could not be read.
    pub fn garbage(&self) -> u64 {
        self.garbage
    }

    /// Bytes from another process's gossip. Garbage is counted and dropped.
    pub fn heard(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut dyn Outgoing) {
        let from = canonical(from);
        match Message::read(bytes) {
            None => self.garbage += 1,
            Some(Message::News(news)) => self.heard_news(now, from, news, out),
            Some(Message::Ack(ack)) => self.heard_ack(from, &ack),
            Some(Message::Digest(digest)) => self.heard_digest(now, from, &digest, out),
            Some(Message::Difference(difference)) => self.heard_difference(now, from, difference, out),
        }
    }

    /// Compares everything with several others at once: after a cut, a freeze or a start.
    pub fn catch_up(&mut self, now: Time, out: &mut dyn Outgoing) {
        let some: Vec<_> = self.peers.choose_multiple(&mut self.chance, CATCH_UP).copied().collect();
        self.send_digest(now, &some, out);
    }

    /// When `due` wants to be called.
    pub fn next(&self) -> Time {
        let pending = self.pending.values().map(|news| news.again.min(news.until));
        pending.fold(self.next_digest.min(self.next_sweep), Time::min)
    }

    pub fn due(&mut self, now: Time, out: &mut dyn Outgoing) {
        if self.next_sweep <= now {
            self.sweep(now, out);
        }
        self.pending.retain(|_, news| news.until > now);
        self.tell_again(now, out);
        if self.next_digest <= now {
            self.plan_digest(now);
            let one: Vec<_> = self.peers.choose(&mut self.chance).copied().into_iter().collect();
            self.send_digest(now, &one, out);
        }
    }

    fn plan_digest(&mut self, now: Time) {
        self.next_digest = now + self.slow * self.chance.random_range(800..=1_200) / 1_000;
    }

    /// Drops who is to be listed no more, and forgets.
    fn sweep(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut next = Time::MAX;
        self.workers.retain(|_, entry| {
            let Some((listed, whole)) = spans(entry.worker.phase) else { return true };
            if now - entry.since >= whole {
                return false;
            }
            if !entry.buried && now - entry.since >= listed {
                entry.buried = true;
                out.worker(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
            }
            next = next.min(entry.since + if entry.buried { whole } else { listed });
            true
        });
        self.next_sweep = next;
    }

    fn merge(&mut self, now: Time, mut theirs: Entry, remote: bool, out: &mut dyn Outgoing) -> Merged {
        let mut merged = Merged::default();
        let Some(mine) = self.workers.get_mut(&theirs.worker.id) else {
            if theirs.shown(now) {
                merged.news = true;
                self.keep(now, theirs, out);
            }
            return merged;
        };
        if theirs.worker.is_tombstone() {
            theirs.complete(&mine.worker);
        }
        let ahead = theirs.mark() > mine.mark();
        if mine.alike(&theirs.worker) {
            if remote && ahead {
                mine.told_seq = theirs.told_seq;
                mine.since = theirs.since;
                merged.news = true;
            }
            if theirs.worker.call_seq > mine.worker.call_seq {
                mine.worker.call_seq = theirs.worker.call_seq;
                mine.worker.cold_left_ms = theirs.worker.cold_left_ms;
                mine.cold_until = theirs.cold_until;
            }
            merged.older = mine.mark() > theirs.mark();
        } else if theirs.evidence() > mine.evidence() {
            let told_seq = if ahead { theirs.told_seq } else { theirs.worker.call_seq };
            merged = Merged { news: true, retold: told_seq != theirs.told_seq, older: false };
            self.keep(now, Entry { told_seq, ..theirs }, out);
        } else {
            if remote && ahead {
                // They have heard a tale that is newer than the last change here, but not what was said here since.
                mine.told_seq = mine.worker.call_seq;
                merged = Merged { news: true, retold: true, ..merged };
            }
            merged.older = mine.mark() > theirs.mark();
        }
        merged
    }

    fn keep(&mut self, now: Time, mut entry: Entry, out: &mut dyn Outgoing) {
        if let Some((listed, whole)) = spans(entry.worker.phase) {
            entry.buried = now - entry.since >= listed;
            self.next_sweep = self.next_sweep.min(entry.since + if entry.buried { whole } else { listed });
        }
        if entry.buried {
            out.worker(&Worker { phase: Phase::Gone, ..entry.worker.clone() });
        } else {
            out.worker(&entry.worker);
        }
        self.workers.insert(entry.worker.id.clone(), entry);
    }

    fn take_text(&mut self, kind: u8, version: u64, text: &Bytes, out: &mut dyn Outgoing) -> bool {
        let news = self.texts.get(&kind).is_none_or(|(mine, _)| *mine < version);
        if news {
            self.texts.insert(kind, (version, text.clone()));
            out.text(kind, version, text);
        }
        news
    }

    /// Tells others what was first known here.
    fn tell(&mut self, now: Time, kinds: &[u8], ids: &[String], out: &mut dyn Outgoing) {
        let direct: Vec<_> = self.peers.choose_multiple(&mut self.chance, DIRECT).copied().collect();
        let new = |id: &str, mark: Mark| Pending {
            id: id.to_owned(),
            mark,
            have: BTreeSet::new(),
            direct: direct.clone(),
            tries: 0,
            again: now + AGAIN,
            until: now + PENDING_FOR,
            done: false,
        };
        for kind in kinds {
            self.pending.insert(Subject::Text(*kind), new("", mark(0, Phase::Ready)));
        }
        for id in ids {
            if let Some(entry) = self.workers.get(id) {
                self.pending.insert(Subject::Worker(hash(id)), new(id, entry.mark()));
            }
        }
        while self.pending.len() > PENDING {
            let Some(oldest) = self.pending.iter().min_by_key(|(_, news)| news.until).map(|(s, _)| *s) else {
                break;
            };
            self.pending.remove(&oldest);
        }
        self.send_news(now, &direct, HOPS, Teller::Sender, kinds, ids, out);
    }

    /// Tells again who has not acknowledged. Of texts it is only said that they are there: who lacks them answers.
    fn tell_again(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut workers = BTreeMap::<SocketAddr, (bool, Vec<String>)>::new();
        let mut texts = BTreeSet::new();
        let Self { pending, peers, versions, texts: mine, chance, .. } = self;
        for (subject, news) in pending.iter_mut().filter(|(_, news)| news.again <= now && !news.done) {
            let has = |peer: &SocketAddr| match subject {
                Subject::Text(kind) => {
                    let version = mine.get(kind).map_or(0, |(version, _)| *version);
                    versions.get(&(*kind, *peer)).is_some_and(|v| *v >= version)
                }
                Subject::Worker(_) => news.have.contains(peer),
            };
            let missing: Vec<_> = peers.iter().copied().filter(|peer| !has(peer)).collect();
            if missing.is_empty() && !peers.is_empty() {
                news.settle();
                continue;
            }
            let first = news.tries == 0;
            let told = |peer: &SocketAddr| first && news.direct.contains(peer);
            let (mut again, rest): (Vec<_>, Vec<_>) = missing.into_iter().partition(told);
            again.extend(rest.choose_multiple(chance, if first { FIRST_REST } else { REST }));
            for peer in again {
                match subject {
                    Subject::Text(_) => {
                        texts.insert(peer);
                    }
                    Subject::Worker(_) => {
                        let (pass_on, ids) = workers.entry(peer).or_default();
                        *pass_on |= first;
                        ids.push(news.id.clone());
                    }
                }
            }
            news.tries += 1;
            news.again =
                if news.tries < TRIES { now + (AGAIN << news.tries).min(AGAIN_MOST) } else { Time::MAX };
        }
        for (peer, (pass_on, ids)) in workers {
            let hops = if pass_on { HOPS } else { 0 };
            self.send_news(now, &[peer], hops, Teller::Sender, &[], &ids, out);
        }
        if !texts.is_empty() {
            let digest = Digest { ask: 1, texts: self.text_versions(), buckets: [0; BUCKETS] };
            let peers: Vec<_> = texts.into_iter().collect();
            send(&peers, &Message::Digest(digest), out);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one message's parts")]
    fn send_news(
        &self,
        now: Time,
        to: &[SocketAddr],
        hops: u8,
        teller: Teller,
        kinds: &[u8],
        ids: &[String],
        out: &mut dyn Outgoing,
    ) {
        let texts: Vec<_> = kinds.iter().filter_map(|kind| self.whole_text(*kind)).collect();
        let workers: Vec<_> =
            ids.iter().filter_map(|id| self.workers.get(id)).map(|entry| entry.told(now)).collect();
        let nothing = texts.is_empty() && workers.is_empty();
        if !to.is_empty() && !nothing {
            send(to, &Message::News(News { hops, teller, texts, workers }), out);
        }
    }

    fn send_digest(&self, now: Time, to: &[SocketAddr], out: &mut dyn Outgoing) {
        if !to.is_empty() {
            let digest = Digest { ask: 0, texts: self.text_versions(), buckets: self.buckets(now) };
            send(to, &Message::Digest(digest), out);
        }
    }

    fn whole_text(&self, kind: u8) -> Option<Text> {
        let (version, text) = self.texts.get(&kind)?;
        Some(Text { kind, version: *version, text: text.clone() })
    }

    fn text_versions(&self) -> Vec<TextVersion> {
        self.texts.iter().map(|(kind, (version, _))| TextVersion { kind: *kind, version: *version }).collect()
    }

    /// The texts that are newer here than those versions.
    fn newer_texts(&self, theirs: &[TextVersion]) -> Vec<Text> {
        let newer =
            |kind: &u8, version: u64| theirs.iter().filter(|t| t.kind == *kind).all(|t| t.version < version);
        let kinds = self.texts.iter().filter(|(kind, (version, _))| newer(kind, *version));
        kinds.filter_map(|(kind, _)| self.whole_text(*kind)).collect()
    }

    fn buckets(&self, now: Time) -> [u64; BUCKETS] {
        let mut hashers: [Xxh3; BUCKETS] = std::array::from_fn(|_| Xxh3::new());
        for (id, entry) in self.workers.iter().filter(|(_, entry)| entry.shown(now)) {
            if let Some(hasher) = hashers.get_mut(bucket(hash(id))) {
                hasher.update(id.as_bytes());
                hasher.update(&[0xff, entry.worker.phase as u8]);
                hasher.update(&entry.told_seq.to_le_bytes());
            }
        }
        hashers.map(|hasher| hasher.digest())
    }

    /// A peer has a version of a text.
    fn note_text(&mut self, from: SocketAddr, text: TextVersion) {
        if self.peers.binary_search(&from).is_ok() && self.texts.contains_key(&text.kind) {
            let known = self.versions.entry((text.kind, from)).or_default();
            *known = text.version.max(*known);
        }
    }

    /// A peer has a tale of a worker.
    fn note_worker(&mut self, from: SocketAddr, id: u64, mark: Mark) {
        if let Some(news) = self.pending.get_mut(&Subject::Worker(id))
            && !news.done
            && mark >= news.mark
            && self.peers.binary_search(&from).is_ok()
        {
            news.have.insert(from);
            if news.have.len() == self.peers.len() {
                news.settle();
            }
        }
    }

    fn heard_news(&mut self, now: Time, from: SocketAddr, news: News, out: &mut dyn Outgoing) {
        let teller = match news.teller {
            Teller::Sender => Some(from),
            Teller::Other(address) => Some(canonical(address.into())),
            Teller::Nobody => None,
        };
        let direct = news.teller == Teller::Sender;
        let (mut kinds, mut ids, mut retold, mut older) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (mut older_texts, mut ack) = (Vec::new(), Ack::default());
        for text in news.texts {
            let version = TextVersion { kind: text.kind, version: text.version };
            let new = self.take_text(text.kind, text.version, &text.text, out);
            self.note_text(from, version);
            let mine = self.texts.get(&text.kind).map_or(text.version, |(version, _)| *version);
            if new {
                kinds.push(text.kind);
            } else if mine > text.version {
                older_texts.push(text.kind);
            }
            if new || direct {
                ack.texts.push(TextVersion { kind: text.kind, version: mine });
            }
        }
        for (id, merged) in self.merge_all(now, from, news.workers, out) {
            if merged.news || direct {
                ack.workers.extend(self.worker_mark(&id));
            }
            if merged.retold {
                retold.push(id);
            } else if merged.news {
                ids.push(id);
            } else if merged.older {
                older.push(id);
            }
        }
        if let Some(teller) = teller.filter(|teller| direct || self.peers.binary_search(teller).is_ok())
            && !(ack.texts.is_empty() && ack.workers.is_empty())
        {
            send(&[teller], &Message::Ack(ack), out);
        }
        self.pass_on(now, from, teller, news.hops, &kinds, &ids, out);
        self.send_news(now, &[from], 0, Teller::Nobody, &older_texts, &older, out);
        if !retold.is_empty() {
            self.tell(now, &[], &retold, out);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one message's parts")]
    fn pass_on(
        &mut self,
        now: Time,
        from: SocketAddr,
        teller: Option<SocketAddr>,
        hops: u8,
        kinds: &[u8],
        ids: &[String],
        out: &mut dyn Outgoing,
    ) {
        if hops == 0 || self.peers.len() <= DIRECT || (kinds.is_empty() && ids.is_empty()) {
            return;
        }
        let others: Vec<_> =
            self.peers.iter().copied().filter(|peer| *peer != from && Some(*peer) != teller).collect();
        let some: Vec<_> = others.choose_multiple(&mut self.chance, FANOUT).copied().collect();
        let teller = teller.map_or(Teller::Nobody, |teller| Teller::Other(teller.into()));
        self.send_news(now, &some, hops.min(HOPS) - 1, teller, kinds, ids, out);
    }

    fn merge_all(
        &mut self,
        now: Time,
        from: SocketAddr,
        told: Vec<WorkerEntry>,
        out: &mut dyn Outgoing,
    ) -> Vec<(String, Merged)> {
        let mut all = Vec::new();
        for told in told {
            let (told_seq, age_ms) = (told.told_seq, told.age_ms);
            let Some(mut worker) = told.worker() else {
                self.garbage += 1;
                continue;
            };
            worker.call_seq = worker.call_seq.max(told_seq);
            self.note_worker(from, hash(&worker.id), mark(told_seq, worker.phase));
            let id = worker.id.clone();
            let merged = self.merge(now, entry(now, worker, told_seq, age_ms), true, out);
            all.push((id, merged));
        }
        all
    }

    fn worker_mark(&self, id: &str) -> Option<WorkerMark> {
        let entry = self.workers.get(id)?;
        Some(WorkerMark { id: hash(id), told_seq: entry.told_seq, phase: entry.worker.phase as u8 })
    }

    fn heard_ack(&mut self, from: SocketAddr, ack: &Ack) {
        for text in &ack.texts {
            self.note_text(from, *text);
        }
        for worker in &ack.workers {
            match phase(worker.phase) {
                Some(phase) => self.note_worker(from, worker.id, mark(worker.told_seq, phase)),
                None => self.garbage += 1,
            }
        }
    }

    fn heard_digest(&mut self, now: Time, from: SocketAddr, digest: &Digest, out: &mut dyn Outgoing) {
        for text in &digest.texts {
            self.note_text(from, *text);
        }
        let mut differ = 0_u16;
        if digest.buckets != [0; BUCKETS] {
            let mine = self.buckets(now);
            for (n, (mine, theirs)) in mine.iter().zip(&digest.buckets).enumerate() {
                differ |= u16::from(mine != theirs) << n;
            }
            let same = self.pending.iter().filter_map(|(subject, news)| match subject {
                Subject::Worker(id) if !news.done && differ >> bucket(*id) & 1 == 0 => Some((*id, news.mark)),
                _ => None,
            });
            let same: Vec<_> = same.collect();
            for (id, mark) in same {
                self.note_worker(from, id, mark);
            }
        }
        let texts = self.newer_texts(&digest.texts);
        let lack = digest
            .texts
            .iter()
            .any(|theirs| self.texts.get(&theirs.kind).is_none_or(|(version, _)| *version < theirs.version));
        if differ != 0 || lack || !texts.is_empty() {
            let workers = self.shown_in(now, differ).map(|entry| entry.told(now)).collect();
            let versions = self.text_versions();
            let reply = u8::from(differ != 0 || lack);
            let difference = Difference { reply, buckets: differ, versions, texts, workers };
            send(&[from], &Message::Difference(difference), out);
        } else if digest.ask != 0 {
            let ack = Ack { texts: self.text_versions(), workers: Vec::new() };
            send(&[from], &Message::Ack(ack), out);
        }
    }

    fn shown_in(&self, now: Time, buckets: u16) -> impl Iterator<Item = &Entry> {
        let within = move |id: &str| buckets >> bucket(hash(id)) & 1 == 1;
        self.workers.iter().filter(move |(id, entry)| within(id) && entry.shown(now)).map(|(_, entry)| entry)
    }

    fn heard_difference(
        &mut self,
        now: Time,
        from: SocketAddr,
        difference: Difference,
        out: &mut dyn Outgoing,
    ) {
        let Difference { reply, buckets, versions, texts, workers } = difference;
        let (mut kinds, mut ids, mut retold) = (Vec::new(), Vec::new(), Vec::new());
        for text in texts {
            if self.take_text(text.kind, text.version, &text.text, out) {
                kinds.push(text.kind);
            }
            self.note_text(from, TextVersion { kind: text.kind, version: text.version });
        }
        for version in &versions {
            self.note_text(from, *version);
        }
        let listed: BTreeMap<_, _> = workers
            .iter()
            .filter_map(|told| Some((told.id.clone(), mark(told.told_seq, phase(told.phase)?))))
            .collect();
        for (id, merged) in self.merge_all(now, from, workers, out) {
            if merged.retold {
                retold.push(id);
            } else if merged.news {
                ids.push(id);
            }
        }
        if reply != 0 {
            let lacking = |entry: &&Entry| listed.get(&entry.worker.id).is_none_or(|m| *m < entry.mark());
            let workers: Vec<_> =
                self.shown_in(now, buckets).filter(lacking).map(|entry| entry.told(now)).collect();
            let texts = self.newer_texts(&versions);
            if !(workers.is_empty() && texts.is_empty()) {
                let versions = self.text_versions();
                let difference = Difference { reply: 0, buckets: 0, versions, texts, workers };
                send(&[from], &Message::Difference(difference), out);
            }
        }
        if kinds.len() + ids.len() <= FOUND {
            self.pass_on(now, from, None, FOUND_HOPS, &kinds, &ids, out);
        }
        if !retold.is_empty() {
            self.tell(now, &[], &retold, out);
        }
    }
}

impl Pending {
    /// All have it.
    fn settle(&mut self) {
        self.done = true;
        self.again = Time::MAX;
        self.have.clear();
    }
}

fn entry(now: Time, worker: Worker, told_seq: u64, age_ms: u32) -> Entry {
    Entry {
        told_seq,
        since: now - Time::from(age_ms) * 1_000,
        cold_until: now + Time::from(worker.cold_left_ms) * 1_000,
        buried: false,
        worker,
    }
}

fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

fn bucket(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}

fn send(to: &[SocketAddr], message: &Message, out: &mut dyn Outgoing) {
    if let Some(bytes) = message.write() {
        for peer in to {
            out.send(*peer, bytes.clone());
        }
    }
}
