//! Anti-entropy: digests are compared, and what either side lacks is sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rainlug::Time;
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

use super::entry::{Entry, bucket, hash, mark};
use super::pending::Subject;
use super::{Gossip, Outgoing, send};
use crate::wire::{Ack, BUCKETS, Difference, Digest, Document, DocumentVersion, Message, phase};

/// News found by a digest is passed on where it is no more than this, this many times.
const FOUND: usize = 32;
const FOUND_HOPS: u8 = 2;

impl Gossip {
    pub(super) fn plan_digest(&mut self, now: Time) {
        self.next_digest = now + self.slow * self.rng.random_range(800..=1_200) / 1_000;
    }

    pub(super) fn send_digest(&self, now: Time, to: &[SocketAddr], out: &mut dyn Outgoing) {
        if !to.is_empty() {
            let digest = Digest { ask: 0, texts: self.text_versions(), buckets: self.buckets(now) };
            send(to, &Message::Digest(digest), out);
        }
    }

    pub(super) fn whole_text(&self, kind: u8) -> Option<Document> {
        let (version, text) = self.texts.get(&kind)?;
        Some(Document { kind, version: *version, text: text.clone() })
    }

    pub(super) fn text_versions(&self) -> Vec<DocumentVersion> {
        self.texts
            .iter()
            .map(|(kind, (version, _))| DocumentVersion { kind: *kind, version: *version })
            .collect()
    }

    /// The texts that are newer here than those versions.
    fn newer_texts(&self, theirs: &[DocumentVersion]) -> Vec<Document> {
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
                hasher.update(&entry.published_seq.to_le_bytes());
            }
        }
        hashers.map(|hasher| hasher.digest())
    }

    pub(super) fn heard_digest(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: &Digest,
        out: &mut dyn Outgoing,
    ) {
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

    pub(super) fn heard_difference(
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
            self.note_text(from, DocumentVersion { kind: text.kind, version: text.version });
        }
        for version in &versions {
            self.note_text(from, *version);
        }
        let listed: BTreeMap<_, _> = workers
            .iter()
            .filter_map(|told| Some((told.id.clone(), mark(told.published_seq, phase(told.phase)?))))
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
