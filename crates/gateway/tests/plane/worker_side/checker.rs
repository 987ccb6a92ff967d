//! The checker fires where a rule is broken: recordings that are sound, and the same with one thing wrong.

use rainlug_gateway::RanEnd;

use super::recording::{EVENTS, ItemRun, Kind, Received, Recording, Run, Sent, Violation, write_event};

fn run_of(id: &str, kind: Kind, last_event: u64, answer: &str) -> Run {
    Run {
        worker: "i-0".into(),
        id: id.into(),
        head: format!(
            "POST {}{id} HTTP/1.1\r\nX-Rainlug-Attempt-Id: {id}\r\nX-Rainlug-Target-Instance: i-0\r\nX-Rainlug-Deadline-Ms: 100\r\nLast-Event-Id: {last_event}\r\n\r\n",
            kind.prefix()
        ),
        body: b"body".to_vec(),
        turned_away: false,
        status: 200,
        answer: answer.into(),
        has_end: true,
    }
}

fn answer_of(id: &str, run: usize, body: &str) -> Received {
    Received {
        id: id.into(),
        status: 200,
        head: format!(
            "HTTP/1.1 200 OK\r\nX-Rainlug-Attempt-Id: {id}\r\nX-Rainlug-Server-Seal: s.{run}\r\n\r\n"
        ),
        body: body.into(),
        whole: true,
    }
}

fn refusal_of(id: &str) -> Received {
    Received { status: 503, head: "HTTP/1.1 503 No\r\n\r\n".into(), ..answer_of(id, 0, "") }
}

fn events(numbers: std::ops::RangeInclusive<u64>, run: usize) -> String {
    numbers.map(|number| write_event(number, run)).collect()
}

/// Two requests that run once, a stream that was taken up at a second worker and an item that was run twice, all well.
fn sound() -> Recording {
    let mut recording = Recording::default();
    for (id, kind) in [("a", Kind::Once), ("b", Kind::Once), ("s", Kind::ResumableStream), ("i", Kind::Item)]
    {
        let sent = Sent { kind, deadline_ms: 100, body: b"body".to_vec() };
        recording.sent.insert(id.into(), sent);
    }
    recording.runs = vec![
        run_of("a", Kind::Once, 0, "of a"),
        run_of("b", Kind::Once, 0, "of b"),
        run_of("s", Kind::ResumableStream, 0, ""),
        run_of("s", Kind::ResumableStream, 2, ""),
        run_of("i", Kind::Item, 0, ""),
        run_of("i", Kind::Item, 2, ""),
    ];
    recording.items = vec![
        ItemRun {
            id: "i".into(),
            before: 4,
            last_event: 0,
            events: vec![(1, 4), (2, 4)],
            end: RanEnd::Again,
        },
        ItemRun {
            id: "i".into(),
            before: 5,
            last_event: 2,
            events: (3..=EVENTS).map(|event| (event, 5)).collect(),
            end: RanEnd::Complete,
        },
    ];
    let stream = events(1..=2, 2) + &events(3..=EVENTS, 3);
    recording.received =
        vec![answer_of("a", 0, "of a"), answer_of("b", 1, "of b"), answer_of("s", 2, &stream)];
    recording
}

/// What the checker says of the sound recording after this change.
fn after(change: impl FnOnce(&mut Recording)) -> Result<(), Violation> {
    let mut recording = sound();
    change(&mut recording);
    recording.check()
}

#[test]
fn a_sound_recording_passes() {
    assert_eq!(after(|_| {}), Ok(()));
    assert_eq!(after(|r| r.received[0].whole = false), Ok(()), "it was cut, and does not look whole");
    assert_eq!(after(|r| r.received[0] = refusal_of("a")), Err(Violation::FalsePromise("a".into())));
    let turned_away = |r: &mut Recording| {
        r.runs[0].turned_away = true;
        r.received[0] = refusal_of("a");
    };
    assert_eq!(after(turned_away), Ok(()));
}

#[test]
fn answers_that_are_swapped_are_found() {
    let swapped = |r: &mut Recording| {
        let (a, b) = (r.received[0].clone(), r.received[1].clone());
        (r.received[0].head, r.received[0].body) = (b.head, b.body);
        (r.received[1].head, r.received[1].body) = (a.head, a.body);
    };
    assert_eq!(after(swapped), Err(Violation::NotItsOwn("a".into())));
    let bodies = |r: &mut Recording| {
        let body = std::mem::take(&mut r.received[0].body);
        r.received[0].body = std::mem::replace(&mut r.received[1].body, body);
    };
    assert_eq!(after(bodies), Err(Violation::NotTheWhole("a".into())));
    let unsealed = |r: &mut Recording| r.received[0].head = "HTTP/1.1 200 OK\r\n\r\n".into();
    assert_eq!(after(unsealed), Err(Violation::NotItsOwn("a".into())));
    let other_status = |r: &mut Recording| r.received[0].status = 502;
    assert_eq!(after(other_status), Err(Violation::OtherStatus("a".into())));
}

