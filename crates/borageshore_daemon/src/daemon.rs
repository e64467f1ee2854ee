//! The state of a daemon, its startup and its lifecycle.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_lease::{LeaseAgent, LeaseTable};
use borageshore_membership::{MemberEntry, MemberState, Membership};
use borageshore_net::{Clock, HttpClient, HttpServer, ServerLimits};
use borageshore_routing::{AdmissionLimits, EndpointTable, KeyTable, RetryBudget};
use borageshore_settings::{ROOT, SettingsFold};
use borageshore_topology::Topology;
use borageshore_wire::MAX_FRAME_BYTES;
use monoio::net::udp::UdpSocket;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    admission::AdmissionQueue,
    config::Config,
    control, drain,
    edge::Edge,
    gossip::{self, MemberSync},
    jobs::JobRuntime,
    metrics::Metrics,
    peer_client::PeerClient,
    peer_server,
    platform::{engine::HttpEngine, log_service::HttpLog},
    stream::SharedStream,
};

/// Log stream of settings changes.
const SETTINGS_STREAM: &str = "settings";
/// Log stream of sessions and lease claims.
const LEASES_STREAM: &str = "leases";
/// Memory limit for request keys and their cached answers.
const KEY_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// Lifecycle phase of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The settings and lease streams are not yet read to their ends.
    Starting,
    /// It accepts requests and claims leases.
    Ready,
    /// It is no longer listed and claims no leases, but still answers callers with a cached address list.
    Draining,
    /// The drain is complete.
    Stopped,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) config: Config,
    /// This shell knows zones only; all of them count as one region.
    pub(crate) topology: Topology,
    pub(crate) incarnation: u64,
    pub(crate) session: Arc<str>,
    pub(crate) settings: Rc<SharedStream<SettingsFold>>,
    pub(crate) leases: Rc<SharedStream<LeaseTable>>,
    pub(crate) lease_agent: RefCell<LeaseAgent>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) endpoints: RefCell<EndpointTable>,
    pub(crate) admission_queues: RefCell<SortedMap<Arc<str>, Rc<AdmissionQueue>>>,
    pub(crate) keys: RefCell<KeyTable>,
    pub(crate) keys_answered: tokio::sync::Notify,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) jobs: RefCell<SortedMap<Arc<str>, Rc<JobRuntime>>>,
    /// Number of jobs opened, including reopened ones; makes writer names and sample ids unique.
    pub(crate) jobs_opened: Cell<u64>,
    pub(crate) http: HttpClient,
    pub(crate) engine: HttpEngine,
    pub(crate) peers: PeerClient,
    pub(crate) log: HttpLog,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) phase: Cell<Phase>,
    pub(crate) in_flight: Cell<u64>,
    pub(crate) vm_list_version: Cell<u64>,
    pub(crate) member_sync: Cell<MemberSync>,
    pub(crate) gossip_socket: RefCell<Option<Rc<UdpSocket>>>,
    server: RefCell<Option<HttpServer>>,
    clock: Clock,
    random: RefCell<Pcg64Mcg>,
}

