//! Stories of a whole service over a virtual clock.

mod sim;

use rainlug::SECOND;
use sim::{By, Engine, Figures, Kind, MS, Play};

const SMALL: Kind =
    Kind { rate: 100.0, subjects: 1, shared: 170, own: 540, events: 18, aim: 200 * MS, bulk: false };
const LARGE: Kind =
    Kind { rate: 16.0, subjects: 24, shared: 13_000, own: 3_700, events: 7, aim: 300 * MS, bulk: false };
const BULK: Kind =
    Kind { rate: 20.0, subjects: 1, shared: 430, own: 770, events: 40, aim: 400 * MS, bulk: true };

fn play(by: By, kinds: &[Kind], engines: Vec<Engine>) -> Figures {
    let mut play = Play { by, dispatchers: 8, kinds: kinds.to_vec(), engines, seconds: 40, seed: 5 };
    let mut figures = play.run();
    for seed in [6, 7] {
        play.seed = seed;
        let more = play.run();
        figures.read += more.read;
        figures.reread += more.reread;
        figures.bulk += more.bulk;
        figures.bulk_on_busy += more.bulk_on_busy;
        for k in 0..kinds.len() {
            figures.asked[k] += more.asked[k];
            figures.in_time[k] += more.in_time[k];
            figures.refused[k] += more.refused[k];
            figures.waits[k].extend(&more.waits[k]);
        }
    }
    for k in 0..kinds.len() {
        let (half, most) = (figures.wait(k, 0.5), figures.wait(k, 0.95));
        println!("kind {k}: in time {:.3}, wait {half:.0} ms, {most:.0} ms", figures.timely(k));
    }
    println!("read {} again {} served {:?}", figures.read, figures.reread, figures.served);
    println!("{:?}", figures.counts);
    figures
}

/// Given a quiet service of like workers, when small requests come, then turns inside the shares decide nearly all.
#[test]
fn turns_decide_on_the_ordinary_path() {
    let figures = play(By::Placement, &[SMALL], vec![Engine::default(); 12]);
    let counts = figures.counts;
    let all = counts.turns + counts.prefix + counts.outside + counts.late + counts.skipped + counts.full;
    assert!(counts.turns as f64 > 0.95 * all as f64, "{counts:?}");
    let mean = figures.served.iter().sum::<u64>() as f64 / 12.0;
    assert!(figures.served.iter().all(|&n| (n as f64) > 0.7 * mean && (n as f64) < 1.4 * mean));
}

/// Given large prompts among small ones, then turns decide most picks still, and exceptions are counted.
#[test]
fn turns_decide_most_among_exceptions() {
    let counts = play(By::Placement, &[SMALL, LARGE], vec![Engine::default(); 12]).counts;
    let others = counts.prefix + counts.outside + counts.late + counts.skipped + counts.full + counts.grey;
    assert!(counts.turns > 3 * others && counts.prefix > 0, "{counts:?}");
}

/// Given one worker three times as slow, when its service is busy, then it gets less than half of what others get.
#[test]
fn a_slow_worker_gets_fewer() {
    let mut engines = vec![Engine::default(); 6];
    engines[2].slow = 3.0;
    let figures = play(By::Placement, &[Kind { rate: 200.0, ..SMALL }], engines);
    let others = (figures.served.iter().sum::<u64>() - figures.served[2]) as f64 / 5.0;
    assert!((figures.served[2] as f64) < 0.5 * others, "{:?}", figures.served);
}

/// Given subjects of many tokens, when dispatchers that never talk see parts of each, then they send a subject to the same
/// workers: much less is read again than by who is never told of prefixes, and more is in time.
#[test]
fn dispatchers_agree_on_who_reads_a_prefix() {
    let kinds = [SMALL, LARGE];
    let blind = play(By::Blind, &kinds, vec![Engine::default(); 12]);
    let placement = play(By::Placement, &kinds, vec![Engine::default(); 12]);
    assert!(placement.reread * 4 < blind.reread, "{} {}", placement.reread, blind.reread);
    assert!(placement.timely(1) > blind.timely(1) && placement.timely(0) >= blind.timely(0));
}

