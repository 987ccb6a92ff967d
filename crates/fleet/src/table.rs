//! What is known of the other processes, what of it is still to be told, and digests by which two views are compared.
//! Its size is bounded: of who is gone the oldest are forgotten but for their number, and then wholly.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use rainlug::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::Card;

/// Processes that may be alive at once; more are not taken in.
const MOST_LIVING: usize = 16_384;
/// Of those gone, so many are tried again; of older ones only the id is kept, so that old word of them is known as old.
const MOST_GONE: usize = 2_048;
const MOST_BURIED: usize = 16_384;

/// How a process stands in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    Alive,
    /// It has not answered, and has some time to speak up.
    Suspect,
    /// It did not speak up. It is tried again for good.
    Gone,
    /// It said itself that it ends.
    Left,
}

/// A process as a view has it.
#[derive(Clone, Debug)]
pub struct Process {
    pub card: Rc<Card>,
    pub standing: Standing,
    /// Since when it stands so, in the view's time.
    pub since: Time,
    /// SWIM's incarnation: higher is newer, and only the process itself raises it.
    pub life: u32,
    /// Who suspects it, the first one first; or who called it gone.
    pub by: Vec<u64>,
    /// When its time to speak up is over.
    pub until: Time,
    /// When it was last heard itself.
    heard: Time,
    news: Option<(u32, u64)>,
}

impl Process {
    /// Whether it counts as there.
    pub fn lives(&self) -> bool {
        self.standing <= Standing::Suspect
    }

    fn mark(&self) -> u64 {
        mark(&self.card, self.life)
    }

    /// One of which no more is known, for what the view is compared with.
    #[cfg(feature = "emulator")]
    pub(crate) fn stand_in(id: u64, at: SocketAddr, standing: Standing, since: Time) -> Self {
        let (name, zone) = (String::new(), String::new());
        let card = Card { id, name, zone, at, start: 0, edition: 0, figures: Vec::new() };
        let card = Rc::new(card);
        Process { card, standing, since, life: 0, by: Vec::new(), until: Time::MAX, heard: since, news: None }
    }
}

/// What a process adds to a digest. It is the same in every build: std's hasher promises that for one release only.
pub fn mark(card: &Card, life: u32) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&card.id.to_be_bytes());
    bytes[8..12].copy_from_slice(&life.to_be_bytes());
    bytes[12..].copy_from_slice(&card.edition.to_be_bytes());
    xxh3_64(&bytes)
}

#[derive(Default)]
pub struct Table {
    known: BTreeMap<u64, Process>,
    living: usize,
    /// Of all that live, so that equal views have equal digests.
    digest: u64,
    /// Who lives at an address, as last learnt.
    places: BTreeMap<SocketAddr, u64>,
    /// The living by a hash of their dispatcher's name.
    kin: BTreeSet<(u64, u64)>,
    gone: VecDeque<u64>,
    buried: VecDeque<u64>,
    lives: BTreeMap<u64, u32>,
    /// What is still to be told: least often told first, then in the order of its coming.
    news: BTreeSet<(u32, u64, u64)>,
    count: u64,
    suspects: BTreeSet<(Time, u64)>,
}

impl Table {
    pub fn get(&self, id: u64) -> Option<&Process> {
        self.known.get(&id)
    }

    pub fn all(&self) -> impl Iterator<Item = &Process> {
        self.known.values()
    }

