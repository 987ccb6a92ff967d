//! Budgets measured in virtual time, beside a fixed even part for each and no division at all. A seed is one course of events.

use std::fmt::Write;

use rainlug_budgets::emulator::World;
use rainlug_budgets::{Amount, Budget, Kind, Terms, Time, UNIT, Ways};
use rainlug_fleet::emulator::Link;

const SECOND: Time = 1_000_000;
/// For each dispatcher of the fleet: a second of the rate, and of the occupancy.
const RATE: Amount = 20;
const AT_ONCE: Amount = 4;
const RESERVE: Amount = 10;
const LONGEST: Time = 2 * SECOND;
/// Over what is looked, and how long a change may take.
const LOOK: Time = 20 * SECOND;
const MOST: Time = 40 * SECOND;

/// How a whole is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Lent,
    /// Everybody has an even part for good.
    Even,
    /// Everybody may use the whole.
    Undivided,
}

/// What one fleet did: of the rate and of the occupancy.
#[derive(Debug)]
pub struct Row {
    pub way: Way,
    pub size: usize,
    pub loss: f64,
    /// Parts of the whole in use: one has nine tenths of the traffic; all want the whole.
    pub skewed: [f64; 2],
    pub hungry: [f64; 2],
    /// Seconds until nine tenths are in use: after the traffic has moved to another one, one has died, the divider has, seven
    /// in ten have.
    pub shift: [Option<f64>; 2],
    pub death: [Option<f64>; 2],
    pub divider: [Option<f64>; 2],
    pub many: [Option<f64>; 2],
    /// In a partition: on the side of most voters, and on the other one, where a quarter are.
    pub sides: [[f64; 2]; 2],
    /// Bytes a second of each, where all ask all the time, and microseconds of a core.
    pub bytes: f64,
    pub core: f64,
    pub over: usize,
}

fn terms(size: usize, way: Way) -> Terms {
    let n = size as Amount;
    // Where nothing is divided, everybody has for its own what is the whole.
    let times = if way == Way::Undivided { n } else { 1 };
    let budget = |name: &str, kind, each: Amount| {
        let whole = each * n * UNIT * times;
        let reserve = if way == Way::Lent { whole / RESERVE } else { whole };
        Budget { name: name.into(), kind, whole, reserve }
    };
    let roster: Vec<String> = (0..size).map(|n| format!("d{n}")).collect();
    Terms {
        voters: roster[..3].to_vec(),
        roster,
        grant: 2 * SECOND,
        lease: SECOND,
        drift: 10_000,
        budgets: vec![
            budget("rate", Kind::Rate { burst: RATE * n * UNIT }, RATE),
            budget("at once", Kind::Occupancy { longest: LONGEST }, AT_ONCE),
        ],
    }
}

/// A fleet that has settled, with nobody hungry.
fn settled(way: Way, size: usize, loss: f64, seed: u64) -> World {
    let link = Link { loss, delay: 200, spread: 800, ..Link::default() };
    let mut world = World::new(terms(size, way), link, Ways::default(), seed);
    // One is in use for little over half of the longest: so many tries want as large a part of the one as of the other.
    world.parts[1] = AT_ONCE as f64 / (RATE as f64 * 0.533 * LONGEST as f64 / SECOND as f64);
    world.start_all();
    world.fleet.pass(LOOK);
    world
}

/// Tries a second of one that wants such a part of the whole.
fn wants(size: usize, part: f64) -> f64 {
    part * (RATE as usize * size) as f64
}

fn all_hungry(world: &World) {
    (0..world.size).for_each(|n| world.hunger(n, wants(world.size, 1.2).min(400.0)));
}

/// Parts of the whole in use, of both budgets, over some time.
fn used(world: &mut World) -> [f64; 2] {
    let wholes = [RATE, AT_ONCE].map(|each| (each as usize * world.size) as f64);
    [0, 1].map(|nth| world.use_over(nth, LOOK) / wholes[nth])
}

/// Until nine tenths are in use of each.
fn until(make: impl Fn() -> World, does: impl Fn(&mut World)) -> [Option<f64>; 2] {
    [0, 1].map(|nth| {
        let mut world = make();
        does(&mut world);
        world.until_used(nth, 0.9, MOST).map(|t| t as f64 / SECOND as f64)
    })
}