/// Given far more subjects than a dispatcher sees of and room for them all, then each is read by one worker all the same: what is
/// read again is next to nothing beside what has to be read once.
#[test]
fn a_subject_that_no_dispatcher_has_seen_is_read_once() {
    let seldom = Kind { subjects: 110, ..LARGE };
    let figures =
        play(By::Placement, &[SMALL, seldom], vec![Engine { kv: 1_200_000, ..Engine::default() }; 18]);
    let once = 3 * seldom.subjects * u64::from(seldom.shared);
    assert!(figures.reread * 20 < once, "{} {once}", figures.reread);
}

/// Given the same, then it beats chance for either kind.
#[test]
fn it_beats_chance() {
    let kinds = [SMALL, LARGE];
    let chance = play(By::Chance, &kinds, vec![Engine::default(); 12]);
    let placement = play(By::Placement, &kinds, vec![Engine::default(); 12]);
    assert!(placement.timely(0) > chance.timely(0) && placement.timely(1) > chance.timely(1));
}

/// Given one subject that all large requests share, then no single worker drowns in it.
#[test]
fn a_subject_of_all_is_spread() {
    let hot = Kind { subjects: 1, rate: 40.0, ..LARGE };
    let figures = play(By::Placement, &[SMALL, hot], vec![Engine::default(); 12]);
    assert!(figures.timely(1) > 0.9 && figures.timely(0) > 0.95);
}

/// Given batch jobs beside live traffic that fills the workers, then next to none of them comes to a worker with 0.75 of its slots
/// taken: what does is due to what others sent in the same moment.
#[test]
fn batch_jobs_keep_off_busy_workers() {
    let live = Kind { rate: 1100.0, ..SMALL };
    let figures = play(By::Placement, &[live, BULK], vec![Engine::default(); 8]);
    println!("bulk {} on busy {} asked {:?}", figures.bulk, figures.bulk_on_busy, figures.asked);
    assert!(figures.bulk_on_busy * 50 < figures.asked[1], "{}", figures.bulk_on_busy);
}

/// Given the same where workers are half full, then most of the batch jobs run, and live ones are in time as ever.
#[test]
fn batch_jobs_run_in_spare_room() {
    let live = Kind { rate: 600.0, ..SMALL };
    let figures = play(By::Placement, &[live, BULK], vec![Engine::default(); 8]);
    println!("bulk {} on busy {} asked {:?}", figures.bulk, figures.bulk_on_busy, figures.asked);
    assert!(figures.timely(0) > 0.99 && figures.timely(1) > 0.9);
}

/// Given a worker that refuses connections for some seconds, then few requests find that out, and it works again after.
#[test]
fn an_unreachable_worker_is_barred_and_comes_back() {
    let mut engines = vec![Engine::default(); 6];
    engines[1].refuses = Some((5 * SECOND, 15 * SECOND));
    let figures = play(By::Placement, &[SMALL], engines);
    let others = (figures.served.iter().sum::<u64>() - figures.served[1]) as f64 / 5.0;
    // By each of 8 dispatchers: what was out at once, and a trial after 1, 2, 4 and 8 s.
    assert!(figures.failed <= 8 * 6, "{}", figures.failed);
    assert!((figures.served[1] as f64) > 0.4 * others, "{:?}", figures.served);
}

/// Given a worker that fails all that it is given at once, then it gets trials only.
#[test]
fn a_worker_that_fails_fast_attracts_nothing() {
    let mut engines = vec![Engine::default(); 6];
    engines[1].fails = true;
    let figures = play(By::Placement, &[SMALL], engines);
    let others = (figures.served.iter().sum::<u64>() - figures.served[1]) as f64 / 5.0;
    assert!((figures.served[1] as f64) < 0.6 * others, "{:?}", figures.served);
    assert!(figures.failed <= 8 * 15, "{}", figures.failed);
}
