//! How the leader of a shard of primitives has answered, for metrics.

/// A kind of answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrimitiveAnswer {
    Granted,
    Held,
    Renewed,
    Lost,
    Released,
    Number,
    Put,
    Conflict,
    KeyRead,
    WatchRead,
    WatchTooOld,
    Overloaded,
}

impl PrimitiveAnswer {
    /// All kinds, in the order of the metrics.
    const ALL: [PrimitiveAnswer; 12] = [
        PrimitiveAnswer::Granted,
        PrimitiveAnswer::Held,
        PrimitiveAnswer::Renewed,
        PrimitiveAnswer::Lost,
        PrimitiveAnswer::Released,
        PrimitiveAnswer::Number,
        PrimitiveAnswer::Put,
        PrimitiveAnswer::Conflict,
        PrimitiveAnswer::KeyRead,
        PrimitiveAnswer::WatchRead,
        PrimitiveAnswer::WatchTooOld,
        PrimitiveAnswer::Overloaded,
    ];

    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            PrimitiveAnswer::Granted => "locks_granted",
            PrimitiveAnswer::Held => "locks_refused",
            PrimitiveAnswer::Renewed => "locks_renewed",
            PrimitiveAnswer::Lost => "locks_lost",
            PrimitiveAnswer::Released => "locks_released",
            PrimitiveAnswer::Number => "numbers",
            PrimitiveAnswer::Put => "puts",
            PrimitiveAnswer::Conflict => "puts_refused",
            PrimitiveAnswer::KeyRead => "key_reads",
            PrimitiveAnswer::WatchRead => "watches_answered",
            PrimitiveAnswer::WatchTooOld => "watches_too_old",
            PrimitiveAnswer::Overloaded => "calls_overloaded",
        }
    }
}

/// How many answers of each kind this process has given for a shard since it began.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrimitiveAnswers([u64; PrimitiveAnswer::ALL.len()]);

impl PrimitiveAnswers {
    /// Counts one more.
    pub fn count(&mut self, answer: PrimitiveAnswer) {
        if let Some(count) = self.0.get_mut(answer as usize) {
            *count += 1;
        }
    }

    /// The name of each kind with its count.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        PrimitiveAnswer::ALL.into_iter().map(PrimitiveAnswer::name).zip(self.0)
    }
}
