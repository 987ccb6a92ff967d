//! Many processes, each with its view of the fleet and a clock that drifts, over links that lose, repeat and delay; killed and back
//! without memory, stopped and let go, upgraded, told other wholes. The sum is checked at everything that is spent, in true time.

use rainlug_budgets::emulator::World;
use rainlug_budgets::{Amount, Ask, Budget, Divider, Kind, Terms, Time, UNIT, Ways};
use rainlug_fleet::emulator::Link;
use rand::Rng;

const SECOND: Time = 1_000_000;
/// Courses of faults that CI plays; `RAINLUG_SEEDS` is another number.
const SEEDS: u64 = 60;

fn terms(size: usize) -> Terms {
    let roster: Vec<String> = (0..size).map(|n| format!("d{n}")).collect();
    let rate = Kind::Rate { burst: 4 * size as Amount * UNIT };
    let ledger = Kind::Occupancy { longest: 3 * SECOND };
    let whole = 8 * size as Amount * UNIT;
    let reserve = size as Amount * UNIT;
    let budgets = vec![
        Budget { name: "retries".into(), kind: rate, whole: 2 * whole, reserve: 4 * reserve },
        Budget { name: "ledger".into(), kind: ledger, whole, reserve },
    ];
    let voters = roster[..3].to_vec();
    Terms { roster, voters, grant: 2 * SECOND, lease: 3 * SECOND / 4, drift: 100_000, budgets }
}

fn lan() -> Link {
    Link { delay: 200, spread: 800, ..Link::default() }
}

fn poor() -> Link {
    Link { loss: 0.05, delay: 1000, spread: 40_000, twice: 0.1, cut: false }
}

fn settled(size: usize, link: Link, ways: Ways, seed: u64) -> World {
    let mut world = World::new(terms(size), link, ways, seed);
    world.start_all();
    world.fleet.pass(15 * SECOND);
    world
}

/// One fault by chance.
fn fault(world: &mut World) {
    let size = world.size;
    let [n, other] = [world.fleet.chance.random_range(0..size), world.fleet.chance.random_range(0..size)];
    match world.fleet.chance.random_range(0..10) {
        // Killed, and back at once or later, without memory.
        0 | 1 => {
            let (hunger, back) = (world.fleet.chance.random_range(0.0..120.0), world.fleet.chance.random());
            world.hunger(n, hunger);
            world.kill(n);
            if back {
                world.start(n);
            }
        }
        2 => (0..size).filter(|n| n % 3 != 1).for_each(|n| world.kill(n)),
        3 => {
            let dead: Vec<usize> = (0..size).filter(|n| !world.lives(*n)).collect();
            dead.into_iter().for_each(|n| world.start(n));
        }
        4 if world.lives(n) => {
            world.stop(n, true);
            let pause = world.fleet.chance.random_range(0..8 * SECOND);
            world.fleet.pass(pause);
            world.stop(n, false);
        }
        5 => {
            let sides: Vec<u8> = (0..size).map(|_| world.fleet.chance.random_range(0..3)).collect();
            world.split(|a, b| sides[a] != sides[b]);
        }
        6 => {
            // One way only; or a bridge over a third.
            let cut = Link { cut: true, ..world.fleet.link };
            world.fleet.way(n, other, cut);
        }
        7 if world.lives(n) => {
            let after = world.fleet.chance.random_range(0..4 * SECOND);
            world.upgrade(n, after);
        }
        8 => {
            // What was said up to a minute ago comes once more.
            for (to, from, payload) in std::mem::take(&mut world.fleet.kept) {
                world.fleet.arrive(to, from, payload);
            }
        }
        _ => world.fleet.heal(),
    }
}