impl Daemon {
    /// Binds the configured addresses and starts the daemon on the current event loop.
    pub fn spawn(config: Config) -> io::Result<Rc<Self>> {
        let daemon = Rc::new(Self::open(config));
        let edge = Edge::open(daemon.clone());
        let limits = ServerLimits {
            connections: daemon.config.connection_limit,
            head_timeout_ms: daemon.config.head_timeout_ms,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(&daemon.config.http_address, limits, edge)?;
        *daemon.server.borrow_mut() = Some(server);
        peer_server::bind(&daemon)?;
        let socket = gossip::bind(&daemon)?;
        *daemon.gossip_socket.borrow_mut() = Some(socket);
        control::spawn(&daemon);
        log::info!(
            "daemon {} in zone {} is listening on {}",
            daemon.session,
            daemon.config.zone,
            daemon.config.http_address
        );
        Ok(daemon)
    }

    fn open(config: Config) -> Self {
        // Increases with every start unless the VM's clock was set back past the previous start.
        let incarnation = jiff::Timestamp::now().as_millisecond() as u64;
        let session: Arc<str> = format!("{}.{incarnation}", config.name).into();
        let metrics = Rc::new(Metrics::open());
        let http = HttpClient::open_limited(MAX_FRAME_BYTES);
        let own = own_entry(&config, incarnation);
        let seeds = config.gossip_seeds.clone();
        let keys = KeyTable::open(config.name.clone(), incarnation, 600_000, KEY_MEMORY_BYTES);
        let seed = borageshore_base::rendezvous_weight(&session, "random");
        let topology = Topology::single_region(config.zone.clone());
        Self {
            topology,
            settings: Rc::new(SharedStream::open(
                SETTINGS_STREAM.into(),
                session.clone(),
                SettingsFold::default(),
            )),
            leases: Rc::new(SharedStream::open(
                LEASES_STREAM.into(),
                session.clone(),
                LeaseTable::default(),
            )),
            lease_agent: RefCell::new(LeaseAgent::open(session.clone())),
            membership: RefCell::new(Membership::open(own, seeds, 0)),
            endpoints: RefCell::default(),
            admission_queues: RefCell::default(),
            keys: RefCell::new(keys),
            keys_answered: tokio::sync::Notify::new(),
            retry_budget: RefCell::new(RetryBudget::open(20)),
            jobs: RefCell::default(),
            jobs_opened: Cell::new(0),
            engine: HttpEngine::open(http.clone()),
            peers: PeerClient::open(config.peer_token.clone(), metrics.clone()),
            log: HttpLog::open(config.log_address.clone(), http.clone(), metrics.clone()),
            http,
            metrics,
            phase: Cell::new(Phase::Starting),
            in_flight: Cell::new(0),
            vm_list_version: Cell::new(0),
            member_sync: Cell::new(MemberSync::Pending),
            gossip_socket: RefCell::new(None),
            server: RefCell::new(None),
            clock: Clock::start(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            config,
            incarnation,
            session,
        }
    }

    /// Serves until SIGTERM, SIGINT or a drain request by an operator, then stops gracefully.
    pub async fn run_until_stopped(self: &Rc<Self>) -> io::Result<()> {
        drain::wait_for_stop(self).await?;
        drain::drain(self).await;
        Ok(())
    }

    /// The bound HTTP address; differs from the configured one if that has port 0.
    pub fn http_address(&self) -> Arc<str> {
        match self.server() {
            Some(server) => server.address().to_string().into(),
            None => self.config.http_address.clone(),
        }
    }

    /// The current lifecycle phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        self.random.borrow_mut().next_u64() % bound.max(1)
    }

    pub(crate) fn with_random<Draw, Output>(&self, draw: Draw) -> Output
    where
        Draw: FnOnce(&mut Pcg64Mcg) -> Output,
    {
        draw(&mut self.random.borrow_mut())
    }

    /// The effective integer value of `key` at `node`.
    pub(crate) fn setting(&self, node: &str, key: &str) -> u64 {
        self.settings
            .with_fold(|fold| fold.tree().integer(node, key))
    }

    /// The effective integer value of `key` at the root node.
    pub(crate) fn root_setting(&self, key: &str) -> u64 {
        self.setting(ROOT, key)
    }

    /// The effective text value of `key` at `node`.
    pub(crate) fn setting_text(&self, node: &str, key: &str) -> Option<Arc<str>> {
        self.settings.with_fold(|fold| fold.tree().text(node, key))
    }

    /// The admission queue of a service, created on first use.
    pub(crate) fn admission_queue(&self, service: &Arc<str>) -> Rc<AdmissionQueue> {
        let mut queues = self.admission_queues.borrow_mut();
        let initial_limits = AdmissionLimits {
            slots: 1,
            training_slots: 0,
            queue_limit_requests: 256,
        };
        queues
            .get_or_insert_with(service.clone(), || AdmissionQueue::open(initial_limits))
            .clone()
    }

    pub(crate) fn server(&self) -> Option<HttpServer> {
        self.server.borrow().clone()
    }
}

fn own_entry(config: &Config, incarnation: u64) -> MemberEntry {
    MemberEntry {
        name: config.name.clone(),
        incarnation,
        counter: 0,
        zone: config.zone.clone(),
        http_address: config.http_address.clone(),
        peer_address: config.peer_address.clone(),
        gossip_address: config.gossip_address.clone(),
        // Keeps the daemon out of address lists until it is ready.
        state: MemberState::Leaving,
    }
}

/// Guard that counts a unit of work as in flight until it is dropped; a drain waits for the count
/// to reach 0.
#[derive(Debug)]
pub(crate) struct InFlight {
    daemon: Rc<Daemon>,
}

impl InFlight {
    /// Increments the daemon's in-flight count.
    pub(crate) fn open(daemon: &Rc<Daemon>) -> Self {
        daemon.in_flight.set(daemon.in_flight.get() + 1);
        Self {
            daemon: daemon.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.daemon.in_flight.set(self.daemon.in_flight.get() - 1);
    }
}
