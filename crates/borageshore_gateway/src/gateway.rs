//! Builds the parts of a daemon and runs it.

use std::{io, path::PathBuf, rc::Rc};

use borageshore_base::rendezvous_weight;
use borageshore_batch::{SwapLimits, WorkLimits, WorkMemory};
use borageshore_diagnostics::Instruments;
use borageshore_membership::{Presence, PresenceState};
use borageshore_net::{Clock, HttpServer, MemoryBudget, ResponseMemory, boot_time_ms};
use borageshore_platform::{DutyClient, EndpointClient};

use crate::{
    acceptance::Acceptance,
    access::CallerAccess,
    calls::Calls,
    cleaner::Cleaner,
    config::GatewayConfig,
    dispatch::Dispatch,
    duties::Duties,
    endpoints::{EndpointParts, Endpoints, SharedViews},
    evacuations::EvacuationView,
    feed::{Feed, FeedParts, FeedTopic, FeedTopicSource},
    fleet_records::FleetRecords,
    follow::{FollowSpec, Follower},
    item::{ItemContext, StartedTotal},
    ledger_view::LedgerView,
    lifecycle::{self, DrainTiming, Lifecycle, Signals},
    mechanisms::{Mechanism, Mechanisms},
    members::Members,
    operator_records::OperatorRecords,
    orderer::{Orderer, OrdererParts},
    peers::Peers,
    progress::{Progress, ProgressParts},
    quarantine::Quarantine,
    rewards::{RewardParts, Rewards},
    routes::Routes,
    runner::Runner,
    scaling::{EndpointOrders, EndpointScaler, ScalerParts},
    server::{MetricsPage, Server, server_limits},
    store_transport::{FailoverTransport, PeerHandler, Store},
    submission_index::{IndexParts, SubmissionIndex},
    submissions::Submissions,
    text_cache::TextCache,
    true_time::{SharedTime, time_of_day_ms},
    usage::{Reporter, ReporterParts, UsageCounter, UsageReports},
    watch::Watch,
    writer::Writer,
};

/// Views of shared topics apply records without delay; those that follow closely are read together from the store.
const NO_PAUSE_MS: u64 = 0;
/// How long some callers keep an address list, as a multiple of its time to live.
const ADDRESS_RETENTION_TTLS: u64 = 3;

/// A running daemon.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    config_file: PathBuf,
    clock: Clock,
    store: Store,
    lifecycle: Rc<Lifecycle>,
    members: Rc<Members>,
    routes: Rc<Routes>,
    endpoints: Rc<Endpoints>,
    operator: Rc<Follower<OperatorRecords, FeedTopicSource>>,
    index: Rc<Follower<SubmissionIndex, FeedTopicSource>>,
    feed: Rc<Feed>,
    usage: Option<Rc<UsageCounter>>,
    runner: Rc<Runner>,
    writer: Rc<Writer>,
    memory: MemoryBudget,
    /// The servers for callers and for peers.
    servers: Vec<HttpServer>,
    _metrics: HttpServer,
}

