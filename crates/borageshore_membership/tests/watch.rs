//! Detection time and false suspicions of the heartbeat watch, in a simulation of many daemons.

use std::{collections::BTreeMap, sync::Arc};

use borageshore_membership::{
    HEARTBEAT_INTERVAL_MS, HEARTBEAT_LOG_TIMEOUT_MS, Presence, PresenceState, PresenceTable,
    Suspicion, WATCHER_LOG_TIMEOUT_MS, WatchRing, WatchTable,
};

/// The time step of the simulation.
const STEP_MS: u64 = 10;
/// The interval between two reads of the log.
const READ_INTERVAL_MS: u64 = 50;
/// The time by which all daemons know each other.
const WARM_UP_MS: u64 = 3_000;
/// The bound on detection: the heartbeat timeout, a check interval, an append, a read and the suspicion timeout.
const MAX_DETECTION_MS: u64 = 1_300;

#[derive(Debug, Clone)]
enum Record {
    Own(Presence),
    Suspect(Suspicion),
}

/// The simulated state of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    /// The process or its VM is gone.
    Dead,
    /// The process is paused.
    Frozen,
    /// The daemon can neither read nor append to the log.
    CutFromLog,
    /// None of the daemon's datagrams arrives.
    HeartbeatsLost,
}

/// A daemon in one of `zones` zones, whose peer address is its number.
fn presence(number: usize, zones: usize) -> Presence {
    Presence {
        name: format!("vm-{number}").into(),
        incarnation: 1,
        zone: format!("z{}", number % zones).into(),
        http_address: "".into(),
        peer_address: format!("{number}").into(),
        state: PresenceState::Ready,
        capacity_percent: 50,
        holds: Vec::new(),
    }
}

#[derive(Debug)]
struct Daemon {
    own: Presence,
    state: State,
    table: PresenceTable,
    watch: WatchTable,
    ring: WatchRing,
    ring_changes: Option<u64>,
    next_record: usize,
    last_read_ms: u64,
    last_append_ms: u64,
    /// How many suspicions the daemon has refuted.
    refutations: usize,
}

/// Daemons, their log, and a network without delay.
#[derive(Debug)]
struct Simulation {
    now_ms: u64,
    daemons: Vec<Daemon>,
    log: Vec<Record>,
    is_log_up: bool,
    suspicions: usize,
}

