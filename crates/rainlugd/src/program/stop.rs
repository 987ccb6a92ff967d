//! The end of a process: all that it has taken on is answered first.

use std::time::Duration;

use rainlug::Time;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::base::Clock;
use crate::routing::{Beside, FILES_TIMEOUT, Mail, Stances, ToModule, UnderWay};
use crate::transport::Room;

/// New connections still come for so long after the word to stop.
const LAST_CLIENTS: Duration = Duration::from_millis(500);
/// Where nobody follows, none is taken after this time: clients that come again and again would keep the process for good.
const NO_MORE_CLIENTS: Duration = Duration::from_millis(1500);
/// How often it is looked whether the last client has gone.
const LOOK: Duration = Duration::from_millis(10);

/// What a process has taken on.
pub struct InHand {
    /// The seats of clients.
    pub clients: Room,
    /// The task that accepts clients; it ends when the listener is closed and all that waited there have seats.
    pub accepting: Option<JoinHandle<()>>,
    /// Calls at the second address.
    pub calls: UnderWay,
}

impl InHand {
    fn is_empty(&self, stances: &Stances) -> bool {
        let is_closed = self.accepting.as_ref().is_none_or(JoinHandle::is_finished);
        self.clients.empty() && (is_closed || !stances.closes_listener())
    }
}

/// Tells the other processes that this one is to end, and looks who takes its clients.
///
/// A supervisor ends the old process as soon as the new one serves, between two looks at the others: idle connections must not
/// be closed at once, as they are where nobody follows, nor may the fleet hear of an end before it hears of the new process.
pub async fn tell_others(stances: &Stances, others: &Beside) {
    let told = async {
        others.stops().await;
        stances.followed(others.follower().await);
    };
    // As of the last look, where the disk stalls.
    let _ = timeout(FILES_TIMEOUT, told).await;
}

/// After the word to stop: ends when every task has its answer and no client is left. Where another process takes the
/// clients, none comes here any more.
pub async fn wind_up(
    stances: &Stances,
    beside: Option<&Beside>,
    clock: Clock,
    module: ToModule,
    within: Time,
    in_hand: InHand,
) {
    let begun = Instant::now();
    log!("stopping: all answers within {within} us");
    stances.stop();
    let _ = module.send(Mail::Closing(clock.now() + within)).await;
    let mut unfollowed_since = begun;
    loop {
        if stances.is_followed() {
            unfollowed_since = Instant::now();
        }
        let unfollowed = unfollowed_since.elapsed();
        if unfollowed >= NO_MORE_CLIENTS || (unfollowed >= LAST_CLIENTS && in_hand.is_empty(stances)) {
            stances.refuse_newcomers();
        }
        if !stances.takes_newcomers() && in_hand.is_empty(stances) {
            break;
        }
        sleep(LOOK).await;
    }
    let by = begun + Duration::from_micros(within as u64);
    // A word that binds and whose caller is not told so would be doubted.
    while !in_hand.calls.is_empty() && Instant::now() < by {
        sleep(LOOK).await;
    }
    if let Some(others) = beside {
        let _ = timeout_at(by, outlive(others, begun, || in_hand.is_empty(stances))).await;
        log!("{} idle connections passed on", others.passed_connections());
    }
}

/// Waits for the other processes that are to end: for older ones until they have ended, and for what others pass on.
async fn outlive(others: &Beside, begun: Instant, is_empty: impl Fn() -> bool) {
    // An upgrade that is stopped in the middle: for whoever started both this one is the dispatcher, and with its end
    // the older one would be ended too, before it has answered what it holds.
    if !others.outlived().await {
        log!("waiting for an older process that still answers");
    }
    loop {
        // One that stops beside this one may have taken it for the one that goes on, before it was told: a newer one, too.
        let is_alone = if begun.elapsed() < LAST_CLIENTS {
            !others.another_stops().await
        } else {
            others.outlived().await
        };
        // Last of all: nobody passes anything after that.
        if is_alone && others.has_taken_connections() && is_empty() {
            break;
        }
        sleep(LOOK).await;
    }
}