impl Gateway {
    /// Binds the addresses of a configuration and starts a daemon on the current event loop.
    pub fn spawn(config: GatewayConfig, config_file: PathBuf) -> io::Result<Self> {
        let clock = Clock::start();
        let instruments = Rc::new(Instruments::open());
        // Increases with every start unless the VM's clock was set back by more than the previous run lasted.
        let incarnation = time_of_day_ms();
        let mechanisms = Rc::new(Mechanisms::without(config.mechanisms_off.clone()));
        let topology = Rc::new(config.topology());
        let transport = FailoverTransport::open(
            config.store_address.clone(),
            clock,
            topology.clone(),
            mechanisms.is_enabled(Mechanism::StoreDetour),
        );
        let store = Store::open(transport.clone());
        let response_memory = ResponseMemory::of_process(Some(config.memory_mb()));
        let client = EndpointClient::open(instruments.clone(), response_memory.clone());
        let seed = rendezvous_weight(&config.name, &incarnation.to_string());
        let routes = Routes::open(topology.clone(), instruments.clone());
        let endpoints = Endpoints::open(EndpointParts {
            own_name: config.name.clone(),
            topology: topology.clone(),
            seed,
            clock,
            routes: routes.clone(),
            client: client.clone(),
            mechanisms: mechanisms.clone(),
            features: config.features(),
            cold_bounds: config.cold_bounds(),
            instruments: instruments.clone(),
        });
        let members = Members::open(
            own_presence(&config, incarnation),
            clock,
            topology.clone(),
            transport.clone(),
        );
        let quarantine = Quarantine::spawn(
            store.clone(),
            members.clone(),
            endpoints.clone(),
            clock,
            instruments.clone(),
        );
        // The boot clock distinguishes two incarnations that started at the same time of day.
        let author = format!("{}.{incarnation}.{}", config.name, boot_time_ms());
        let partitions = config.store_partitions;
        let index = SubmissionIndex::open(IndexParts {
            store: store.clone(),
            routes: routes.clone(),
            topology,
            partitions,
        });
        let work_memory = WorkMemory::within(WorkLimits::of_process(config.memory_mb()));
        let view = LedgerView::spawn(store.clone(), index.clone(), work_memory.clone(), clock);
        let acceptance = Acceptance::open(
            work_memory.clone(),
            view.clone(),
            clock,
            instruments.clone(),
        );
        let submissions = Rc::new(Submissions {
            store: store.clone(),
            clock,
            view: view.clone(),
            index: index.clone(),
            routes: routes.clone(),
            endpoints: endpoints.clone(),
            instruments: instruments.clone(),
        });
        let progress = Progress::spawn(ProgressParts {
            store: store.clone(),
            clock,
            members: members.clone(),
            endpoints: endpoints.clone(),
            author: author.as_str().into(),
            index: index.clone(),
            memory: work_memory.clone(),
            is_enabled: mechanisms.is_enabled(Mechanism::StoredTexts),
        });
        let writer = Writer::open(store.clone(), author, index.clone());
        let context = ItemContext {
            clock,
            routes: routes.clone(),
            endpoints: endpoints.clone(),
            dispatch: Dispatch::spawn(endpoints.clone(), instruments.clone()),
            client: client.clone(),
            rewards: Rewards::open(RewardParts {
                endpoints: endpoints.clone(),
                routes: routes.clone(),
                client: client.clone(),
                clock,
                quarantine: quarantine.clone(),
                instruments: instruments.clone(),
            }),
            writer: writer.clone(),
            memory: work_memory.clone(),
            started_total: StartedTotal::open(config.most_started_items()),
            view: view.clone(),
            index: index.clone(),
            texts: Rc::new(TextCache::open(
                &work_memory,
                mechanisms.is_enabled(Mechanism::KeptTexts),
            )),
            mechanisms,
            progress,
            instruments: instruments.clone(),
        };
        let runner = Runner::spawn(
            view,
            index.clone(),
            members.clone(),
            Rc::new(context),
            instruments.clone(),
        );
        let feed = Feed::spawn(FeedParts {
            store: store.clone(),
            transport: transport.clone(),
            deployment: config.deployment(),
            limits: config.feed_limits(),
            clock,
            members: members.clone(),
            instruments: instruments.clone(),
            is_first_start: config.is_first_start,
            seed,
        });
        let spec = |topic| FollowSpec {
            source: FeedTopicSource::open(&feed, topic),
            clock,
            pause_ms: NO_PAUSE_MS,
        };
        let operator_records = OperatorRecords {
            routes: routes.clone(),
            evacuations: EvacuationView::spawn(endpoints.clone(), instruments.clone()),
        };
        let operator = Follower::spawn(spec(FeedTopic::Operator), Rc::new(operator_records));
        let access = CallerAccess::open(
            routes.clone(),
            operator.clone(),
            config.key_revocation_ms,
            instruments.clone(),
        );
        let followed_endpoints = Follower::spawn(spec(FeedTopic::Endpoints), endpoints.clone());
        monoio::spawn(endpoints.clone().ask_leaving_engines());
        let fleet_records = FleetRecords {
            members: members.clone(),
            endpoints: endpoints.clone(),
            quarantine: quarantine.clone(),
        };
        let shared_views = SharedViews {
            operator: operator.clone(),
            endpoints: followed_endpoints,
            members: Follower::spawn(spec(FeedTopic::Members), Rc::new(fleet_records)),
        };
        monoio::spawn(endpoints.clone().watch_cold(shared_views));
        let followed_index = Follower::spawn(spec(FeedTopic::Index), index.clone());
        let orders = spec(FeedTopic::Orders);
        let time = SharedTime::spawn(members.clone());
        let reports = Rc::<UsageReports>::default();
        let endpoint_orders = Rc::<EndpointOrders>::default();
        let duties = Duties::spawn(
            orders,
            store.clone(),
            members.clone(),
            endpoints.clone(),
            reports.clone(),
            endpoint_orders.clone(),
            config.order_lease_ms,
        );
        let usage = spawn_usage(
            &config,
            UsageParts {
                duties: duties.clone(),
                reports,
                time: time.clone(),
                members: members.clone(),
                store: store.clone(),
                clock,
                instruments: instruments.clone(),
            },
        );
        if let Some(duty) = config
            .duties
            .as_ref()
            .filter(|duty| duty.has_endpoint_orders() && config.features().overload_control)
        {
            EndpointScaler::spawn(ScalerParts {
                client: DutyClient::open(duty.address.clone()),
                duties: duties.clone(),
                orders: endpoint_orders,
                endpoints: endpoints.clone(),
                routes: routes.clone(),
                index: index.clone(),
                members: members.clone(),
                instruments: instruments.clone(),
            });
        }
        let parts = OrdererParts {
            duties,
            clock,
            endpoints: endpoints.clone(),
            routes: routes.clone(),
            members: members.clone(),
            index: index.clone(),
            client: client.clone(),
            limits: SwapLimits {
                parallel_percent: config.parallel_loads_percent,
                share_percent: config.load_share_percent,
            },
        };
        Orderer::spawn(parts);
        let cleaner = Cleaner {
            store: store.clone(),
            index,
            members: members.clone(),
            quarantine: quarantine.clone(),
            retention_ms: config.results_kept_s * 1_000,
        };
        monoio::spawn(cleaner.run());
        monoio::spawn(members.clone().announce(feed.clone()));
        monoio::spawn(members.clone().expire_suspicions());
        Watch::bind(&config.peer_address, members.clone(), feed.clone())?;
        let lifecycle = Lifecycle::open(clock);
        let memory = MemoryBudget::spawn(config.memory_limits(), clock);
        let server = Server {
            lifecycle: lifecycle.clone(),
            routes: routes.clone(),
            members: members.clone(),
            access: access.clone(),
            calls: Calls::open(
                access,
                usage.clone(),
                endpoints.clone(),
                client,
                clock,
                quarantine.clone(),
                instruments.clone(),
            ),
            peers: Rc::new(Peers::open(clock, response_memory)),
            submissions,
            memory: memory.clone(),
            acceptance,
            address_ttl_s: config.address_ttl_s,
        };
        let addresses = [
            &config.http_address,
            &config.ready_address,
            &config.directory_address,
        ];
        let bind = |address| {
            HttpServer::bind_within(
                address,
                server_limits(),
                Some(memory.clone()),
                server.clone(),
            )
        };
        let mut servers = addresses
            .into_iter()
            .map(|address| bind(address))
            .collect::<io::Result<Vec<HttpServer>>>()?;
        let peer_handler = PeerHandler {
            store_transport: transport,
            quarantine,
            time,
            feed: feed.clone(),
        };
        servers.push(HttpServer::bind(
            &config.peer_address,
            server_limits(),
            peer_handler,
        )?);
        let metrics_page = MetricsPage {
            instruments,
            lifecycle: lifecycle.clone(),
            memory: memory.clone(),
            work_memory,
            runner: runner.clone(),
            writer: writer.clone(),
        };
        let metrics = HttpServer::bind(&config.metrics_address, server_limits(), metrics_page)?;
        log::info!(zone = &*config.zone, http_address = &*config.http_address, incarnation; "daemon started");
        Ok(Self {
            config,
            config_file,
            clock,
            store,
            lifecycle,
            members,
            routes,
            endpoints,
            operator,
            index: followed_index,
            feed,
            usage,
            runner,
            writer,
            memory,
            servers,
            _metrics: metrics,
        })
    }

    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    pub async fn run_until_stopped(&self) -> io::Result<()> {
        let started_at_ms = Signals::open()?.wait_for_stop(self).await;
        let timing = DrainTiming {
            started_at_ms,
            grace_ms: self.config.stop_grace_s * 1_000,
            address_retention_ms: ADDRESS_RETENTION_TTLS * self.config.address_ttl_s * 1_000,
        };
        lifecycle::drain(self, &self.servers, timing).await;
        Ok(())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Enters the ready state once routes, evacuations, endpoints and the submission index have been read. The daemon
    /// stays ready during an outage of the store and serves from its last view.
    pub(crate) fn update_readiness(&self) {
        let is_known = self.routes.is_known()
            && self.operator.next_offset().is_some()
            && self.endpoints.is_known()
            && (self.index.next_offset().is_some() || !self.feed.wants(FeedTopic::Index));
        if is_known && self.lifecycle.state() == PresenceState::Starting {
            self.lifecycle.enter(PresenceState::Ready, &self.members);
        }
    }

    /// Parses the settings file again and logs whether it is valid. Changes take effect only at the next start.
    pub(crate) fn reload(&self) {
        let file = self.config_file.display().to_string();
        let text = std::fs::read_to_string(&self.config_file);
        let parsed = text.map(|text| GatewayConfig::parse(&file, &text));
        match parsed {
            Ok(Ok(_)) => log::info!(file; "settings are valid for the next start"),
            Ok(Err(fault)) => log::error!(file, fault:? = fault; "settings file is invalid"),
            Err(error) => log::error!(file, error:% = error; "cannot read the settings file"),
        }
    }

    pub(crate) fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    pub(crate) fn poll_ms(&self) -> u64 {
        self.lifecycle.poll_ms()
    }

    pub(crate) fn enter_draining(&self) {
        self.lifecycle.enter(PresenceState::Draining, &self.members);
    }

    /// Whether no request or submission is in progress and nothing is left to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.lifecycle.in_flight() == 0
            && self.runner.running_count() == 0
            && !self.has_unwritten_records()
    }

