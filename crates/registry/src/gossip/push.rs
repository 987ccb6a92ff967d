//! News is pushed: to some at once, passed on by them, and told again to who has not acknowledged it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rainlug::{SECOND, Time};
use rand::seq::IndexedRandom;

use super::entry::{EntryVersion, hash, mark};
use super::pending::{Pending, Subject};
use super::{Gossip, Outgoing, canonical, send};
use crate::Phase;
use crate::wire::{Ack, BUCKETS, Digest, DocumentVersion, Message, Publisher, Update};

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

/// Workers' news of which it is known who has it, and for how long.
const PENDING: usize = 256;
const PENDING_FOR: Time = 60 * SECOND;

impl Gossip {
    /// Tells others what was first known here.
    pub(super) fn tell(&mut self, now: Time, kinds: &[u8], ids: &[String], out: &mut dyn Outgoing) {
        let direct: Vec<_> = self.peers.choose_multiple(&mut self.rng, DIRECT).copied().collect();
        let new = |id: &str, mark: EntryVersion| Pending {
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
            self.pending.insert(Subject::Document(*kind), new("", mark(0, Phase::Ready)));
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
        self.send_news(now, &direct, HOPS, Publisher::Sender, kinds, ids, out);
    }

    /// Tells again who has not acknowledged. Of texts it is only said that they are there: who lacks them answers.
    pub(super) fn tell_again(&mut self, now: Time, out: &mut dyn Outgoing) {
        let mut workers = BTreeMap::<SocketAddr, (bool, Vec<String>)>::new();
        let mut texts = BTreeSet::new();
        let Self { pending, peers, versions, texts: mine, rng, .. } = self;
        for (subject, news) in pending.iter_mut().filter(|(_, news)| news.again <= now && !news.done) {
            let has = |peer: &SocketAddr| match subject {
                Subject::Document(kind) => {
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
            again.extend(rest.choose_multiple(rng, if first { FIRST_REST } else { REST }));
            for peer in again {
                match subject {
                    Subject::Document(_) => {
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
            self.send_news(now, &[peer], hops, Publisher::Sender, &[], &ids, out);
        }
        if !texts.is_empty() {
            let digest = Digest { ask: 1, texts: self.text_versions(), buckets: [0; BUCKETS] };
            let peers: Vec<_> = texts.into_iter().collect();
            send(&peers, &Message::Digest(digest), out);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one message's parts")]
    pub(super) fn send_news(
        &self,
        now: Time,
        to: &[SocketAddr],
        hops: u8,
        publisher: Publisher,
        kinds: &[u8],
        ids: &[String],
        out: &mut dyn Outgoing,
    ) {
        let texts: Vec<_> = kinds.iter().filter_map(|kind| self.whole_text(*kind)).collect();
        let workers: Vec<_> =
            ids.iter().filter_map(|id| self.workers.get(id)).map(|entry| entry.told(now)).collect();
        let nothing = texts.is_empty() && workers.is_empty();
        if !to.is_empty() && !nothing {
            send(to, &Message::Update(Update { hops, publisher, texts, workers }), out);
        }
    }

    pub(super) fn heard_news(&mut self, now: Time, from: SocketAddr, news: Update, out: &mut dyn Outgoing) {
        let publisher = match news.publisher {
            Publisher::Sender => Some(from),
            Publisher::Other(address) => Some(canonical(address.into())),
            Publisher::Nobody => None,
        };
        let direct = news.publisher == Publisher::Sender;
        let (mut kinds, mut ids, mut retold, mut older) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (mut older_texts, mut ack) = (Vec::new(), Ack::default());
        for text in news.texts {
            let version = DocumentVersion { kind: text.kind, version: text.version };
            let new = self.take_text(text.kind, text.version, &text.text, out);
            self.note_text(from, version);
            let mine = self.texts.get(&text.kind).map_or(text.version, |(version, _)| *version);
            if new {
                kinds.push(text.kind);
            } else if mine > text.version {
                older_texts.push(text.kind);
            }
            if new || direct {
                ack.texts.push(DocumentVersion { kind: text.kind, version: mine });
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
        if let Some(publisher) =
            publisher.filter(|publisher| direct || self.peers.binary_search(publisher).is_ok())
            && !(ack.texts.is_empty() && ack.workers.is_empty())
        {
            send(&[publisher], &Message::Ack(ack), out);
        }
        self.pass_on(now, from, publisher, news.hops, &kinds, &ids, out);
        self.send_news(now, &[from], 0, Publisher::Nobody, &older_texts, &older, out);
        if !retold.is_empty() {
            self.tell(now, &[], &retold, out);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one message's parts")]
    pub(super) fn pass_on(
        &mut self,
        now: Time,
        from: SocketAddr,
        publisher: Option<SocketAddr>,
        hops: u8,
        kinds: &[u8],
        ids: &[String],
        out: &mut dyn Outgoing,
    ) {
        if hops == 0 || self.peers.len() <= DIRECT || (kinds.is_empty() && ids.is_empty()) {
            return;
        }
        let others: Vec<_> =
            self.peers.iter().copied().filter(|peer| *peer != from && Some(*peer) != publisher).collect();
        let some: Vec<_> = others.choose_multiple(&mut self.rng, FANOUT).copied().collect();
        let publisher = publisher.map_or(Publisher::Nobody, |publisher| Publisher::Other(publisher.into()));
        self.send_news(now, &some, hops.min(HOPS) - 1, publisher, kinds, ids, out);
    }
}
