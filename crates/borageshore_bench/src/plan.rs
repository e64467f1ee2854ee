//! The sizes that the page is worked out for.

/// A deployment's size.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// How the page names it.
    pub name: &'static str,
    /// Daemons.
    pub daemons: u64,
    /// Availability zones.
    pub zones: u64,
    /// Endpoints.
    pub replicas: u64,
    /// Rollout jobs.
    pub jobs: u64,
    /// Services whose weights are swapped.
    pub services: u64,
    /// Samples in a step.
    pub samples_per_step: u64,
    /// Time for a step.
    pub step_s: f64,
    /// Requests a second, all daemons.
    pub requests_per_s: f64,
    /// Nodes of the settings tree; no letter says how many, so this is an assumption.
    pub nodes: u64,
    /// Settings changes a day.
    pub changes_per_day: f64,
    /// Daemons replaced or restarted a day.
    pub restarts_per_day: f64,
    /// Tokens of a sample.
    pub tokens_per_sample: f64,
    /// The lease time.
    pub lease_ttl_s: f64,
}

impl Plan {
    /// What runs today, as Navua's example has it; rates are those of the example.
    pub const TODAY: Self = Self {
        name: "today",
        daemons: 12,
        zones: 3,
        replicas: 14,
        jobs: 1,
        services: 3,
        samples_per_step: 32,
        step_s: 5.0,
        requests_per_s: 200.0,
        nodes: 12,
        changes_per_day: 100.0,
        restarts_per_day: 12.0,
        tokens_per_sample: 40.0,
        lease_ttl_s: 5.0,
    };

    /// The users' plan for the next two years, from letter 1.
    ///
    /// The letter does not divide the 15 million tokens a second between live traffic and training;
    /// half is taken for training: 7.5 million / (27 x 2,048 / 300 s) = 40,690 tokens a sample.
    pub const FULL: Self = Self {
        name: "letter 1",
        daemons: 680,
        zones: 25,
        replicas: 12_000,
        jobs: 27,
        services: 25,
        samples_per_step: 2_048,
        step_s: 300.0,
        requests_per_s: 35_000.0,
        nodes: 2_000,
        changes_per_day: 39_000.0,
        restarts_per_day: 4_640.0,
        tokens_per_sample: 40_690.0,
        lease_ttl_s: 15.0,
    };

    /// Daemons of one zone.
    pub fn daemons_per_zone(&self) -> f64 {
        self.daemons as f64 / self.zones as f64
    }

    /// Shards of work: the jobs, and the weights of each service.
    pub fn shards(&self) -> u64 {
        self.jobs + self.services
    }

    /// Settings changes a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / 86_400.0
    }

    /// Renewals a second: each owner of a shard renews three times in a lease time.
    pub fn renewals_per_s(&self) -> f64 {
        self.shards().min(self.daemons) as f64 * 3.0 / self.lease_ttl_s
    }

    /// Samples a second of all jobs.
    pub fn samples_per_s(&self) -> f64 {
        self.jobs as f64 * self.samples_per_step as f64 / self.step_s
    }

    /// Endpoints that one daemon observes.
    pub fn observed(&self) -> f64 {
        if self.replicas <= 64 {
            return self.replicas as f64;
        }
        let observers = self.daemons_per_zone().min(8.0);
        self.replicas as f64 / self.zones as f64 * observers / self.daemons_per_zone()
    }
}
