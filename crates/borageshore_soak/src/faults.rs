//! Faults injected from outside the daemons, at random or set times; they may overlap.

mod endpoints;

use std::{cell::RefCell, rc::Rc};

use borageshore_net::{Clock, sleep_ms};
use borageshore_standins::platform::{
    DutyMode, EngineSwitches, ListeningPeer, PlatformDuties, PlatformEngine, PlatformService,
    PlatformStore, Proxy, ProxyMode, StoreMode,
};
use futures_util::future::join_all;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::json;

use crate::{TimedFault, daemons::DaemonProcess, keys::Keys, oracle::Oracle, regions::ZONES};

/// Duration of a timed fault; a killed daemon is restarted after it.
const TIMED_FAULT_MS: u64 = 1_500;
/// A daemon that was stopped is restarted after it.
const RESTART_DELAY_MS: u64 = 100;
/// At this pace a generation of twelve events spans several loads of weights.
const SLOW_EVENT_MS: u64 = 120;
/// The delay of a slow store's answers, and how long it lasts. A daemon that starts reads it twice, one answer after the
/// other, before it knows the members.
const SLOW_STORE_MS: u64 = 1_700;
const SLOW_START_MS: u64 = 6_000;

/// Longer than the timeout after which other daemons take over from a silent one.
const PARTITION_MS: u64 = 4_000;
/// Longer than a daemon may accept a revoked key while it cannot learn of the revocation, and than the takeover delay of a
/// duty together with the time in which a successor finds something to order.
const LONG_PARTITION_MS: u64 = 8_000;
/// Number of fault kinds that [`crate::Script::Random`] draws from. Changing it changes the faults of every seed.
pub(crate) const RANDOM_KINDS: u64 = 18;
/// Number of fault kinds that [`crate::Script::RandomExtended`] draws from.
pub(crate) const EXTENDED_KINDS: u64 = 20;
/// Number of fault kinds that [`crate::Script::RandomExtended`] draws from if callers have keys.
pub(crate) const KEYED_KINDS: u64 = 23;
/// Number of fault kinds that [`crate::Script::RandomExtended`] draws from in a world with regions.
pub(crate) const REGION_KINDS: u64 = 32;
/// An evacuation lasts this much longer than other faults, so that its bound ends well before.
const EVACUATION_MIN_MS: u64 = 7_000;
/// Endpoints stay cold for this much longer than other faults.
const COLD_MIN_MS: u64 = 2_000;

/// The system under test and its stand-ins, into which faults are injected.
#[derive(Debug)]
pub(crate) struct Targets {
    pub(crate) clock: Clock,
    pub(crate) oracle: Rc<Oracle>,
    pub(crate) store: PlatformStore,
    pub(crate) keys: Rc<Keys>,
    pub(crate) duties: PlatformDuties,
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) engines: Vec<(PlatformEngine, Proxy)>,
    pub(crate) services: Vec<(PlatformService, Proxy)>,
    pub(crate) listening_peer: ListeningPeer,
    pub(crate) started_faults: RefCell<Vec<String>>,
}

/// One fault; a number is the index of a daemon, engine or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill(usize),
    KillAll,
    /// All daemons are killed and restarted while the store answers slowly.
    KillAllWhileStoreIsSlow,
    Pause(usize),
    Stop(usize),
    /// Like a stop, but the daemon stays away for the duration of the fault.
    Leave(usize),
    Reload(usize),
    Store(StoreMode),
    DropHistory,
    StoreLink(usize, ProxyMode),
    /// The operator revokes the callers' key.
    RevokeKey,
    /// The platform handles calls of duties in this mode.
    Duties(DutyMode),
    /// This daemon and all after it are suspended.
    Suspend(usize),
    /// The store rejects requests of this daemon and all after it.
    Reject(usize),
    /// An endpoint is unlisted in a part of the history that no daemon reads.
    UnlistUnobserved,
    /// All endpoints of the plain service drop all responses.
    LoseResponses,
    /// The store holds a heartbeat of an earlier incarnation whose clock was far ahead.
    HeartbeatFromFuture,
    SlowAllEngines,
    /// An engine restarts under the same id with the first version of the weights.
    RestartEngine(usize),
    /// Another writer overwrites the entry of an endpoint of the plain service.
    ForeignEntry(usize),
    SilentConnections(usize),
    EngineLink(usize, ProxyMode),
    EngineDrains(usize),
    EngineSlow(usize),
    EngineCutsStreams(usize),
    EngineLateOrders(usize),
    ServiceLosesResponses(usize),
    ServiceMixesUpIds(usize),
    ServiceLink(usize, ProxyMode),
    /// The operator evacuates a zone.
    Evacuate(usize),
    /// All endpoints of a zone become cold.
    ColdZone(usize),
    ColdEngine(usize),
    ColdService(usize),
    ListeningPeer,
    /// All daemons of a zone are killed.
    KillZone(usize),
}

