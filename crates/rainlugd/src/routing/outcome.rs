//! What the end of a connection means for the assignment on it.

use rainlug::Outcome;

use crate::transport::End;

/// The one place where it is told. A task may have run once its last byte was handed over, and not before.
pub fn outcome(end: End) -> Outcome {
    match end {
        End::Done => Outcome::Finished,
        End::Failed => Outcome::Failed,
        End::Returned => Outcome::Full,
        End::Refused | End::NeverUp | End::Unwritten => Outcome::Unreachable,
        End::NoRoom | End::Unsent => Outcome::NeverSent,
        End::Lost | End::Broken | End::Closed | End::Malformed | End::TooLarge => Outcome::Reset,
        End::TimedOut => Outcome::TimedOut,
        End::GivenUp => Outcome::Withdrawn,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_cannot_have_run_is_said_never_to_have() {
        let never = [End::Returned, End::Refused, End::NeverUp, End::Unwritten, End::NoRoom, End::Unsent];
        let maybe = [
            End::Done,
            End::Failed,
            End::Lost,
            End::Broken,
            End::Closed,
            End::Malformed,
            End::TooLarge,
            End::TimedOut,
            End::GivenUp,
        ];
        assert!(never.iter().all(|e| outcome(*e).never_ran()));
        assert!(maybe.iter().all(|e| !outcome(*e).never_ran()));
        assert!(maybe[1..].iter().all(|e| outcome(*e) != Outcome::Finished));
    }
}
