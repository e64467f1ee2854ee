//! The gossip failure detector among a few daemons with a simulated clock and network.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_membership::{GOSSIP_INTERVAL_MS, Health, MemberEntry, MemberState, Membership};

/// Daemons that receive messages without delay, except those that are disconnected or paused.
struct Cluster {
    now_ms: u64,
    daemons: SortedMap<Arc<str>, Membership>,
    disconnected: Vec<Arc<str>>,
    rounds: u64,
}

impl Cluster {
    /// Starts daemons `d0`, `d1` and so on in the given zones, with `d0` as the seed of all.
    fn open(zones: &[&str]) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            daemons: SortedMap::default(),
            disconnected: Vec::new(),
            rounds: 0,
        };
        for (number, zone) in zones.iter().enumerate() {
            cluster.start(number, zone, 1);
        }
        cluster
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
        // A starting daemon fetches all entries from a peer.
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
            self.now_ms += GOSSIP_INTERVAL_MS;
            self.round();
        }
    }

    fn round(&mut self) {
        self.rounds += 1;
        let names: Vec<Arc<str>> = self.daemons.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            if self.disconnected.contains(name) {
                continue;
            }
            let daemon = self.daemons.get_mut(name).unwrap();
            daemon.advance(self.now_ms);
            let seed = self.rounds.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index as u64;
            for (target, message) in daemon.gossip(seed, self.now_ms) {
                let reached = self
                    .daemons
                    .get_mut(&target)
                    .filter(|_| !self.disconnected.contains(&target));
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

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    every_daemon_learns_of_every_other: {
        let mut cluster = Cluster::open(&["a", "a", "a", "b", "b", "c"]);
        cluster.run(20);
        for number in 1..6 {
            assert_eq!(cluster.health("d0", &format!("d{number}")), Health::Alive);
        }
    };

    // Guards against callers that are sent to a crashed daemon: it is unlisted as soon as it is suspected, and
    // other zones learn of its death.
    a_silent_daemon_is_suspected_before_it_is_dead: {
        let mut cluster = Cluster::open(&["a", "a", "a", "b"]);
        cluster.run(20);
        cluster.disconnected.push("d1".into());
        cluster.run(6);
        assert_eq!(cluster.health("d0", "d1"), Health::Suspect);
        let listed = cluster.daemons.get("d0").unwrap().address_list("caller", 9);
        assert!(!listed.contains(&"http-1".into()), "{listed:?}");
        cluster.run(10);
        assert_eq!(cluster.health("d0", "d1"), Health::Dead);
        assert_eq!(cluster.health("d3", "d1"), Health::Dead);
    };

    // Guards against a daemon that resumes after a pause (SIGSTOP, a stalled VM) and declares all others dead.
    a_paused_daemon_declares_no_other_dead: {
        let mut cluster = Cluster::open(&["a", "a", "a", "a"]);
        cluster.run(20);
        cluster.disconnected.push("d0".into());
        cluster.run(60);
        cluster.disconnected.clear();
        let now_ms = cluster.now_ms;
        let resumed = cluster.daemons.get_mut("d0").unwrap();
        resumed.advance(now_ms);
        for number in 1..4 {
            assert_eq!(resumed.health(&format!("d{number}"), now_ms), Health::Alive);
        }
        cluster.run(20);
        assert_eq!(cluster.health("d3", "d0"), Health::Alive, "it is taken back after its own death");
    };

    // Guards against a daemon without network that declares all others dead and spreads this once it reconnects.
    an_isolated_daemon_does_not_spread_deaths: {
        let mut cluster = Cluster::open(&["a", "a", "a", "a"]);
        cluster.run(20);
        let others = ["d1", "d2", "d3"].map(Arc::from);
        cluster.disconnected.extend(others);
        cluster.run(30);
        assert_eq!(cluster.health("d0", "d1"), Health::Dead, "it avoids them itself");
        let known = cluster.daemons.get("d0").unwrap().entries(0);
        assert!(known.into_iter().all(|(entry, _)| entry.state != MemberState::Dead));
        cluster.disconnected.clear();
        cluster.run(30);
        for (observer, of) in [("d0", "d1"), ("d1", "d0"), ("d2", "d3")] {
            assert_eq!(cluster.health(observer, of), Health::Alive);
        }
    };

    // Guards against listing a daemon that stops gracefully until its heartbeats time out.
    leaving_is_known_at_once: {
        let mut cluster = Cluster::open(&["a", "a", "a"]);
        cluster.run(20);
        cluster.daemons.get_mut("d1").unwrap().leave();
        let now_ms = cluster.now_ms;
        for (target, message) in cluster.daemons.get("d1").unwrap().final_messages(now_ms) {
            cluster.daemons.get_mut(&target).unwrap().on_message(message, now_ms);
        }
        let listed = cluster.daemons.get("d0").unwrap().address_list("caller", 9);
        assert_eq!(listed.len(), 2, "{listed:?}");
    };

    // Guards against gossip about the previous incarnation that hides a restarted daemon.
    new_incarnation_replaces_the_old: {
        let mut cluster = Cluster::open(&["a", "a", "a", "b", "b"]);
        cluster.run(20);
        cluster.start(1, "a", 2);
        cluster.run(20);
        for observer in ["d0", "d2", "d3", "d4"] {
            let seen = cluster.daemons.get(observer).unwrap().entry("d1").unwrap();
            assert_eq!(seen.incarnation, 2, "{observer}");
        }
    };

    // Guards against lists that change between calls and against one daemon that is first for all callers.
    address_lists_are_stable_and_spread: {
        let mut cluster = Cluster::open(&["a", "a", "a", "a", "b", "b"]);
        cluster.run(20);
        let daemon = cluster.daemons.get("d0").unwrap();
        assert_eq!(daemon.address_list("x", 3), daemon.address_list("x", 3));
        let mut firsts: Vec<Arc<str>> =
            (0..64).map(|caller| daemon.address_list(&format!("{caller}"), 3)[0].clone()).collect();
        firsts.sort();
        firsts.dedup();
        assert_eq!(firsts.len(), 4, "the zone's four daemons share the callers: {firsts:?}");
    };

    // Guards against callers that are sent to a restarted daemon before it has settings and are refused.
    starting_daemon_is_not_listed: {
        let mut cluster = Cluster::open(&["a", "a", "a"]);
        cluster.run(20);
        cluster.start(1, "a", 2);
        cluster.daemons.get_mut("d1").unwrap().leave();
        cluster.run(10);
        let listed = |cluster: &Cluster| cluster.daemons.get("d0").unwrap().address_list("caller", 9).len();
        assert_eq!(listed(&cluster), 2);
        cluster.daemons.get_mut("d1").unwrap().enter();
        cluster.run(10);
        assert_eq!(listed(&cluster), 3);
    };
}
