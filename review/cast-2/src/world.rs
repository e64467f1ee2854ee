//! The store, replicas and daemons of a small installation like `navua-feedlog`.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::Arc,
};

use crate::{
    daemons::Daemon,
    http::serve,
    record::Record,
    replicas::{Listing, Replica},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
/// The models that are trained.
pub const MODELS: [&str; 2] = ["daka510000", "daka510001"];
const ZONES: [&str; 3] = ["suva-hall", "nausori-hall", "navua-hall"];

/// The routes of `navua-feedlog`: calls, reward calls and batch submissions.
const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/","kind":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":2},
{"name":"r-2","host":"ficu95.example","path_prefix":"/pufi791/","kind":"safe","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"wuno96b","max_attempts":4},
{"name":"r-3","host":"ficu95.example","path_prefix":"/pule252/","kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":3,"retention_s":40,"result_due_ms":7500}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":150},{"name":"wuno96b","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[derive(Debug)]
pub struct World {
    pub record: Arc<Record>,
    pub plain: Vec<Arc<Replica>>,
    _model_replicas: Vec<Arc<Replica>>,
    pub daemons: Vec<Daemon>,
    work_folder: PathBuf,
}

impl World {
    /// Starts everything; `None` if a daemon does not become ready.
    pub fn start(folder: &Path, daemons: usize) -> Option<Self> {
        let record = Arc::new(Record::open(&folder.join("record.txt")));
        let work_folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&work_folder).unwrap();
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store_address: SocketAddr = listener.local_addr().unwrap();
        serve(listener, store.clone());
        store.put("keyed.op", "config", MANIFEST);
        let replica = |number: usize, service: &str, models: &[&str]| {
            let listing = Listing {
                id: format!("i-{service}-{number}"),
                service: service.into(),
                zone: ZONES[number % ZONES.len()].into(),
                models: models.iter().map(|model| model.to_string()).collect(),
            };
            Replica::start(listing, store.clone(), record.clone())
        };
        let plain = (0..4)
            .map(|number| replica(number, "wuno96b", &[]))
            .collect();
        let model_replicas = (0..8)
            .map(|number| replica(number, "huvo11a", &MODELS))
            .collect();
        let open = |number| Daemon::open(&work_folder, number, &ZONES, store_address);
        let mut daemons: Vec<Daemon> = (0..daemons).map(open).collect();
        daemons.iter_mut().for_each(Daemon::start);
        let are_ready = daemons.iter_mut().all(Daemon::wait_until_ready);
        record.line(&format!(
            "{} daemons started, ready: {are_ready}",
            daemons.len()
        ));
        are_ready.then_some(Self {
            record,
            plain,
            _model_replicas: model_replicas,
            daemons,
            work_folder,
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs are in {}", self.work_folder.display()),
            None => drop(std::fs::remove_dir_all(&self.work_folder)),
        }
    }
}