impl Fault {
    /// The daemons that are faulty or lose access to the store: one (`Some(Some(_))`), all (`Some(None)`) or none.
    fn disturbs_daemons(self) -> Option<Option<usize>> {
        match self {
            Fault::Kill(number)
            | Fault::Pause(number)
            | Fault::Stop(number)
            | Fault::Leave(number)
            | Fault::StoreLink(number, _)
            | Fault::SilentConnections(number) => Some(Some(number)),
            Fault::KillAll
            | Fault::KillAllWhileStoreIsSlow
            | Fault::Suspend(_)
            | Fault::Store(_)
            | Fault::DropHistory
            | Fault::Reject(_)
            | Fault::UnlistUnobserved => Some(None),
            _ => None,
        }
    }
}

impl Targets {
    /// Sets when requests stop crashing endpoints.
    pub(crate) fn set_crash_until_ms(&self, until_ms: u64) {
        for (engine, _) in &self.engines {
            engine.set_crash_until_ms(until_ms);
        }
        for (service, _) in &self.services {
            service.set_crash_until_ms(until_ms);
        }
    }

    /// Injects random faults, spread until `until_ms`, each for 0.8 to 3 s.
    pub(crate) async fn inject_random(
        self: Rc<Self>,
        count: usize,
        kinds: u64,
        until_ms: u64,
        mut random: Pcg64Mcg,
    ) {
        let pause_ms = until_ms.saturating_sub(self.clock.now_ms()) / count.max(1) as u64;
        for _ in 0..count {
            let fault = self.draw_fault(&mut random, kinds);
            let length_ms = 800 + random.next_u64() % 2_200;
            let at_ms = self.clock.now_ms();
            self.started_faults
                .borrow_mut()
                .push(format!("{at_ms} ms: {fault:?} for {length_ms} ms"));
            monoio::spawn(self.clone().inject(fault, length_ms));
            sleep_ms(pause_ms / 2 + random.next_u64() % pause_ms.max(1)).await;
        }
    }

