//! Tests of the daemon's settings: mechanisms that are switched off.

use borageshore_gateway::{GatewayConfig, Mechanism};
use borageshore_platform::{DutyKind, Features};

const SETTINGS: &str = "\
name: vm-1
zone: z1
http_address: 127.0.0.1:1
ready_address: 127.0.0.1:2
directory_address: 127.0.0.1:3
peer_address: 127.0.0.1:4
metrics_address: 127.0.0.1:5
processor_share: 0.5
store_address: 127.0.0.1:6
store_partitions: 8
address_ttl_s: 2
stop_grace_s: 8
results_kept_s: 120
order_lease_ms: 3000
parallel_loads_percent: 22
load_share_percent: 50
";

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    all_mechanisms_are_on_by_default => {
        let config = GatewayConfig::parse("vm-1.yaml", SETTINGS).unwrap();
        assert!(config.mechanisms_off.is_empty());
    }

    a_mechanism_is_switched_off_by_name => {
        let text = format!("{SETTINGS}mechanisms_off: [stored_texts, pace]\n");
        let config = GatewayConfig::parse("vm-1.yaml", &text).unwrap();
        assert_eq!(config.mechanisms_off, [Mechanism::StoredTexts, Mechanism::Pace]);
    }

    an_unknown_mechanism_is_a_fault => {
        let text = format!("{SETTINGS}mechanisms_off: [luck]\n");
        let fault = GatewayConfig::parse("vm-1.yaml", &text).unwrap_err();
        assert_eq!(fault.fault.code.number(), 2007);
    }

    // A daemon starts with limits of the store that let nobody read it.
    limits_of_the_store_are_above_zero => {
        for line in ["store_reads_per_s: 0", "store_read_mb_per_s: -1"] {
            let text = format!("{SETTINGS}{line}\n");
            let fault = GatewayConfig::parse("vm-1.yaml", &text).unwrap_err();
            assert!(fault.fault.detail.starts_with(line.split(':').next().unwrap()));
        }
        let text = format!("{SETTINGS}store_reads_per_s: 16000.0\nstore_read_mb_per_s:\n");
        assert!(GatewayConfig::parse("vm-1.yaml", &text).is_ok());
    }

    // A daemon starts with bounds that let it send nothing, or anything, to cold endpoints.
    bounds_of_cold_endpoints_are_checked => {
        for line in ["cold_excess: -1", "cold_slack: 1e9", "cold_excess: .nan"] {
            let text = format!("{SETTINGS}{line}\n");
            assert!(GatewayConfig::parse("vm-1.yaml", &text).is_err(), "{line}");
        }
        let text = format!("{SETTINGS}cold_excess: 1.5\ncold_slack: 5\n");
        let config = GatewayConfig::parse("vm-1.yaml", &text).unwrap();
        assert_eq!((config.cold_excess, config.cold_slack), (Some(1.5), Some(5.0)));
    }

    // A daemon of a deployment with other duties or expectations does not start.
    unknown_features_and_duties_are_ignored => {
        let text = format!(
            "{SETTINGS}features: [base, pressure, tides]\nmemory_mb: 160\n\
             duties:\n  address: 127.0.0.1:7\n  kinds: [usage, scale, sweep]\n"
        );
        let config = GatewayConfig::parse("vm-1.yaml", &text).unwrap();
        let kinds = config.duties.unwrap().kinds;
        assert_eq!(kinds, [DutyKind::Usage, DutyKind::EndpointOrders, DutyKind::Unknown]);
        assert!(Features::decode(&config.features).overload_control);
    }
    // Guards against a deployment on which nothing bounds what is held for callers.
    memory_is_limited_on_every_deployment => {
        let limits = |lines: &str| {
            let config = GatewayConfig::parse("vm-1.yaml", &format!("{SETTINGS}{lines}\n"));
            config.unwrap().memory_limits()
        };
        let small = limits("memory_mb: 120");
        assert_eq!(limits("features: [base]\nmemory_mb: 120"), small);
        assert_eq!(limits("features: [pressure]\nmemory_mb: 120"), small);
        // What the users allow a daemon for control.
        let allowed = limits("memory_mb: 256");
        assert_eq!(limits("features: [pressure]"), allowed);
        assert_eq!(limits("memory_mb: 0"), allowed);
        assert!(small.refuse_bodies_bytes < small.close_connections_bytes);
        assert!(small.close_connections_bytes < 60 * 1024 * 1024, "the daemon itself needs the rest");
        // The largest body that the platform allows can be sent to the other VMs.
        let larger = limits("memory_mb: 160");
        assert!(larger.refuse_bodies_bytes > 32 * 1024 * 1024);
    }
}
