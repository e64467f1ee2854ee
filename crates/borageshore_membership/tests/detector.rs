//! The failure detector among a few memberships, with a clock moved by hand.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_membership::{Health, MemberEntry, MemberState, Membership, TICK_MS};

/// Memberships that hear each other at once, except those that are cut off or paused.
struct Zone {
    now_ms: u64,
    daemons: SortedMap<Arc<str>, Membership>,
    silent: Vec<Arc<str>>,
    rounds: u64,
}

impl Zone {
    /// Daemons `d0`, `d1` and so on in these zones; all know `d0` as a seed.
    fn open(zones: &[&str]) -> Self {
        let mut zone = Self {
            now_ms: 0,
            daemons: SortedMap::default(),
            silent: Vec::new(),
            rounds: 0,
        };
        for (number, name) in zones.iter().enumerate() {
            zone.start(number, name, 1);
        }
        zone
    }

    fn start(&mut self, number: usize, zone: &str, incarnation: u64) {
        let name: Arc<str> = format!("d{number}").into();
        let own = MemberEntry {
            name: name.clone(),
            incarnation,
            counter: 0,
            zone: zone.into(),
            http_address: format!("http-{number}").into(),
            peer_address: format!("peer-{number}").into(),
            gossip_address: name.clone(),
            state: MemberState::Live,
        };
        let mut membership = Membership::open(own, vec!["d0".into()], self.now_ms);
        // A daemon that starts asks a peer for everything.
        if let Some(peer) = self.daemons.values().next() {
            let entries: Vec<MemberEntry> =
                peer.entries(self.now_ms).map(|(e, _)| e.clone()).collect();
            for entry in entries {
                membership.on_entry(entry, self.now_ms);
            }
        }
        self.daemons.insert(name, membership);
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now_ms += TICK_MS;
            self.round();
        }
    }

    fn round(&mut self) {
        self.rounds += 1;
        let names: Vec<Arc<str>> = self.daemons.keys().cloned().collect();
        for (at, name) in names.iter().enumerate() {
            if self.silent.contains(name) {
                continue;
            }
            let daemon = self.daemons.get_mut(name).unwrap();
            daemon.advance(self.now_ms);
            let seed = self.rounds.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at as u64;
            for (target, message) in daemon.gossip(seed, self.now_ms) {
                let reached = self
                    .daemons
                    .get_mut(&target)
                    .filter(|_| !self.silent.contains(&target));
                if let Some(reached) = reached {
                    reached.on_message(message, self.now_ms);
                }
            }
        }
    }

    fn health(&self, observer: &str, of: &str) -> Health {
        self.daemons.get(observer).unwrap().health(of, self.now_ms)
    }
}