#[test]
fn never_over_the_whole_through_many_seeds_of_faults() {
    let mut spent = [0; 2];
    let seeds = std::env::var("RAINLUG_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let size = [5, 5, 5, 9, 24][seed as usize % 5];
        let mut world = World::new(terms(size), poor(), Ways::default(), seed);
        world.fleet.keep_each = 50;
        (0..size).for_each(|n| world.hunger(n, (n % 3 * 40) as f64));
        world.start_all();
        world.fleet.pass(8 * SECOND);
        for _ in 0..25 {
            fault(&mut world);
            let (pause, hungry) =
                (world.fleet.chance.random_range(0..3 * SECOND), world.fleet.chance.random_range(0..size));
            let hunger = world.fleet.chance.random_range(0.0..160.0);
            world.hunger(hungry, hunger);
            world.fleet.pass(pause);
        }
        let account = world.account.borrow();
        assert!(account.over.is_empty(), "seed {seed}: {:?}", account.over);
        assert_eq!(world.fleet.odd, 0, "seed {seed}");
        (0..2).for_each(|n| spent[n] += account.spent[n]);
    }
    assert!(spent.iter().all(|s| *s > 200 * seeds), "{spent:?}");
}

#[test]
fn a_whole_that_changes_for_some_first_is_never_over_the_larger_one() {
    for seed in 0..10 {
        let mut world = settled(5, poor(), Ways::default(), seed);
        (0..5).for_each(|n| world.hunger(n, 100.0));
        world.fleet.pass(20 * SECOND);
        let (large, mut small) = (world.terms.clone(), world.terms.clone());
        small.budgets.iter_mut().for_each(|b| b.whole /= 2);
        for (from, to) in [(&large, &small), (&small, &large)] {
            let wholes = |terms: &Terms| terms.budgets.iter().map(|b| b.whole).collect::<Vec<_>>();
            // While it goes on the larger one holds, and until all that was begun by it is over.
            world.account.borrow_mut().wholes = wholes(&large);
            for n in [3, 0, 4, 1, 2] {
                world.reload(n, to);
                world.fleet.pass(SECOND);
            }
            world.fleet.pass(terms(5).over(6 * SECOND) + 2 * SECOND);
            world.account.borrow_mut().wholes = wholes(to);
            let used = world.use_over(1, 20 * SECOND);
            let whole = to.budgets[1].whole as f64 / UNIT as f64;
            assert!(used > 0.6 * whole, "seed {seed}: {used} of {whole} after {:?}", from.budgets[1].whole);
        }
        assert_eq!(world.account.borrow().over, Vec::<String>::new(), "seed {seed}");
    }
}

/// The worst moment for what is taken out; all are hungry.
fn worst(seed: u64, ways: Ways) -> World {
    let mut world = World::new(terms(5), lan(), ways, seed);
    (0..5).for_each(|n| world.hunger(n, 160.0));
    world.start_all();
    world.fleet.pass(25 * SECOND);
    let divider = world.divider();
    if !ways.voters_wait || !ways.dividers_wait {
        // Two voters lose their memory, and are parted from the divider, each side with a holder.
        let Some(divider) = divider else { return world };
        let side = |n: usize| n == divider || n == 3;
        world.split(|a, b| side(a) != side(b));
        if !ways.voters_wait {
            (0..3).filter(|n| *n != divider).for_each(|n| world.start(n));
        }
        world.fleet.pass(12 * SECOND);
    } else if !ways.dead_expire {
        // All with memory gone, again and again, with nothing but their own parts.
        for _ in 0..20 {
            world.start_all();
            world.fleet.pass(SECOND / 4);
        }
    } else {
        for n in 0..30 {
            // One is hungry after the other: what it gets is what another one has yet.
            (0..5).for_each(|m| world.hunger(m, if m == n % 5 { 400.0 } else { 8.0 }));
            let pause = world.fleet.chance.random_range(SECOND..3 * SECOND);
            world.fleet.pass(pause);
        }
    }
    world
}