    /// Injects faults at set times in ms from now.
    pub(crate) async fn inject_timed(self: Rc<Self>, timed_faults: &[(u64, TimedFault)]) {
        let began_ms = self.clock.now_ms();
        for (at_ms, timed_fault) in timed_faults {
            sleep_ms((began_ms + at_ms).saturating_sub(self.clock.now_ms())).await;
            let fault = match timed_fault {
                TimedFault::KillHolder => Fault::Kill(self.holder().await),
                TimedFault::KillReporter => Fault::Kill(self.reporter().await),
                TimedFault::KillScaler => Fault::Kill(self.scaler().await),
                TimedFault::StopScaler => Fault::Leave(self.scaler().await),
                TimedFault::StopOne => Fault::Stop(0),
                TimedFault::PartitionHolderMidGeneration => {
                    self.wait_for_nearly_complete_run().await;
                    Fault::StoreLink(self.holder().await, ProxyMode::Silent)
                }
                TimedFault::KillAllMidGeneration => {
                    self.wait_for_nearly_complete_run().await;
                    Fault::KillAll
                }
                TimedFault::KillAllWhileStoreIsSlow => Fault::KillAllWhileStoreIsSlow,
                TimedFault::RejectAllButOne => Fault::Reject(1),
                TimedFault::UnlistUnobserved => Fault::UnlistUnobserved,
                TimedFault::HeartbeatFromFuture => Fault::HeartbeatFromFuture,
                TimedFault::LoseResponses => Fault::LoseResponses,
                TimedFault::SlowAllEngines => Fault::SlowAllEngines,
                TimedFault::RestartEngine => Fault::RestartEngine(0),
                TimedFault::ForeignEntry => Fault::ForeignEntry(0),
                TimedFault::SilentService => Fault::ServiceLink(0, ProxyMode::Silent),
                TimedFault::EndlessService => Fault::ServiceLink(0, ProxyMode::Endless),
                TimedFault::EndlessEngine => Fault::EngineLink(0, ProxyMode::Endless),
                TimedFault::EndlessStore => Fault::StoreLink(0, ProxyMode::Endless),
                TimedFault::StoreOutage | TimedFault::LongOutage => Fault::Store(StoreMode::Silent),
                TimedFault::RevokeKey => Fault::RevokeKey,
                TimedFault::LoseDutyResponses => Fault::Duties(DutyMode::LostAnswers),
                TimedFault::NoEndpoints => Fault::Duties(DutyMode::NoEndpoints),
                TimedFault::SuspendAllButOne => Fault::Suspend(1),
                TimedFault::EvacuateZone(zone) => Fault::Evacuate(*zone),
                TimedFault::ColdZone(zone) => Fault::ColdZone(*zone),
                TimedFault::ListeningPeer => Fault::ListeningPeer,
                TimedFault::KillZone(zone) => Fault::KillZone(*zone),
            };
            self.started_faults
                .borrow_mut()
                .push(format!("{at_ms} ms: {fault:?}"));
            let length_ms = match timed_fault {
                TimedFault::PartitionHolderMidGeneration
                | TimedFault::StoreOutage
                | TimedFault::KillZone(_) => PARTITION_MS,
                TimedFault::LongOutage
                | TimedFault::NoEndpoints
                | TimedFault::SuspendAllButOne
                | TimedFault::KillScaler
                | TimedFault::StopScaler => LONG_PARTITION_MS,
                _ => TIMED_FAULT_MS,
            };
            monoio::spawn(self.clone().inject(fault, length_ms));
        }
    }

    fn draw_fault(&self, random: &mut Pcg64Mcg, kinds: u64) -> Fault {
        let kind = random.next_u64() % kinds;
        let mut below = |count: usize| (random.next_u64() % count.max(1) as u64) as usize;
        let daemon = below(self.daemons.len());
        let engine = below(self.engines.len());
        let service = below(self.services.len());
        let link = [
            ProxyMode::Delay(150),
            ProxyMode::Silent,
            ProxyMode::AnswersHeld,
            ProxyMode::Reset,
        ][below(4)];
        let store = [
            StoreMode::Busy,
            StoreMode::Silent,
            StoreMode::Slow(120),
            StoreMode::LostAnswers,
            StoreMode::DelayedAppends(1_500),
        ][below(5)];
        let duties = match daemon {
            0 => DutyMode::Busy,
            1 => DutyMode::Slow(250),
            _ => DutyMode::LostAnswers,
        };
        match kind {
            0 | 1 => Fault::Kill(daemon),
            2 => Fault::KillAll,
            3 => Fault::Pause(daemon),
            4 => Fault::Stop(daemon),
            5 => Fault::Reload(daemon),
            6 | 7 => Fault::Store(store),
            8 => Fault::DropHistory,
            9 => Fault::StoreLink(daemon, link),
            10 => Fault::SilentConnections(daemon),
            11 => Fault::EngineLink(engine, link),
            12 => Fault::EngineDrains(engine),
            13 => Fault::EngineSlow(engine),
            14 => match below(2) {
                0 => Fault::EngineCutsStreams(engine),
                _ => Fault::EngineLateOrders(engine),
            },
            15 => match below(2) {
                0 => Fault::ServiceLosesResponses(service),
                _ => Fault::ServiceMixesUpIds(service),
            },
            16 => Fault::ServiceLink(service, link),
            17 => Fault::RestartEngine(engine),
            18 => Fault::ForeignEntry(service),
            19 => Fault::Reject(daemon),
            20 => Fault::Duties(duties),
            21 | 22 => Fault::RevokeKey,
            23 | 24 => Fault::Evacuate(below(ZONES.len())),
            25 | 26 => Fault::ColdZone(below(ZONES.len())),
            27 => Fault::ColdEngine(engine),
            28 | 29 => Fault::ColdService(service),
            _ => Fault::KillZone(below(ZONES.len())),
        }
    }