#[test]
fn requests_that_were_sent_twice_or_altered_are_found() {
    let twice = |r: &mut Recording| r.runs.push(run_of("a", Kind::Once, 0, "of a"));
    assert_eq!(after(twice), Err(Violation::RanTwice("a".into())));
    let often =
        |r: &mut Recording| (0..2).for_each(|_| r.runs.push(run_of("s", Kind::ResumableStream, 0, "")));
    assert_eq!(after(often), Err(Violation::TooManyRuns("s".into())));
    for (old, new) in [("POST /m/a", "POST /m/b"), ("i-0", "i-1"), (": 100", ": 101"), ("Id: a", "Id: z")] {
        let altered = |r: &mut Recording| r.runs[0].head = r.runs[0].head.replace(old, new);
        assert_eq!(after(altered), Err(Violation::Altered("a".into())), "{new}");
    }
    assert_eq!(after(|r| r.runs[0].body = b"boDy".to_vec()), Err(Violation::Altered("a".into())));
    assert_eq!(after(|r| r.misplaced = b"dy".to_vec()), Err(Violation::Misplaced));
    assert_eq!(after(|r| r.unasked = b"HTTP".to_vec()), Err(Violation::UnaskedBytes));
}

#[test]
fn what_is_cut_short_and_looks_whole_is_found() {
    let cut = |r: &mut Recording| r.received[0].body.truncate(2);
    assert_eq!(after(cut), Err(Violation::NotTheWhole("a".into())));
    assert_eq!(after(|r| r.runs[0].has_end = false), Err(Violation::NotTheWhole("a".into())));
    let no_end = |r: &mut Recording| r.runs[3].has_end = false;
    assert_eq!(after(no_end), Err(Violation::NotTheWhole("s".into())));
    let ended_by_another = |r: &mut Recording| {
        no_end(r);
        r.runs.push(run_of("s", Kind::ResumableStream, EVENTS, ""));
    };
    assert_eq!(after(ended_by_another), Ok(()));
    let short = |r: &mut Recording| r.received[2].body = events(1..=2, 2).into();
    assert_eq!(after(short), Err(Violation::NotTheWhole("s".into())));
}

#[test]
fn streams_that_are_joined_wrongly_are_found() {
    let disordered = Err(Violation::Disordered("s".into()));
    let body = |text: String| move |r: &mut Recording| r.received[2].body = text.into();
    assert_eq!(after(body(events(1..=2, 2) + &events(4..=EVENTS, 3))), disordered, "one is missing");
    assert_eq!(after(body(events(1..=3, 2) + &events(3..=EVENTS, 3))), disordered, "one came twice");
    assert_eq!(after(body(events(1..=3, 2) + &events(4..=EVENTS, 3))), disordered, "it was asked after 2");
    assert_eq!(after(body(events(1..=2, 2) + "id: 3\nda")), disordered, "half an event");
    assert_eq!(after(body(events(1..=2, 2) + &events(3..=EVENTS, 0))), disordered, "of another request");
    let not_resumable = |r: &mut Recording| {
        r.sent.get_mut("s").unwrap().kind = Kind::OnceStream;
        r.runs.iter_mut().for_each(|run| run.head = run.head.replace("/s/", "/n/"));
        r.runs[3].turned_away = true;
    };
    assert_eq!(after(not_resumable), disordered, "joined though it may not be resumed");
}

#[test]
fn items_that_are_told_wrongly_are_found() {
    let of = |violation: fn(String) -> Violation| Err(violation("i".into()));
    assert_eq!(after(|r| r.items[0].end = RanEnd::Failed), of(Violation::WrongEnd), "no worker said 500");
    assert_eq!(after(|r| r.items[0].end = RanEnd::Never), of(Violation::WrongEnd), "no worker said 422");
    assert_eq!(after(|r| r.items[0].end = RanEnd::Complete), of(Violation::NotTheWhole));
    assert_eq!(after(|r| r.runs[5].has_end = false), of(Violation::NotTheWhole));
    assert_eq!(after(|r| r.items[1].events[0].0 = 4), of(Violation::Disordered), "one is missing");
    assert_eq!(after(|r| r.items[0].events[1].1 = 5), of(Violation::Disordered), "of another run");
    assert_eq!(after(|r| r.items[1].before = 6), of(Violation::WrongEnd), "no worker got it");
}