macro_rules! stories {
    ($($name:ident: $story:expr;)*) => {
        $(#[test] fn $name() { $story })*
    };
}

stories! {
    everybody_hears_of_everybody: {
        let mut zone = Zone::open(&["a", "a", "a", "b", "b", "c"]);
        zone.run(20);
        for number in 1..6 {
            assert_eq!(zone.health("d0", &format!("d{number}")), Health::Alive);
        }
    };

    // A daemon dies without a word. Callers must get no new address of it after a few seconds; first
    // it is suspected and gets no new work, then its zone declares it dead for the other zones too.
    silence_is_suspected_before_death: {
        let mut zone = Zone::open(&["a", "a", "a", "b"]);
        zone.run(20);
        zone.silent.push("d1".into());
        zone.run(6);
        assert_eq!(zone.health("d0", "d1"), Health::Suspect);
        let listed = zone.daemons.get("d0").unwrap().address_list("caller", 9);
        assert!(!listed.contains(&"http-1".into()), "{listed:?}");
        zone.run(10);
        assert_eq!(zone.health("d0", "d1"), Health::Dead);
        assert_eq!(zone.health("d3", "d1"), Health::Dead);
    };

    // A daemon is paused for a minute (SIGSTOP, a stalled VM). When it wakes up it has heard of nobody
    // for a minute, but the fault is its own: it must not declare the others dead.
    own_pause_blames_nobody: {
        let mut zone = Zone::open(&["a", "a", "a", "a"]);
        zone.run(20);
        zone.silent.push("d0".into());
        zone.run(60);
        zone.silent.clear();
        let now_ms = zone.now_ms;
        let woken = zone.daemons.get_mut("d0").unwrap();
        woken.advance(now_ms);
        for number in 1..4 {
            assert_eq!(woken.health(&format!("d{number}"), now_ms), Health::Alive);
        }
        zone.run(20);
        assert_eq!(zone.health("d3", "d0"), Health::Alive, "it is taken back after its own death");
    };

    // A daemon loses its network. From there all others look dead; it must not spread that, and after
    // the repair everybody sees everybody again.
    cut_off_daemon_spreads_no_verdict: {
        let mut zone = Zone::open(&["a", "a", "a", "a"]);
        zone.run(20);
        let others = ["d1", "d2", "d3"].map(Arc::from);
        zone.silent.extend(others);
        zone.run(30);
        assert_eq!(zone.health("d0", "d1"), Health::Dead, "it avoids them itself");
        let spread = zone.daemons.get("d0").unwrap().entries(0);
        assert!(spread.into_iter().all(|(entry, _)| entry.state != MemberState::Dead));
        zone.silent.clear();
        zone.run(30);
        for (observer, of) in [("d0", "d1"), ("d1", "d0"), ("d2", "d3")] {
            assert_eq!(zone.health(observer, of), Health::Alive);
        }
    };

    // A daemon leaves gracefully. It is no longer listed as soon as its word arrives, long before any
    // silence could tell.
    leaving_is_known_at_once: {
        let mut zone = Zone::open(&["a", "a", "a"]);
        zone.run(20);
        zone.daemons.get_mut("d1").unwrap().leave();
        let now_ms = zone.now_ms;
        for (target, message) in zone.daemons.get("d1").unwrap().final_messages(now_ms) {
            zone.daemons.get_mut(&target).unwrap().on_message(message, now_ms);
        }
        let listed = zone.daemons.get("d0").unwrap().address_list("caller", 9);
        assert_eq!(listed.len(), 2, "{listed:?}");
    };

    // A killed daemon is started anew at once. Its new incarnation replaces the old one everywhere,
    // also where old gossip of the first life still goes around.
    new_incarnation_replaces_the_old: {
        let mut zone = Zone::open(&["a", "a", "a", "b", "b"]);
        zone.run(20);
        zone.start(1, "a", 2);
        zone.run(20);
        for observer in ["d0", "d2", "d3", "d4"] {
            let seen = zone.daemons.get(observer).unwrap().entry("d1").unwrap();
            assert_eq!(seen.incarnation, 2, "{observer}");
        }
    };

    // Caller lists are stable and spread: the same caller gets the same list, and no daemon is first
    // for everybody.
    lists_are_stable_and_spread: {
        let mut zone = Zone::open(&["a", "a", "a", "a", "b", "b"]);
        zone.run(20);
        let daemon = zone.daemons.get("d0").unwrap();
        assert_eq!(daemon.address_list("x", 3), daemon.address_list("x", 3));
        let mut firsts: Vec<Arc<str>> =
            (0..64).map(|caller| daemon.address_list(&format!("{caller}"), 3)[0].clone()).collect();
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), 4, "the zone's four daemons share the callers: {firsts:?}");
    };

    // A daemon is stopped and started anew. Its zone hears of the new incarnation at once, before it
    // has any settings; a caller sent there then would be refused. It is listed only once it is ready.
    starting_daemon_is_not_listed: {
        let mut zone = Zone::open(&["a", "a", "a"]);
        zone.run(20);
        zone.start(1, "a", 2);
        zone.daemons.get_mut("d1").unwrap().leave();
        zone.run(10);
        let listed = |zone: &Zone| zone.daemons.get("d0").unwrap().address_list("caller", 9).len();
        assert_eq!(listed(&zone), 2);
        zone.daemons.get_mut("d1").unwrap().enter();
        zone.run(10);
        assert_eq!(listed(&zone), 3);
    };
}