impl Simulation {
    fn start(daemons: usize, zones: usize) -> Self {
        let daemon = |number: usize| Daemon {
            own: presence(number, zones),
            state: State::Running,
            table: PresenceTable::default(),
            watch: WatchTable::default(),
            ring: WatchRing::default(),
            ring_changes: None,
            next_record: 0,
            last_read_ms: 0,
            last_append_ms: 0,
            refutations: 0,
        };
        let mut simulation = Self {
            now_ms: 0,
            daemons: (0..daemons).map(daemon).collect(),
            log: Vec::new(),
            is_log_up: true,
            suspicions: 0,
        };
        let own = simulation.daemons.iter().map(|daemon| daemon.own.clone());
        simulation.log = own.map(Record::Own).collect();
        simulation.run_until(WARM_UP_MS);
        simulation
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            for number in 0..self.daemons.len() {
                self.step(number);
            }
        }
    }

    fn step(&mut self, number: usize) {
        if matches!(self.daemons[number].state, State::Dead | State::Frozen) {
            return;
        }
        // Daemons check and read at different times.
        let staggered_ms = self.now_ms + number as u64 * STEP_MS;
        let reaches_log = self.is_log_up && self.daemons[number].state != State::CutFromLog;
        if staggered_ms.is_multiple_of(READ_INTERVAL_MS) && reaches_log {
            self.read_log(number);
        }
        if staggered_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.check_heartbeats(number);
        }
    }

    fn read_log(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[number];
        daemon.table.on_read(now_ms);
        daemon.last_read_ms = now_ms;
        let mut is_suspected = false;
        for record in &self.log[daemon.next_record..] {
            match record {
                Record::Own(presence) => {
                    daemon.watch.on_record(&presence.name, now_ms);
                    daemon.table.on_presence(presence.clone());
                }
                Record::Suspect(suspicion) if suspicion.name == daemon.own.name => {
                    is_suspected = true;
                }
                Record::Suspect(suspicion) => {
                    daemon.table.on_suspicion(suspicion, now_ms);
                    daemon.watch.on_suspicion(&suspicion.name);
                }
            }
        }
        daemon.next_record = self.log.len();
        let is_due = now_ms >= daemon.last_append_ms + daemon.table.record_interval_ms();
        if is_suspected || is_due {
            daemon.last_append_ms = now_ms;
            daemon.refutations += usize::from(is_suspected);
            self.log.push(Record::Own(daemon.own.clone()));
        }
    }

    fn check_heartbeats(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[number];
        daemon.table.advance(now_ms);
        if daemon.ring_changes != Some(daemon.table.changes()) {
            daemon.ring_changes = Some(daemon.table.changes());
            daemon.ring = WatchRing::of(daemon.table.live());
            let watched = daemon.ring.watched_by(&daemon.own.name);
            daemon.watch.set_watched(watched, now_ms);
        }
        let log_silent_ms = now_ms - daemon.last_read_ms;
        if log_silent_ms < WATCHER_LOG_TIMEOUT_MS {
            let silent = daemon.watch.take_silent(now_ms);
            let by = daemon.own.name.clone();
            for name in silent {
                self.suspicions += 1;
                let by = by.clone();
                self.log.push(Record::Suspect(Suspicion {
                    name,
                    incarnation: 1,
                    by,
                }));
            }
        } else {
            daemon.watch.on_log_unreachable(now_ms);
        }
        let daemon = &self.daemons[number];
        if log_silent_ms < HEARTBEAT_LOG_TIMEOUT_MS && daemon.state != State::HeartbeatsLost {
            let name = daemon.own.name.clone();
            for watcher in daemon.ring.watchers_of(&name) {
                let watcher = &mut self.daemons[watcher.parse::<usize>().unwrap()];
                if !matches!(watcher.state, State::Dead | State::Frozen) {
                    watcher.watch.on_heartbeat(&name, now_ms);
                }
            }
        }
    }

    fn set(&mut self, state: State, is_selected: impl Fn(usize, &Daemon) -> bool) {
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            if is_selected(number, daemon) {
                daemon.state = state;
            }
        }
    }

    fn names(&self, is_selected: impl Fn(&Daemon) -> bool) -> Vec<Arc<str>> {
        let selected = self.daemons.iter().filter(|daemon| is_selected(daemon));
        let mut names: Vec<Arc<str>> = selected.map(|daemon| daemon.own.name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// The time until all daemons that reach the log agree that exactly these are alive.
    fn convergence_ms(&mut self, within_ms: u64) -> u64 {
        let since_ms = self.now_ms;
        let is_expected_live =
            |daemon: &Daemon| matches!(daemon.state, State::Running | State::HeartbeatsLost);
        let expected = self.names(is_expected_live);
        while self.now_ms < since_ms + within_ms {
            self.run_until(self.now_ms + STEP_MS);
            let has_converged = |daemon: &Daemon| {
                let live = daemon.table.live().map(|presence| presence.name.clone());
                live.collect::<Vec<_>>() == expected
            };
            if self
                .daemons
                .iter()
                .filter(|daemon| is_expected_live(daemon))
                .all(has_converged)
            {
                return self.now_ms - since_ms;
            }
        }
        panic!("not noticed within {within_ms} ms")
    }

    /// The daemons that running daemons consider dead, each with the number of daemons that do so.
    fn declared_dead(&self) -> BTreeMap<Arc<str>, usize> {
        let mut dead = BTreeMap::new();
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.state == State::Running)
        {
            let live: Vec<&Presence> = daemon.table.live().collect();
            for other in &self.daemons {
                if !live.iter().any(|presence| presence.name == other.own.name) {
                    *dead.entry(other.own.name.clone()).or_default() += 1;
                }
            }
        }
        dead
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a takeover of work that takes longer the more daemons there are.
    detection_time_does_not_grow_with_the_number_of_daemons => {
        for daemons in [3, 12, 60, 195, 680] {
            let mut simulation = Simulation::start(daemons, 5.min(daemons));
            simulation.set(State::Dead, |number, _| number == 1);
            let detected_ms = simulation.convergence_ms(MAX_DETECTION_MS);
            assert!(detected_ms > 700, "{detected_ms} at {daemons}");
            assert!(simulation.suspicions <= 2, "{} at {daemons}", simulation.suspicions);
        }
    }

    // Guards against slow detection of a zone failure because watchers failed together with their daemons.
    loss_of_a_zone_is_detected_in_the_same_time => {
        for (daemons, zones) in [(12, 3), (60, 4), (195, 5)] {
            let mut simulation = Simulation::start(daemons, zones);
            simulation.set(State::Dead, |number, _| number % zones == 0);
            simulation.convergence_ms(MAX_DETECTION_MS);
        }
    }

    // Guards against failures that are never detected because all watchers failed too. New watchers must time
    // out on the first heartbeat.
    loss_of_half_of_all_daemons_with_their_watchers_is_detected => {
        for daemons in [12, 195] {
            let mut simulation = Simulation::start(daemons, 3);
            simulation.set(State::Dead, |number, _| (number * 7) % 11 < 6);
            simulation.convergence_ms(2 * MAX_DETECTION_MS + 2_000);
        }
    }

    // Guards against a resumed daemon that stays dead for the others or suspects those that it watches.
    a_frozen_daemon_is_declared_dead_and_rejoins => {
        let mut simulation = Simulation::start(60, 4);
        simulation.set(State::Frozen, |number, _| number == 5);
        simulation.convergence_ms(MAX_DETECTION_MS);
        let suspicions = simulation.suspicions;
        simulation.run_until(simulation.now_ms + 4_000);
        simulation.set(State::Running, |number, _| number == 5);
        simulation.convergence_ms(500);
        simulation.run_until(simulation.now_ms + 10_000);
        assert_eq!(simulation.suspicions, suspicions);
    }

    // Guards against restarts of all work after an outage of the log, whose daemons reconnect at different times.
    no_daemon_is_declared_dead_after_an_outage_of_the_log => {
        let mut simulation = Simulation::start(60, 4);
        simulation.is_log_up = false;
        simulation.run_until(simulation.now_ms + 7_000);
        simulation.is_log_up = true;
        simulation.set(State::CutFromLog, |number, _| number % 3 == 0);
        simulation.run_until(simulation.now_ms + 1_900);
        simulation.set(State::Running, |_, _| true);
        for _ in 0..100 {
            simulation.run_until(simulation.now_ms + 50);
            assert_eq!(simulation.declared_dead(), BTreeMap::new());
        }
    }

    // Guards against a daemon that keeps its work by heartbeats although it cannot store any results.
    a_daemon_that_cannot_reach_the_log_is_declared_dead => {
        let mut simulation = Simulation::start(60, 4);
        simulation.set(State::CutFromLog, |number, _| number == 5);
        simulation.convergence_ms(HEARTBEAT_LOG_TIMEOUT_MS + MAX_DETECTION_MS);
    }

    // Guards against a healthy daemon that loses its work because its datagrams are lost. The timeout backs
    // off with each refuted suspicion.
    a_daemon_whose_heartbeats_are_lost_keeps_its_work => {
        let mut simulation = Simulation::start(60, 4);
        simulation.set(State::HeartbeatsLost, |number, _| number == 5);
        for _ in 0..1_200 {
            simulation.run_until(simulation.now_ms + 50);
            assert_eq!(simulation.declared_dead(), BTreeMap::new());
        }
        let refutations = simulation.daemons[5].refutations;
        assert!((2..=8).contains(&refutations), "{refutations} suspicions in a minute");
    }

    live_daemons_are_never_suspected => {
        for daemons in [2, 12, 195] {
            let mut simulation = Simulation::start(daemons, 3);
            simulation.run_until(60_000);
            assert_eq!(simulation.suspicions, 0);
        }
    }

    // Guards against a watching load that grows with the number of daemons.
    watchers_are_few_and_in_other_zones => {
        for (daemons, zones) in [(12, 3), (195, 5), (1_000, 25), (30, 1)] {
            let members: Vec<Presence> = (0..daemons)
                .map(|number| presence(number, zones))
                .collect();
            let ring = WatchRing::of(members.iter());
            let mut most = 0;
            for (number, member) in members.iter().enumerate() {
                let watchers = ring.watchers_of(&member.name);
                assert_eq!(watchers.len(), 3);
                for watcher in &watchers {
                    let watcher: usize = watcher.parse().unwrap();
                    assert!(watcher != number);
                    assert!(zones == 1 || watcher % zones != number % zones);
                }
                most = most.max(ring.watched_by(&member.name).len());
            }
            assert!(most <= 12, "{most} of {daemons}");
        }
    }
}
