//! The phases of a process, by what it is told.

use rainlug::{SECOND, Time};
use rainlug_handover::{Follower, IDLE_CLOSED_WITHIN, IDLE_LINGER, Listening, Phase};

#[test]
fn emptied_it_says_no_lets_idle_ones_go_in_time_and_can_be_filled_at_any_point() {
    let mut phase = Phase::default();
    let serving = phase.stance();
    assert!(serving.ready && serving.keeps && serving.idle.is_none());
    assert_eq!(serving.listening, Listening::Accepts);
    phase.empty(SECOND);
    let emptied = phase.stance();
    assert!(!emptied.ready && !emptied.keeps && emptied.listening == Listening::Accepts);
    assert!(emptied.idle.is_some_and(|(_, by)| by < SECOND + 2 * SECOND));
    phase.empty(5 * SECOND);
    assert_eq!(phase.stance(), emptied, "a second word does not begin it anew");
    phase.fill();
    assert_eq!(phase.stance(), serving);
    phase.fill();
    assert_eq!(phase.stance(), serving);
}

#[test]
fn a_stop_goes_on_to_the_end_whatever_is_said_then() {
    for emptied in [false, true] {
        let mut phase = Phase::default();
        if emptied {
            phase.empty(0);
        }
        phase.stop(SECOND);
        phase.fill();
        phase.stop(2 * SECOND);
        let stance = phase.stance();
        assert!(!stance.ready && !stance.keeps);
        assert_eq!((stance.idle, stance.listening), (Some((0, SECOND)), Listening::Accepts));
        // With a process that follows, nobody is hurried, and new ones are its own.
        for (by, listening) in
            [(Follower::SameSocket, Listening::Paused), (Follower::OwnSocket, Listening::Closes)]
        {
            phase.followed(by);
            let stance = phase.stance();
            let idle = (IDLE_LINGER, SECOND + IDLE_CLOSED_WITHIN);
            assert_eq!((stance.idle, stance.listening), (Some(idle), listening));
        }
    }
}

/// What a client sends on a connection while it is closed is lost: it is passed on where another process goes on with it.
#[test]
fn given_a_process_that_stops_when_another_goes_on_then_idle_connections_are_passed_to_it_unless_clients_are_sent_away()
 {
    for (emptied, followed) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut phase = Phase::default();
        if emptied {
            phase.empty(0);
        }
        phase.followed(if followed { Follower::SameSocket } else { Follower::Absent });
        assert!(!phase.stance().passes_connections, "it goes on itself");
        phase.stop(SECOND);
        assert_eq!(phase.stance().passes_connections, followed && !emptied);
    }
}

#[test]
fn who_follows_takes_the_clients_over_and_gives_them_back_where_it_dies() {
    for by in [Follower::SameSocket, Follower::OwnSocket] {
        let mut phase = Phase::default();
        phase.followed(by);
        assert!(phase.stance().ready && !phase.stance().keeps && phase.stance().idle.is_none());
        phase.followed(Follower::Absent);
        assert_eq!(phase.stance(), Phase::default().stance());
    }
}

#[test]
fn given_a_stop_under_a_shared_socket_when_the_follower_dies_then_connections_are_accepted_again() {
    let mut phase = Phase::default();
    phase.stop(SECOND);
    phase.followed(Follower::SameSocket);
    assert_eq!(phase.stance().listening, Listening::Paused);
    phase.followed(Follower::Absent);
    assert_eq!(phase.stance().listening, Listening::Accepts);
}

#[test]
fn given_a_stop_without_a_follower_when_newcomers_are_refused_then_the_listener_is_closed() {
    let mut phase = Phase::default();
    phase.refuse_newcomers();
    assert_eq!(phase.stance().listening, Listening::Accepts, "it does not stop");
    phase.stop(SECOND);
    assert_eq!(phase.stance().listening, Listening::Closes);
    phase.followed(Follower::SameSocket);
    assert_eq!(phase.stance().listening, Listening::Paused);
}

/// All orders of up to seven words, against a plain reading of them.
#[test]
fn every_order_of_words_ends_where_a_plain_reading_does() {
    type Say = fn(&mut Phase, Time);
    let words: [Say; 6] = [
        |p, at| p.empty(at),
        |p, _| p.fill(),
        |p, at| p.stop(at),
        |p, _| p.followed(Follower::Absent),
        |p, _| p.followed(Follower::SameSocket),
        |p, _| p.followed(Follower::OwnSocket),
    ];
    for order in 0..6_usize.pow(7) {
        let said: Vec<usize> = (0..7).map(|n| order / 6_usize.pow(n) % 6).collect();
        let mut phase = Phase::default();
        said.iter().enumerate().for_each(|(at, w)| words[*w](&mut phase, at as Time * SECOND));
        let stopped = said.iter().position(|w| *w == 2);
        let emptied = said.iter().rposition(|w| *w == 1).map_or(0, |at| at + 1);
        let emptied = said[emptied..].iter().position(|w| *w == 0).map(|at| emptied + at);
        let follower = said.iter().rev().find(|w| **w > 2).copied().unwrap_or(3);
        let followed = follower > 3;
        let stance = phase.stance();
        assert_eq!(stance.ready, stopped.is_none() && emptied.is_none(), "{said:?}");
        assert_eq!(stance.keeps, stance.ready && !followed, "{said:?}");
        let accepts = stopped.is_none() || !followed;
        assert_eq!(stance.listening == Listening::Accepts, accepts, "{said:?}");
        assert_eq!(stance.listening == Listening::Closes, !accepts && follower == 5, "{said:?}");
        let by = stopped.or(emptied).map(|at| at as Time * SECOND);
        assert_eq!(stance.idle.is_some(), by.is_some(), "{said:?}");
        assert!(stance.idle.is_none_or(|(_, end)| by.is_some_and(|by| (by..by + 2 * SECOND).contains(&end))));
    }
}