    async fn inject(self: Rc<Self>, fault: Fault, length_ms: u64) {
        let disturbed = fault.disturbs_daemons();
        let number =
            disturbed.map(|daemon| self.oracle.begin_disturbance(daemon, self.clock.now_ms()));
        self.clone().apply(fault, length_ms).await;
        if let Some(number) = number {
            self.oracle.end_disturbance(number, self.clock.now_ms());
        }
    }

    async fn apply(self: Rc<Self>, fault: Fault, length_ms: u64) {
        match fault {
            Fault::Kill(number) => self.kill(&[number], length_ms).await,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.daemons.len()).collect();
                self.oracle.killed_all_at_ms.set(Some(self.clock.now_ms()));
                self.kill(&all, 300).await;
            }
            Fault::KillAllWhileStoreIsSlow => {
                let before = self.store.loads("keyed.members");
                self.store.set_mode(StoreMode::Slow(SLOW_STORE_MS));
                let all: Vec<usize> = (0..self.daemons.len()).collect();
                self.kill(&all, 300).await;
                sleep_ms(SLOW_START_MS).await;
                self.store.set_mode(StoreMode::Up);
                let loads = self.store.loads("keyed.members") - before;
                self.oracle.member_loads_after_kill.set(Some(loads));
            }
            Fault::Duties(mode) => {
                self.duties.set_mode(mode);
                sleep_ms(length_ms).await;
                self.duties.set_mode(DutyMode::Up);
            }
            Fault::RevokeKey => self.keys.revoke(&self.store, self.clock.now_ms()),
            Fault::Suspend(first) => {
                let numbers = first..self.daemons.len();
                join_all(numbers.map(|number| self.pause(number, length_ms))).await;
            }
            Fault::Pause(number) => self.pause(number, length_ms).await,
            Fault::Stop(number) => self.stop(number, RESTART_DELAY_MS).await,
            Fault::Leave(number) => self.stop(number, length_ms).await,
            Fault::Reload(number) => self.daemons[number].signal(Signal::HUP),
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                sleep_ms(length_ms).await;
                self.store.set_mode(StoreMode::Up);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::StoreLink(number, mode) => {
                degrade_link(&self.daemons[number].store, mode, length_ms).await;
            }
            Fault::LoseResponses => {
                for number in 0..self.services.len() {
                    let losing = self.clone().lose_responses(number, length_ms);
                    monoio::spawn(losing);
                }
            }
            Fault::HeartbeatFromFuture => self.put_heartbeat_from_future(),
            Fault::UnlistUnobserved => self.unlist_unobserved(length_ms).await,
            Fault::Reject(first) => self.reject(first, length_ms).await,
            Fault::SilentConnections(number) => {
                self.daemons[number].store.stall_open_connections();
            }
            Fault::EngineLink(number, mode) => {
                let harmed = self.begin_link_harm(format!("e-{number}"));
                degrade_link(&self.engines[number].1, mode, length_ms).await;
                self.end_link_harm(harmed);
            }
            Fault::EngineDrains(number) => self.drain_engine(number, length_ms).await,
            Fault::EngineSlow(number) => {
                self.switch_engine(number, length_ms, |s| s.event_ms *= 5)
                    .await;
            }
            Fault::RestartEngine(number) => self.restart_engine(number),
            Fault::ForeignEntry(number) => self.put_foreign_entry(number, length_ms).await,
            Fault::SlowAllEngines => {
                for (engine, _) in &self.engines {
                    engine.set_switches(EngineSwitches {
                        event_ms: SLOW_EVENT_MS,
                        ..engine.switches()
                    });
                }
            }
            Fault::EngineCutsStreams(number) => {
                self.switch_engine(number, length_ms, |s| s.cut_every = 3)
                    .await;
            }
            Fault::EngineLateOrders(number) => {
                self.switch_engine(number, length_ms, |s| s.order_delay_ms = 1_500)
                    .await;
            }
            Fault::ServiceLosesResponses(number) => {
                self.switch_service(number, length_ms, |s| s.lose_every = 5)
                    .await;
            }
            Fault::ServiceMixesUpIds(number) => {
                self.switch_service(number, length_ms, |s| s.wrong_id_every = 5)
                    .await;
            }
            Fault::ServiceLink(number, mode) => {
                let harmed = self.begin_link_harm(format!("s-{number}"));
                degrade_link(&self.services[number].1, mode, length_ms).await;
                self.end_link_harm(harmed);
            }
            Fault::Evacuate(zone) => self.evacuate(zone, EVACUATION_MIN_MS + length_ms).await,
            Fault::ListeningPeer => self.announce_listening_peer(),
            Fault::ColdZone(zone) => self.make_zone_cold(zone, COLD_MIN_MS + length_ms),
            Fault::ColdEngine(number) => {
                self.engines[number].0.become_cold(COLD_MIN_MS + length_ms);
            }
            Fault::ColdService(number) => {
                self.services[number].0.become_cold(COLD_MIN_MS + length_ms);
            }
            Fault::KillZone(zone) => {
                let numbers = (zone..self.daemons.len()).step_by(ZONES.len());
                let kills = numbers
                    .map(|number| Box::pin(self.clone().inject(Fault::Kill(number), length_ms)));
                join_all(kills).await;
            }
        }
    }

    async fn kill(&self, numbers: &[usize], length_ms: u64) {
        for number in numbers {
            self.daemons[*number].signal(Signal::KILL);
        }
        sleep_ms(length_ms).await;
        for number in numbers {
            self.start(*number);
        }
    }

    async fn lose_responses(self: Rc<Self>, number: usize, length_ms: u64) {
        self.switch_service(number, length_ms, |s| s.lose_every = 1)
            .await;
    }

    fn put_heartbeat_from_future(&self) {
        let name = &self.daemons[0].name;
        let heartbeat = json!({
            "name": name, "incarnation": u64::MAX / 2, "zone": "z1", "http_address": "127.0.0.1:1",
            "state": "Draining", "capacity_percent": 50, "holds": [],
        });
        self.store
            .put("keyed.members", name, heartbeat.to_string().as_bytes());
    }

    async fn unlist_unobserved(&self, length_ms: u64) {
        for daemon in &self.daemons {
            daemon.store.set_mode(ProxyMode::Silent);
        }
        sleep_ms(length_ms).await;
        self.store.put("keyed.servers", "s-0", b"");
        self.store.drop_history();
        self.oracle.unlisted_at_ms.set(Some(self.clock.now_ms()));
        for daemon in &self.daemons {
            daemon.store.stall_open_connections();
            daemon.store.set_mode(ProxyMode::Pass);
        }
    }

    async fn reject(&self, first: usize, length_ms: u64) {
        for daemon in &self.daemons[first..] {
            daemon.store.set_mode(ProxyMode::Busy);
        }
        sleep_ms(length_ms).await;
        for daemon in &self.daemons[first..] {
            daemon.store.set_mode(ProxyMode::Pass);
        }
    }

    async fn pause(&self, number: usize, length_ms: u64) {
        let daemon = &self.daemons[number];
        daemon.signal(Signal::STOP);
        sleep_ms(length_ms).await;
        daemon.signal(Signal::CONT);
        let resumed = (daemon.name.clone(), self.clock.now_ms());
        self.oracle.resumed_at_ms.borrow_mut().push(resumed);
    }

    async fn stop(&self, number: usize, away_ms: u64) {
        let daemon = &self.daemons[number];
        daemon.signal(Signal::TERM);
        let kill_at_ms = self.clock.now_ms() + crate::daemons::STOP_GRACE_S * 1_000;
        while daemon.is_running() && self.clock.now_ms() < kill_at_ms {
            sleep_ms(50).await;
        }
        daemon.signal(Signal::KILL);
        sleep_ms(away_ms).await;
        self.start(number);
    }

    fn start(&self, number: usize) {
        if let Err(error) = self.daemons[number].start() {
            self.oracle
                .record_violation(format!("vm-{number} cannot be started: {error}"));
        }
    }
}

async fn degrade_link(proxy: &Proxy, mode: ProxyMode, length_ms: u64) {
    proxy.set_mode(mode);
    sleep_ms(length_ms).await;
    proxy.set_mode(ProxyMode::Pass);
}