    /// Whether the store lacks results or counts of requests.
    pub(crate) fn has_unwritten_records(&self) -> bool {
        let usage = self.usage.as_ref();
        self.writer.unwritten() > 0 || usage.is_some_and(|usage| usage.has_unwritten())
    }

    /// The bytes of responses to callers that are not written out.
    pub(crate) fn unwritten_bytes(&self) -> u64 {
        self.memory.unwritten_bytes()
    }

    /// Removes this daemon's presence record, so that other daemons do not have to detect its exit by missing
    /// heartbeats.
    pub(crate) async fn leave(&self) {
        self.members.leave(&self.store).await;
    }
}

/// Dependencies of the counter and the reporter of usage.
#[derive(Debug)]
struct UsageParts {
    duties: Rc<Duties>,
    reports: Rc<UsageReports>,
    time: Rc<SharedTime>,
    members: Rc<Members>,
    store: Store,
    clock: Clock,
    instruments: Rc<Instruments>,
}

/// Starts the counter and the reporter of usage if usage reports are configured.
fn spawn_usage(config: &GatewayConfig, parts: UsageParts) -> Option<Rc<UsageCounter>> {
    let duties = config.duties.as_ref()?;
    let timing = duties.usage_timing()?;
    let counter = UsageCounter::spawn(
        timing,
        parts.time.clone(),
        parts.store.clone(),
        parts.members.clone(),
        config.store_partitions,
    );
    Reporter::spawn(ReporterParts {
        timing,
        client: DutyClient::open(duties.address.clone()),
        duties: parts.duties,
        reports: parts.reports,
        time: parts.time,
        members: parts.members,
        store: parts.store,
        clock: parts.clock,
        partitions: config.store_partitions,
        instruments: parts.instruments,
    });
    Some(counter)
}

fn own_presence(config: &GatewayConfig, incarnation: u64) -> Presence {
    Presence {
        name: config.name.clone(),
        incarnation,
        zone: config.zone.clone(),
        http_address: config.http_address.clone(),
        peer_address: config.peer_address.clone(),
        state: PresenceState::Starting,
        capacity_percent: (config.processor_share * 100.0) as u64,
        holds: Vec::new(),
    }
}
