//! Which numbers of a group of dispatchers are there, for decisions: the view with care. Who has gone counts as there until that
//! has held for a while, since whoever takes over from it does more than before; who is back counts at once.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Buf, BufMut};
use rainlug::Time;

use crate::{Standing, View};

/// What a process attaches to itself begins with this; who attaches something else is told by another build.
const EDITION: u8 = 1;

/// The group's numbers as one process has them.
pub struct Roll {
    size: u16,
    hold: Time,
    /// Those that are not there, since when.
    absent: BTreeMap<u16, Time>,
    /// The view's version that was looked at, and what was told by it.
    seen: u64,
    told: Vec<usize>,
}

/// A dispatcher's number and its group's size, as its processes attach them.
pub fn figures(index: usize, size: usize) -> Vec<u8> {
    let (index, size) = (u16::try_from(index).unwrap_or(u16::MAX), u16::try_from(size).unwrap_or(u16::MAX));
    let mut bytes = vec![EDITION];
    bytes.put_u16(index);
    bytes.put_u16(size);
    bytes
}

fn read(mut figures: &[u8]) -> Option<(u16, u16)> {
    let edition = figures.try_get_u8().ok()?;
    (edition == EDITION).then_some(())?;
    Some((figures.try_get_u16().ok()?, figures.try_get_u16().ok()?))
}

impl Roll {
    /// Of a group of that size; who is gone for as long as `hold`, in microseconds, is no longer there.
    pub fn new(size: usize, hold: Time) -> Self {
        let size = u16::try_from(size).unwrap_or(u16::MAX);
        Roll { size, hold, absent: BTreeMap::new(), seen: 0, told: (0..size.into()).collect() }
    }

    /// The numbers that count as there, as told last.
    pub fn told(&self) -> &[usize] {
        &self.told
    }

    /// When to look, though the view has not changed.
    pub fn next(&self) -> Time {
        let due = self.absent.iter().filter(|(n, _)| self.counts(**n)).map(|(_, since)| since + self.hold);
        due.min().unwrap_or(Time::MAX)
    }

    /// Whether a number is there by what was told last.
    fn counts(&self, number: u16) -> bool {
        self.told.binary_search(&number.into()).is_ok()
    }

    /// The numbers that are there, where that has changed since it was told last. At first all are.
    ///
    /// While anybody lives who says nothing of its number, or belongs to a group of another size, all count as there: who is
    /// whose neighbour is not known.
    pub fn look(&mut self, now: Time, view: &View) -> Option<&[usize]> {
        if view.version() == std::mem::replace(&mut self.seen, view.version()) && now < self.next() {
            return None;
        }
        let members = view.members();
        let living = members.iter().flat_map(|m| &m.processes).filter(|p| p.1 <= Standing::Suspect);
        let numbers: Option<BTreeSet<u16>> = living
            .map(|(card, ..)| read(&card.figures).filter(|(_, size)| *size == self.size).map(|(n, _)| n))
            .collect();
        match numbers {
            Some(there) => {
                for n in 0..self.size {
                    if there.contains(&n) {
                        self.absent.remove(&n);
                    } else {
                        self.absent.entry(n).or_insert(now);
                    }
                }
            }
            None => self.absent.clear(),
        }
        let held = |n: &u16| self.absent.get(n).is_none_or(|since| now < since + self.hold);
        let found: Vec<usize> = (0..self.size).filter(held).map(usize::from).collect();
        let changed = found != self.told;
        self.told = found;
        changed.then_some(&self.told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_attached_comes_back_and_anything_else_is_nothing() {
        assert_eq!(read(&figures(7, 300)), Some((7, 300)));
        assert_eq!(read(&figures(70_000, 1)), Some((u16::MAX, 1)));
        for odd in [&[][..], &[1, 0, 7], &[2, 0, 7, 0, 9]] {
            assert_eq!(read(odd), None);
        }
    }
}
