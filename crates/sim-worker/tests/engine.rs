//! The simulated batch: its pace, its memory, what it keeps.

use rainlug_sim_worker::engine::{Engine, Event, Job, Shape, Time};

const SHAPE: Shape = Shape {
    slots: 4,
    queue: 2,
    kv_tokens: 1_000,
    step: 10_000,
    step_more: 2_000,
    piece: 100,
    read_ns: 10_000,
    words_per_token: 1,
};

fn job(id: u64, parts: &[(u64, u64)], out: u64) -> Job {
    let prompt = parts.iter().map(|(_, tokens)| tokens).sum();
    Job { id, parts: parts.to_vec(), prompt, out, ..Job::default() }
}

/// Plays until nothing runs; all events with their times.
fn play(engine: &mut Engine) -> Vec<(Time, Event)> {
    let mut events = Vec::new();
    for _ in 0..100_000 {
        let now = engine.next();
        if now == Time::MAX {
            return events;
        }
        events.extend(engine.due(now).into_iter().map(|event| (now, event)));
    }
    panic!("it does not end");
}

fn tokens(events: &[(Time, Event)], of: u64) -> Vec<(Time, u64)> {
    let number = |(at, event): &(Time, Event)| match event {
        Event::Token { job, number, .. } if *job == of => Some((*at, *number)),
        _ => None,
    };
    events.iter().filter_map(number).collect()
}

fn took(others: u64) -> Time {
    let mut engine = Engine::new(SHAPE);
    for id in 0..=others {
        assert!(engine.submit(0, job(id, &[], 20)));
    }
    play(&mut engine).last().unwrap().0
}

#[test]
fn tokens_come_more_slowly_the_more_requests_run() {
    let (alone, full) = (took(0), took(3));
    assert_eq!(alone, 20 * 10_000);
    assert!(full > 20 * 15_000 && full < 22 * 16_000, "{full}");
}

#[test]
fn a_kept_prefix_is_not_read_again_and_another_one_is() {
    let mut engine = Engine::new(SHAPE);
    assert!(engine.submit(0, job(1, &[(7, 300), (8, 50)], 2)));
    let first = play(&mut engine);
    assert_eq!(engine.read(), 350);
    let begun = first.last().unwrap().0;
    assert!(engine.submit(begun, job(2, &[(7, 300), (9, 20)], 2)));
    let second = play(&mut engine);
    assert_eq!(engine.read(), 350 + 20);
    let waited = |events: &[(Time, Event)], id, from| tokens(events, id)[0].0 - from;
    assert!(waited(&first, 1, 0) > 3 * waited(&second, 2, begun));
    // The same part behind another one is another.
    assert!(engine.submit(begun * 2, job(3, &[(9, 20), (7, 300)], 2)));
    play(&mut engine);
    assert_eq!(engine.read(), 350 + 20 + 320);
}

#[test]
fn the_part_unused_longest_gives_way() {
    let mut engine = Engine::new(SHAPE);
    let mut now = 0;
    let mut run = |engine: &mut Engine, id: u64, part: u64| {
        let before = engine.read();
        assert!(engine.submit(now, job(id, &[(part, 300)], 10)));
        now = play(engine).last().unwrap().0;
        engine.read() - before
    };
    assert_eq!([1, 2, 3].map(|part| run(&mut engine, part, part)), [300, 300, 300]);
    assert_eq!(run(&mut engine, 4, 1), 0, "all three are kept");
    assert_eq!(run(&mut engine, 5, 4), 300, "takes the room of the second");
    assert_eq!(run(&mut engine, 6, 1), 0);
    assert_eq!(run(&mut engine, 7, 3), 0);
    assert_eq!(run(&mut engine, 8, 2), 300, "it gave way");
    assert!(engine.kept() <= SHAPE.kv_tokens && engine.kv_used() == 0);
}

#[test]
fn of_one_prompt_the_last_parts_give_way_first() {
    let mut engine = Engine::new(SHAPE);
    assert!(engine.submit(0, job(1, &[(1, 250), (2, 250)], 5)));
    // Another one comes while it is read, and is done before it.
    engine.due(engine.next());
    assert!(engine.submit(engine.next(), job(2, &[], 2)));
    let now = play(&mut engine).last().unwrap().0;
    assert!(engine.submit(now, job(3, &[(3, 600)], 5)));
    let now = play(&mut engine).last().unwrap().0;
    let before = engine.read();
    assert!(engine.submit(now, job(4, &[(1, 250)], 5)));
    play(&mut engine);
    assert_eq!(engine.read(), before, "the first part is still kept");
}

#[test]
fn without_memory_the_newest_is_put_back_and_all_its_tokens_come_once() {
    let mut engine = Engine::new(SHAPE);
    for id in [1, 2] {
        assert!(engine.submit(0, job(id, &[(id, 300)], 300)));
    }
    let events = play(&mut engine);
    assert!(engine.put_back() > 0);
    for id in [1, 2] {
        let numbers: Vec<u64> = tokens(&events, id).iter().map(|(_, n)| *n).collect();
        assert_eq!(numbers, (1..=300).collect::<Vec<u64>>(), "request {id}");
    }
    let ends = [1, 2].map(|id| tokens(&events, id).last().unwrap().0);
    assert!(ends[0] < ends[1]);
}

#[test]
fn what_has_no_room_is_refused_and_what_is_late_is_told() {
    let mut engine = Engine::new(SHAPE);
    assert!(!engine.submit(0, job(1, &[(1, 900)], 101)), "larger than the memory");
    let mut late = job(99, &[], 10);
    late.until = Some(15_000);
    assert!(engine.submit(0, late));
    let taken = (0..20).filter(|id| engine.submit(0, job(*id, &[], 5))).count();
    assert_eq!((taken, engine.load()), (5, (1, 5, 4)));
    let mut last = job(200, &[], 5);
    last.until = Some(20_000);
    engine.cancel(4);
    assert!(engine.submit(0, last));
    let events = play(&mut engine);
    assert!(events.contains(&(20_000, Event::Late { job: 200, ran: false })), "{events:?}");
    assert!(events.iter().any(|(_, e)| *e == Event::Late { job: 99, ran: true }));
}

#[test]
fn a_stream_goes_on_after_the_token_that_is_known() {
    let mut engine = Engine::new(SHAPE);
    let resumed = Job { after: 12, ..job(1, &[(1, 100)], 15) };
    assert!(engine.submit(0, resumed));
    let events = play(&mut engine);
    assert_eq!(tokens(&events, 1).iter().map(|(_, n)| *n).collect::<Vec<u64>>(), [13, 14, 15]);
    assert_eq!(engine.read(), 112);
}
