//! The client's side of an exchange: waiting no longer than the client does, and writing to it.

use std::cell::Cell;

use tokio::time::Instant;

use super::{Exchange, Stop};

impl Exchange<'_> {
    /// Waits for something until then, or until the client has gone.
    pub async fn wait<T>(&mut self, what: impl Future<Output = T>, until: Instant) -> Result<T, Stop> {
        let (timer, client) = (&mut self.timer, &mut self.client);
        // It is set anew only where it would come too late.
        if timer.deadline() > until || timer.is_elapsed() {
            timer.as_mut().reset(until);
        }
        tokio::pin!(what);
        let left = async {
            match client {
                Some(client) => client.departed().await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(left);
        loop {
            tokio::select! {
                biased;
                got = &mut what => return Ok(got),
                () = &mut left => return Err(Stop::Left),
                () = timer.as_mut() => {
                    if Instant::now() >= until {
                        return Err(Stop::Over);
                    }
                    timer.as_mut().reset(until);
                }
            }
        }
    }

    /// Writes to the client, which has until then to take it.
    pub(super) async fn tell(&mut self, parts: &[&[u8]], until: Instant) -> bool {
        let Some(client) = self.client.as_mut() else { return true };
        let timer = &mut self.timer;
        if timer.deadline() > until || timer.is_elapsed() {
            timer.as_mut().reset(until);
        }
        let written = Cell::new(0);
        let write = client.write(parts, &written);
        tokio::pin!(write);
        loop {
            tokio::select! {
                biased;
                sent = &mut write => return sent.is_ok(),
                () = timer.as_mut() => {
                    if Instant::now() >= until {
                        return false;
                    }
                    timer.as_mut().reset(until);
                }
            }
        }
    }
}