pub fn row(way: Way, size: usize, loss: f64, seed: u64) -> Row {
    let fresh = || settled(way, size, loss, seed);
    let mut over = 0;
    // Nine tenths of a traffic of one and a fifth of the whole are one's.
    let mut world = fresh();
    let skew = |world: &World, of: usize| {
        let rest = wants(size, 0.12) / (size - 1) as f64;
        (0..size).for_each(|n| world.hunger(n, if n == of { wants(size, 1.08) } else { rest }));
    };
    skew(&world, size - 1);
    world.fleet.pass(LOOK);
    let skewed = used(&mut world);
    over += world.account.borrow().over.len();
    let lent = way == Way::Lent;
    let none = [None; 2];
    let shift = if lent {
        let make = || {
            let mut world = fresh();
            skew(&world, size - 1);
            world.fleet.pass(LOOK);
            world
        };
        until(make, |world| skew(world, size - 2))
    } else {
        none
    };
    let hungry_fleet = || {
        let mut world = fresh();
        all_hungry(&world);
        world.fleet.pass(LOOK);
        world
    };
    let mut world = hungry_fleet();
    let (took, bytes) = (world.account.borrow().took, world.account.borrow().bytes);
    let hungry = used(&mut world);
    let time = 2.0 * (LOOK / SECOND) as f64 * size as f64;
    let core = (world.account.borrow().took - took).as_secs_f64() * 1e6 / time;
    let bytes = (world.account.borrow().bytes - bytes) as f64 / time;
    over += world.account.borrow().over.len();
    let mut sides = [[0.0; 2]; 2];
    let (mut death, mut divider, mut many) = (none, none, none);
    if lent {
        death = until(hungry_fleet, |world| world.kill(size - 1));
        divider = until(hungry_fleet, |world| {
            let divider = world.divider().unwrap_or(0);
            world.kill(divider);
        });
        // Two voters live on.
        many = until(hungry_fleet, |world| (1..=size * 7 / 10).for_each(|n| world.kill(size - n)));
        for (side, parts) in sides.iter_mut().enumerate() {
            let mut world = hungry_fleet();
            let apart = size - size.div_ceil(4);
            world.split(|a, b| (a < apart) != (b < apart));
            // Only the side that is looked at wants anything.
            (0..size).filter(|n| (*n < apart) == (side == 1)).for_each(|n| world.hunger(n, 0.0));
            world.fleet.pass(LOOK / 4);
            *parts = used(&mut world);
            over += world.account.borrow().over.len();
        }
    }
    Row { way, size, loss, skewed, hungry, shift, death, divider, many, sides, bytes, core, over }
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Lent => "lent",
            Way::Even => "an even part each",
            Way::Undivided => "undivided",
        }
    }
}

/// As a table.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "Rate / occupancy. Parts of the whole in use; seconds until nine tenths of it, less what is the dead's own, are in use, a grant \
         being 2 s and the longest in use 2 s; - is not within 40 s.\n\n| way | dispatchers | lost % | one has nine tenths | all want all | traffic moves | one dies | \
         the divider dies | seven in ten die | most voters' side | other side | bytes a second each | core us a second each | over |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let parts = |of: [f64; 2]| format!("{:.2} / {:.2}", of[0], of[1]);
    let times = |of: [Option<f64>; 2]| {
        let [a, b] = of.map(|t| t.map_or("-".to_owned(), |t| format!("{t:.1}")));
        format!("{a} / {b}")
    };
    for r in rows {
        let _ = write!(text, "| {} | {} | {:.0} | ", r.way.name(), r.size, r.loss * 100.0);
        let _ = write!(text, "{} | {} | ", parts(r.skewed), parts(r.hungry));
        for time in [r.shift, r.death, r.divider, r.many] {
            let _ = write!(text, "{} | ", if r.way == Way::Lent { times(time) } else { String::new() });
        }
        for side in r.sides {
            let _ = write!(text, "{} | ", if r.way == Way::Lent { parts(side) } else { String::new() });
        }
        let _ = writeln!(text, "{:.0} | {:.0} | {} |", r.bytes, r.core, r.over);
    }
    text
}

/// As CSV, a line each.
pub fn csv(rows: &[Row]) -> String {
    let mut text = String::from(
        "way,dispatchers,loss,skewed_rate,skewed_at_once,hungry_rate,hungry_at_once,shift_rate_s,shift_at_once_s,death_rate_s,\
         death_at_once_s,divider_rate_s,divider_at_once_s,many_rate_s,many_at_once_s,most_rate,most_at_once,other_rate,\
         other_at_once,bytes_s,core_us_s,over\n",
    );
    for r in rows {
        let mut fields = vec![r.way.name().to_owned(), r.size.to_string(), r.loss.to_string()];
        fields.extend([r.skewed, r.hungry].iter().flatten().map(|v| format!("{v:.3}")));
        let times = [r.shift, r.death, r.divider, r.many];
        fields.extend(times.iter().flatten().map(|t| t.map_or(String::new(), |t| format!("{t:.2}"))));
        fields.extend(r.sides.iter().flatten().map(|v| format!("{v:.3}")));
        fields.extend([format!("{:.1}", r.bytes), format!("{:.1}", r.core), r.over.to_string()]);
        let _ = writeln!(text, "{}", fields.join(","));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_lent_is_used_where_even_parts_lie_idle_and_only_the_undivided_goes_over() {
        let lent = row(Way::Lent, 5, 0.0, 1);
        let even = row(Way::Even, 5, 0.0, 1);
        assert!(lent.skewed[0] > 0.85 && even.skewed[0] < 0.5, "{lent:?} {even:?}");
        assert_eq!((lent.over, even.over), (0, 0));
        assert!(row(Way::Undivided, 5, 0.0, 1).hungry[0] > 2.0);
    }
}