    pub fn living(&self) -> usize {
        self.living
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn full(&self) -> bool {
        self.living >= MOST_LIVING
    }

    /// Who lives at an address.
    pub fn at(&self, place: SocketAddr) -> Option<u64> {
        self.places.get(&place).copied()
    }

    /// Another process of the same dispatcher that lives.
    pub fn beside(&self, card: &Card) -> Option<&Process> {
        let called = called(card);
        let mut all =
            self.kin.range((called, 0)..=(called, u64::MAX)).filter_map(|(_, id)| self.known.get(id));
        all.find(|p| p.card.id != card.id && p.card.name == card.name)
    }

    /// The last life of a process of which no more is known.
    pub fn buried(&self, id: u64) -> Option<u32> {
        self.lives.get(&id).copied()
    }

    /// Those that are tried again.
    pub fn gone(&self) -> &VecDeque<u64> {
        &self.gone
    }

    /// A process not known before, or a change of one: it is to be told.
    pub fn set(&mut self, card: Rc<Card>, life: u32, standing: Standing, since: Time) -> &mut Process {
        let id = card.id;
        let before = self.known.remove(&id);
        let mut process = Process {
            card,
            standing,
            since,
            life,
            by: Vec::new(),
            until: Time::MAX,
            heard: since,
            news: None,
        };
        if let Some(before) = before {
            self.leave(&before);
            process.heard = before.heard;
            process.news = before.news;
            if before.standing == standing {
                process.since = before.since;
            }
        } else if self.lives.remove(&id).is_some() {
            self.buried.retain(|b| *b != id);
        }
        self.enter(&process);
        self.known.insert(id, process);
        self.tell(id);
        self.forget();
        self.known.get_mut(&id).expect("it was put in above, and the newest gone is not forgotten")
    }

    /// It was heard itself.
    pub fn heard(&mut self, id: u64, now: Time) {
        self.known.get_mut(&id).into_iter().for_each(|p| p.heard = now);
    }

    /// The one alive that was heard last, but not `but`.
    pub fn last_heard(&self, but: u64) -> Option<&Process> {
        let others = self.known.values().filter(|p| p.standing == Standing::Alive && p.card.id != but);
        others.max_by_key(|p| p.heard)
    }

    /// A suspect's time is over at `until`.
    pub fn wait(&mut self, id: u64, until: Time) {
        // Time for one that is no suspect would never be over: nothing takes it back.
        let Some(process) = self.known.get_mut(&id).filter(|p| p.standing == Standing::Suspect) else {
            return;
        };
        self.suspects.remove(&(process.until, id));
        process.until = until;
        self.suspects.insert((until, id));
    }

    /// Another one suspects it.
    pub fn accused(&mut self, id: u64, by: u64) {
        if let Some(process) = self.known.get_mut(&id) {
            process.by.push(by);
        }
        self.tell(id);
    }

    /// The suspect whose time is over first.
    pub fn first(&self) -> Option<(Time, u64)> {
        self.suspects.first().copied()
    }

    /// All suspects have so much longer.
    pub fn longer(&mut self, by: Time) {
        for (until, id) in std::mem::take(&mut self.suspects) {
            if let Some(process) = self.known.get_mut(&id) {
                process.until = until + by;
                self.suspects.insert((process.until, id));
            }
        }
    }

    /// Whether anything is to be told.
    pub fn news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What is to be told next, in order.
    pub fn untold(&self) -> impl Iterator<Item = &Process> {
        self.news.iter().filter_map(|(_, _, id)| self.known.get(id))
    }

    /// These were told once more; what was told `most` times is told no longer.
    pub fn told(&mut self, ids: &[u64], most: u32) {
        for id in ids {
            let Some(process) = self.known.get_mut(id) else { continue };
            let Some((times, nth)) = process.news.take() else { continue };
            self.news.remove(&(times, nth, *id));
            if times + 1 < most {
                process.news = Some((times + 1, nth));
                self.news.insert((times + 1, nth, *id));
            }
        }
    }

    /// Others hold the same for alive: nothing but suspicions needs to be told any more.
    pub fn hush(&mut self) {
        let known = &mut self.known;
        self.news.retain(|(.., id)| {
            let Some(process) = known.get_mut(id) else { return false };
            let keeps = process.standing == Standing::Suspect;
            process.news = process.news.filter(|_| keeps);
            keeps
        });
    }

    fn tell(&mut self, id: u64) {
        let Some(process) = self.known.get_mut(&id) else { return };
        if let Some((times, nth)) = process.news.take() {
            self.news.remove(&(times, nth, id));
        }
        self.count += 1;
        process.news = Some((0, self.count));
        self.news.insert((0, self.count, id));
    }

    fn enter(&mut self, process: &Process) {
        let id = process.card.id;
        if process.lives() {
            self.living += 1;
            self.digest ^= process.mark();
            self.places.insert(process.card.at, id);
            self.kin.insert((called(&process.card), id));
        } else if process.standing == Standing::Gone {
            self.gone.push_back(id);
        } else {
            self.bury(id, process.life);
        }
    }

    fn leave(&mut self, process: &Process) {
        let id = process.card.id;
        self.suspects.remove(&(process.until, id));
        if process.lives() {
            self.living -= 1;
            self.digest ^= process.mark();
            if self.places.get(&process.card.at) == Some(&id) {
                self.places.remove(&process.card.at);
            }
            self.kin.remove(&(called(&process.card), id));
        } else {
            self.gone.retain(|g| *g != id);
            if self.lives.remove(&id).is_some() {
                self.buried.retain(|b| *b != id);
            }
        }
    }

    /// Keeps the number of those that are gone within its bound, and what is told of them.
    fn forget(&mut self) {
        if self.gone.len() > MOST_GONE
            && let Some(oldest) = self.gone.pop_front()
        {
            self.drop(oldest);
        }
    }

    /// Forgets a process but for its id and life.
    fn drop(&mut self, id: u64) {
        let Some(process) = self.known.remove(&id) else { return };
        self.untell(&process);
        self.leave(&process);
        self.bury(id, process.life);
    }

    fn untell(&mut self, process: &Process) {
        if let Some((times, nth)) = process.news {
            self.news.remove(&(times, nth, process.card.id));
        }
    }

    fn bury(&mut self, id: u64, life: u32) {
        self.lives.insert(id, life);
        self.buried.push_back(id);
        if self.buried.len() > MOST_BURIED
            && let Some(oldest) = self.buried.pop_front()
        {
            self.lives.remove(&oldest);
            if self.known.get(&oldest).is_some_and(|p| p.standing == Standing::Left)
                && let Some(process) = self.known.remove(&oldest)
            {
                self.untell(&process);
            }
        }
    }

    /// Digests of the living, and of this process, by `parts` equal ranges of their ids.
    pub fn digests(&self, parts: u16, me: &Card, life: u32) -> Vec<u32> {
        let mut digests = vec![0u64; usize::from(parts)];
        digests[part(me.id, parts)] ^= mark(me, life);
        for process in self.known.values().filter(|p| p.lives()) {
            digests[part(process.card.id, parts)] ^= process.mark();
        }
        digests.into_iter().map(|d| (d >> 32) as u32).collect()
    }

    /// The living of a range.
    pub fn within(&self, nth: usize, parts: u16) -> impl Iterator<Item = &Process> {
        let first = (((nth as u128) << 64).div_ceil(u128::from(parts))) as u64;
        self.known
            .range(first..)
            .map(|(_, p)| p)
            .take_while(move |p| part(p.card.id, parts) == nth)
            .filter(|p| p.lives())
    }
}

/// A dispatcher's name, in a number that few others have.
fn called(card: &Card) -> u64 {
    xxh3_64(card.name.as_bytes())
}

fn part(id: u64, parts: u16) -> usize {
    ((u128::from(id) * u128::from(parts)) >> 64) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    fn card(id: u64) -> Rc<Card> {
        let at = SocketAddr::from(([127, 0, 0, 1], 1 + (id % 60_000) as u16));
        let name = format!("d{id}");
        Rc::new(Card { id, name, zone: "a".into(), at, start: 0, edition: 0, figures: Vec::new() })
    }

    #[test]
    fn memory_is_bounded_however_many_come_and_go() {
        let mut table = Table::default();
        let many = MOST_GONE as u64 + 5_000;
        for id in 1..=many {
            table.set(card(id), 0, Standing::Alive, 0);
            table.set(card(id), 0, Standing::Gone, 1);
        }
        assert_eq!((table.known.len(), table.gone.len(), table.living()), (MOST_GONE, MOST_GONE, 0));
        assert_eq!(table.buried(1), Some(0), "it is still known as old");
        assert_eq!((table.digest(), table.places.len(), table.kin.len()), (0, 0, 0));
        assert!(table.news.len() <= MOST_GONE);
        for id in many + 1..many + 40_000 {
            table.set(card(id), 0, Standing::Left, 0);
        }
        assert_eq!((table.lives.len(), table.buried.len()), (MOST_BURIED, MOST_BURIED));
        assert!(table.known.len() <= MOST_GONE + MOST_BURIED);
    }

    #[test]
    fn digests_differ_where_the_living_do_and_ranges_hold_all_of_them() {
        let (mut one, mut other) = (Table::default(), Table::default());
        let ids: Vec<u64> = (1..200u64).map(|n| n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).collect();
        for id in &ids {
            one.set(card(*id), 0, Standing::Alive, 0);
        }
        for id in ids.iter().rev() {
            other.set(card(*id), 0, Standing::Alive, 5);
        }
        assert_eq!(
            (one.digest(), one.digests(8, &card(1), 0)),
            (other.digest(), other.digests(8, &card(1), 0))
        );
        other.set(card(ids[3]), 0, Standing::Suspect, 9);
        assert_eq!(one.digest(), other.digest(), "a suspect is still there");
        other.set(card(ids[3]), 0, Standing::Gone, 9);
        assert_ne!(one.digest(), other.digest());
        let pairs = one.digests(8, &card(1), 0).into_iter().zip(other.digests(8, &card(1), 0));
        let odd: Vec<usize> = pairs.enumerate().filter(|(_, (a, b))| a != b).map(|(n, _)| n).collect();
        assert_eq!(odd, [part(ids[3], 8)]);
        let found: usize = (0..8).map(|n| one.within(n, 8).count()).sum();
        assert_eq!(found, ids.len());
    }

    #[test]
    fn only_a_suspect_has_time_to_speak_up() {
        let mut table = Table::default();
        table.set(card(1), 0, Standing::Gone, 0);
        table.wait(1, 5);
        assert_eq!(table.first(), None);
        table.set(card(1), 1, Standing::Suspect, 0);
        table.wait(1, 5);
        table.longer(2);
        assert_eq!(table.first(), Some((7, 1)));
        table.set(card(1), 2, Standing::Alive, 0);
        assert_eq!(table.first(), None);
    }

    #[test]
    fn what_was_told_least_comes_first_and_news_end() {
        let mut table = Table::default();
        for id in 1..4 {
            table.set(card(id), 0, Standing::Alive, 0);
        }
        table.told(&[1], 2);
        let order = |t: &Table| t.untold().map(|p| p.card.id).collect::<Vec<_>>();
        assert_eq!(order(&table), [2, 3, 1]);
        table.told(&[1, 2], 2);
        assert_eq!(order(&table), [3, 2]);
        table.set(card(1), 1, Standing::Alive, 0);
        assert_eq!(order(&table), [3, 1, 2]);
    }
}