#[test]
fn each_safeguard_taken_out_is_missed() {
    let over =
        |seeds: u64, ways: Ways| (0..seeds).find(|s| !worst(*s, ways).account.borrow().over.is_empty());
    let on = Ways::default();
    assert_eq!(over(5, on), None);
    for lacking in [
        Ways { voters_wait: false, dividers_wait: false, ..on },
        Ways { dividers_wait: false, ..on },
        Ways { dead_expire: false, ..on },
        Ways { shrinks_first: false, ..on },
        Ways { drift: false, ..on },
    ] {
        assert!(over(30, lacking).is_some(), "nothing goes over with {lacking:?}");
    }
}

/// A divider that has just come into office goes by what a holder keeps only if that was said to it: said before, it may have been
/// lent to somebody else since.
#[test]
fn what_was_kept_before_an_office_is_not_lent_by_it() {
    let (told, on) = (terms(5), Ways::default());
    let mut divider = Divider::new();
    let epoch = divider.stand(0);
    (0..2).for_each(|voter| divider.voiced(&told, on, 10, voter, epoch, 0));
    assert!(divider.holds(20));
    let ask = Ask { number: 1, wants: 9 * UNIT, epoch: epoch - 1, seen: 3, keeps: 7 * UNIT };
    assert_eq!(divider.lend(&told, 20, (1, 0), (0, 77), epoch - 1, ask), None);
    assert_eq!(divider.lend(&told, 20, (1, 0), (0, 77), epoch, ask), Some((1, 7 * UNIT)));
    // Nobody who kept nothing gets any yet.
    assert_eq!(divider.lend(&told, 20, (1, 0), (1, 78), epoch, Ask { keeps: 0, ..ask }), Some((1, 0)));
}

#[test]
fn what_idle_ones_leave_the_hungry_one_gets_and_deaths_free_their_parts() {
    let mut world = settled(5, lan(), Ways::default(), 7);
    world.hunger(4, 160.0);
    world.fleet.pass(20 * SECOND);
    let (rate, runs) = (world.use_over(0, 20 * SECOND), world.use_over(1, 20 * SECOND));
    // Its own is 4 of 80 and 1 of 40; the others keep their own.
    assert!(rate > 0.8 * 64.0 && runs > 0.8 * 36.0, "{rate} {runs}");
    // All hungry: the divider dies. The others go on with what they have; what is its own, and what it had, is free later.
    (0..5).for_each(|n| world.hunger(n, 160.0));
    world.fleet.pass(10 * SECOND);
    let divider = world.divider().expect("somebody divides");
    world.kill(divider);
    let rate = world.use_over(0, 4 * SECOND);
    assert!(rate > 0.6 * 80.0, "while another one is elected: {rate}");
    world.fleet.pass(4 * SECOND);
    let (rate, runs) = (world.use_over(0, 20 * SECOND), world.use_over(1, 20 * SECOND));
    assert!(rate > 0.75 * 80.0 && runs > 0.75 * 40.0, "{rate} {runs}");
    assert!(world.account.borrow().over.is_empty());
}

#[test]
fn alone_behind_a_partition_its_own_is_there_at_once() {
    let mut world = settled(5, lan(), Ways::default(), 3);
    (0..5).for_each(|n| world.hunger(n, 100.0));
    world.fleet.pass(10 * SECOND);
    world.split(|a, b| (a == 4) != (b == 4));
    (0..4).for_each(|n| world.hunger(n, 0.0));
    world.fleet.pass(3 * SECOND);
    // Of the rate 4 a second, of the occupancy one.
    let (rate, runs) = (world.use_over(0, 10 * SECOND), world.use_over(1, 10 * SECOND));
    assert!((3.0..4.01).contains(&rate) && (0.8..1.01).contains(&runs), "{rate} {runs}");
    world.fleet.heal();
    let back = world.until_used(0, 0.7, 20 * SECOND);
    assert!(back.is_some_and(|t| t < 10 * SECOND), "{back:?}");
    assert!(world.account.borrow().over.is_empty());
}
