//! A relay in front of each fleet address. What one process sends another arrives here, goes through the way between the two
//! with its faults, and comes from the sender's own relay: so each ordered pair is a way of its own, and the address that a
//! process sees is the one that it was told.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::script::Link;

/// What relays have seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    pub datagrams: u64,
    pub bytes: u64,
    pub lost: u64,
    pub longest: usize,
}

struct Way {
    chance: ChaCha8Rng,
    link: Option<Link>,
}

pub struct Relays {
    /// Processes of one dispatcher are so many places apart, and have its ways in common.
    dispatchers: usize,
    sockets: Vec<Rc<UdpSocket>>,
    /// Where the process behind each relay listens.
    listen: Vec<SocketAddr>,
    seed: u64,
    base: Link,
    ways: RefCell<BTreeMap<(usize, usize), Way>>,
    carried: RefCell<Carried>,
}

impl Relays {
    /// A relay at each `front` for the process that listens at the `listen` of the same number.
    pub async fn start(
        front: &[SocketAddr],
        listen: Vec<SocketAddr>,
        dispatchers: usize,
        base: Link,
        seed: u64,
    ) -> io::Result<Rc<Self>> {
        let mut sockets = Vec::new();
        for at in front {
            sockets.push(Rc::new(UdpSocket::bind(at).await?));
        }
        let numbers: Rc<HashMap<SocketAddr, usize>> =
            Rc::new(listen.iter().enumerate().map(|(n, at)| (*at, n)).collect());
        let relays = Rc::new(Relays {
            dispatchers,
            sockets,
            listen,
            seed,
            base,
            ways: RefCell::default(),
            carried: RefCell::default(),
        });
        for to in 0..relays.sockets.len() {
            let (relays, numbers) = (relays.clone(), numbers.clone());
            spawn_local(async move {
                let mut buffer = vec![0; 65_536];
                loop {
                    let Ok((length, from)) = relays.sockets[to].recv_from(&mut buffer).await else {
                        continue;
                    };
                    // Who is no process of the rig goes through unchanged: garbage is to arrive.
                    match numbers.get(&from) {
                        Some(from) => relays.carry(*from, to, &buffer[..length]),
                        None => drop(relays.sockets[to].try_send_to(&buffer[..length], relays.listen[to])),
                    }
                }
            });
        }
        Ok(relays)
    }

    /// The way from one process to another from now on; as at first where there is none.
    pub fn set(&self, from: usize, to: usize, link: Option<Link>) {
        self.way(&mut self.ways.borrow_mut(), from, to).link = link;
    }

    pub fn heal(&self) {
        self.ways.borrow_mut().values_mut().for_each(|w| w.link = None);
    }

    pub fn carried(&self) -> Carried {
        *self.carried.borrow()
    }

    fn way<'a>(&self, ways: &'a mut BTreeMap<(usize, usize), Way>, from: usize, to: usize) -> &'a mut Way {
        // Chances belong to the way: what happens on one does not change what is drawn on another.
        let seed = self.seed ^ ((from as u64) << 32 | to as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        ways.entry((from, to)).or_insert_with(|| Way { chance: ChaCha8Rng::seed_from_u64(seed), link: None })
    }

    fn carry(&self, from: usize, to: usize, datagram: &[u8]) {
        let mut ways = self.ways.borrow_mut();
        let way = self.way(&mut ways, from % self.dispatchers, to % self.dispatchers);
        let link = way.link.unwrap_or(self.base);
        let mut carried = self.carried.borrow_mut();
        carried.datagrams += 1;
        carried.bytes += datagram.len() as u64;
        carried.longest = carried.longest.max(datagram.len());
        // As many draws for each datagram, whatever comes of it.
        let [loss, twice, corrupt, spread, bit] = std::array::from_fn(|_| way.chance.random::<f64>());
        if link.cut || loss < link.loss {
            carried.lost += 1;
            return;
        }
        let mut payload = datagram.to_vec();
        if corrupt < link.corrupt && !payload.is_empty() {
            let nth = (bit * payload.len() as f64) as usize;
            payload[nth] ^= 1 << (nth % 8);
        }
        let (socket, at) = (self.sockets[from].clone(), self.listen[to]);
        let wait = Duration::from_secs_f64((link.delay_ms + spread * link.spread_ms) / 1000.0);
        let times = 1 + usize::from(twice < link.twice);
        if wait.is_zero() {
            (0..times).for_each(|_| drop(socket.try_send_to(&payload, at)));
            return;
        }
        spawn_local(async move {
            sleep(wait).await;
            (0..times).for_each(|_| drop(socket.try_send_to(&payload, at)));
        });
    }
}
