//! Renders the capacity page.

use std::fmt::Write;

use crate::{
    fit::Fit,
    sweep::{Row, Sweep},
};

/// The deployment sizes, in VMs, that the page extrapolates to.
const SIZES: [f64; 2] = [675.0, 680.0];
/// The memory budget of a daemon, in MB.
const MEMORY_MB: f64 = 256.0;
const PROCESSOR: &str = "daemon: processor %";
const MEMORY: &str = "daemon: memory MB";

/// Renders the page as Markdown.
pub fn render(sweeps: &[Sweep]) -> String {
    let mut page = String::from(INTRODUCTION);
    for sweep in sweeps {
        plays(&mut page, sweep);
        figures(&mut page, sweep);
    }
    page.push_str(ROLES);
    budgets(&mut page, sweeps);
    page.push_str(LEFT);
    page
}

fn plays(page: &mut String, sweep: &Sweep) {
    let _ = writeln!(
        page,
        "\n## {}\n\n| VMs | endpoints | requests served | worth | promises broken |\n|---|---|---|---|---|",
        sweep.deployment
    );
    for play in &sweep.plays {
        let broken = match play.broken.as_str() {
            "" => "none",
            broken => broken,
        };
        let _ = writeln!(
            page,
            "| {} | {} | {:.3} | {:.3} | {broken} |",
            play.daemons, play.endpoints, play.served, play.worth
        );
    }
}

/// Renders the metrics of a sweep, extrapolated by a line through the sizes without violations.
fn figures(page: &mut String, sweep: &Sweep) {
    page.push_str("\n| figure, middle / most |");
    for play in &sweep.plays {
        let _ = write!(page, " {} VMs |", play.daemons);
    }
    page.push_str(" for one VM more, most | miss |");
    for size in SIZES {
        let _ = write!(page, " {size} VMs, most |");
    }
    let columns = sweep.plays.len() + 3 + SIZES.len();
    let _ = writeln!(page, "\n|{}", "---|".repeat(columns));
    for row in &sweep.rows {
        figure(page, sweep, row);
    }
}

fn figure(page: &mut String, sweep: &Sweep, row: &Row) {
    let _ = write!(page, "| {} |", row.name);
    for (middle, most) in row.middle.iter().zip(&row.most) {
        let _ = write!(page, " {middle} / {most} |");
    }
    let fit = Fit::through(&sweep.points(&row.most));
    let _ = write!(
        page,
        " {:.3} | {:.0} % |",
        fit.slope,
        fit.worst_miss * 100.0
    );
    for size in SIZES {
        let _ = write!(page, " {:.0} |", fit.at(size).max(0.0));
    }
    page.push('\n');
}

fn budgets(page: &mut String, sweeps: &[Sweep]) {
    page.push_str(
        "\n## Budgets at 680 VMs\n\n| deployment | plain daemon, MB | busiest daemon, MB | of 256 MB | plain daemon, processor % |\n|---|---|---|---|---|\n",
    );
    for sweep in sweeps {
        let at = |name: &str, values: fn(&Row) -> &Vec<f64>| {
            let row = sweep.row(name)?;
            let fit = Fit::through(&sweep.points(values(row)));
            Some(fit.at(SIZES[1]).max(0.0))
        };
        let plain_mb = at(MEMORY, |row| &row.middle).unwrap_or(0.0);
        let busiest_mb = at(MEMORY, |row| &row.most).unwrap_or(0.0);
        let plain_percent = at(PROCESSOR, |row| &row.middle).unwrap_or(0.0);
        let verdict = match busiest_mb <= MEMORY_MB {
            true => "met",
            false => "**not met**",
        };
        let _ = writeln!(
            page,
            "| {} | {plain_mb:.1} | {busiest_mb:.0} | {verdict} | {plain_percent:.1} |",
            sweep.deployment
        );
    }
}

const INTRODUCTION: &str = "\
# Capacity

What each size costs, from sweeps of the users' bench: one day at 30, 100 and 300 VMs before ten times as many endpoints, and at 1,000 on
the first deployment. `tools/run-sweep` saves the tables in `docs/measured/`, and `cargo run -p borageshore_bench --bin capacity` writes this page
from them; a test compares the two, so edit neither by hand.

The size to design for (letter 1): 680 daemons before 12,000 replicas, 35,000 requests and 15 million tokens a second, 27 trainers with 2,048
samples a step, new weights on all replicas within 21 s, 25 availability zones; for control 2 % of a core, 256 MB and 12 KB a second a
daemon. The deployments name 675 VMs as the size to come. What is worked out for a size is a straight line through the sizes at which no
promise was broken; a large miss says that the growth is not a straight line. Times are in ms.
";

const ROLES: &str = "
## The whole fleet: 985 VMs, 9,999 endpoints

What this page had carried on from 300 VMs, and what a quiet and a rough day showed before and after the change of who reads
([0013](decisions/0013-feed.md), [account](design/fleet.md)). Days cut short are trials of 30 to 40 s with 4 to 6 s of traffic.

| row | the page, for 680 | before, whole days | after, trials | why the line was wrong |
|---|---|---|---|---|
| requests served | 1.000 at 301 | 0.013, 0.006 | 0.960, 1.000 | the store's rate is shared: below it nothing shows, above it nothing moves |
| calls to the store | 2,720 a second | 2.35 million a day, 48,000 a second | 28,751 and 34,833 | retries of reads that time out |
| read from the store, GB | none stated | 1.32 | 0.21, 0.19 | N daemons times a state that grows with N |
| processor, cores, mean / most | 0.093 | 0.003 / 0.005, idle | 0.008 / 0.070 and 0.036 | daemons without routes have nothing to do |
| memory at its peak, MB | 7.1 plain, 155 busiest | 4.4 | 67 and 42 | the same |
| descriptors, most | 5,256 connections | 19 | 1,737 and 759 | the same |
| routes in force at all | 0 ms | never | not measured | the same |

The mean of 0.008 of a core is within 2 %; the most is not, at a daemon that owns steps. Control bytes a daemon were not measured.

## Roles and what carries them

| role | state | what it sends and reads | grows with | mechanism |
|---|---|---|---|---|
| every daemon: who lives | a record a daemon, 0.3 KB | 15 heartbeats a second to 3 watchers and as many from 3 others, 70 B each: 1 KB/s each way; the log's records of changes | changes, not daemons | watchers on a ring, suspicions in the log ([0011](decisions/0011-watching.md)) |
| every daemon of a small fleet, the readers of a large one: routes, endpoints, index, orders | what it serves by; an endpoint's entry takes 0.25 KB on the wire | a waiting read of each topic every 1.2 s, 4 a second (readers: 10 a second), and each change | endpoints, in memory; changes | one fold a topic |
| every daemon: requests that crash endpoints | 4,096 requests at most, some 0.3 KB each: 1.3 MB; none on a calm day | a record of 150 B a crash that it saw; all read 40 a second of all daemons together, 6 KB/s, on the days with crashes; while the store is away 4 messages of 1 KB to peers every 300 ms | crashes, not daemons | records among those of daemons, claims in the log ([0012](decisions/0012-quarantine.md)) |
| other daemons of a large fleet: the same, index and orders only where they may own work | the same, and for eight others | from one peer, 3 to 5 requests a second, and each change; the same to eight others | endpoints, in memory; changes | tree of readers ([0013](decisions/0013-feed.md)) |
| every daemon: a start | the same | the newest record of each endpoint and daemon, 0.3 KB, from the store or from a peer | endpoints and daemons; at the store bounded | pages of 500 records, of 256 KB |
| entry for callers | in-flight calls | a connection to each endpoint that it used lately | calls; its own connections to endpoints | two choices, ejection, a second endpoint beside a slow one |
| owner of steps, one for a service up to 600 slots, then a share of the trainers each | submissions, texts under way | items, a stream each; results and progress to the store | slots of the service | one dispatcher sees all that runs at an engine |
| every daemon: organisations and keys | 32 B and a name a key: 0.2 MB at 2,000 keys | nothing of its own: they come with the routes, whose waiting read confirms them every 1.2 s | keys, in memory; changes | digests, a view as old as its question |
| every daemon: usage | counts of four windows, an entry an organisation | a total at once where calls are rare, else one every 5 ms for each daemon that lives (3.4 s at 680), 200 appends a second of all | organisations asked for in the time between | totals that only rise |
| every daemon: true time | an offset | five peers asked every 10 s, 0.3 KB each | nothing | what most peers agree on |
| holder of the duties, one | all totals of 40 s, the reports of 40 s | waiting reads of the totals, one a partition; a record and a call a window | daemons times organisations | the orderer's announcements |
| orderer of weights, one | rounds | a report from each engine that loads; an order each | engines and versions | rounds by conditional append, a share of the engines a version |
| holder of the duties: orders for endpoints | a count and a back-off a zone | a record and a call a zone when the need changes; all entries looked through once in 0.5 to 1 s | endpoints, at the holder only; zones | a number for each zone, not a difference; announcements of the duties |
| owner of steps: start order, engines that leave | a position a waiting item; a median time per token | nothing | items that wait | least slack, computed as an item starts to wait |
| owner of steps: waits for a slot | a timer and a place in the queue a waiting item | nothing | items that wait: a change of the routes takes 17 ms where 10,000 do (release build, a trial) | only an item whose request is no longer valid leaves the queue |
| owner of steps: engine latencies | 12 B an engine that differs, 64 at most | 3 KB in the records of texts each 2 s | nothing: capped | steps of 10 % of the median |
| owner of steps: reward calls | a waiting call each, counts a group, 64 durations a service | a second request for a slow call, 20 % of the calls at most | its own waiting calls | a queue by what completes groups |
| every daemon: overload | counts of 2,048 organisations a service at most, which fade within seconds | nothing | organisations that call it; a look at the endpoints of a service each 10 ms at most | reports of endpoints |
| every daemon: memory for callers | a count a connection | nothing | connections | a share of `memory_mb` |
| owner of steps: started items | up to 8 KiB a waiting item, four a slot, a tenth of `memory_mb` in all | nothing | slots, not items | items start as slots become free |
| every daemon: accepted work | the encoded records of submissions that it runs or that are read, 110 B more an item, its results; 33 % of `memory_mb` in all | a load again after an eviction | submissions that it runs or is asked for | records evicted, finished ones first; loads that wait |
| every daemon: regions | a region a zone, from the settings | nothing | zones, in memory | distances worked out where they are needed |
| a daemon of each region: reads of a submission | the records of submissions that its region asks for, while they are open | a waiting read of each shard that they are in: with R regions up to R times as many readers of a shard | submissions asked for; regions | one reader a region by rendezvous, results cross regions once |
| every daemon: residency | the allowed regions of routes, organisations and index entries, 0.1 KB each | nothing of its own | routes and organisations with restrictions; sets of regions, each with shards of its own: 35 at the most | filters where something is chosen; owners, readers and peers inside |
| every daemon: evacuations | an offset a zone, 256 zones at most | nothing of its own: they come with the routes | zones | a gate at the choice of every endpoint |
| every daemon: cold endpoints | two times a member, 0.1 KB: 0.1 MB at 1,000 daemons; the sends of 1.5 s to each endpoint of a service with limits | nothing of its own: members' records and endpoints' entries are followed anyway | members and endpoints called, in memory; a share for each cold endpoint that is chosen looks through the members | at most four daemons share a budget, no messages |
| watcher of 3 others | when each was heard | see the first row; a suspicion a death | nothing | [`WatchTable`](../crates/borageshore_membership/src/watch.rs) |

## The store

A daemon's record that says nothing new comes every 0.6 s at 12 VMs and once in an hour at 985, so that all daemons together read 250 a second.
Readers make 10 reads a second each that wait; there are 27 at 985 VMs and two a zone at least.
Texts under way are stored by all together with 6 MB a second at the most, the longest first: beyond some 1,100 busy slots a
successor goes on with a part of them only.
";

const LEFT: &str = "
## Furthest over its limit, and what comes next

1. **Endpoints in daemons that do not call them.** Each daemon follows all 9,999, most of them engines that a weak VM never calls: 137 KB a second
   while they register (550 a second), against 12 KB of control. At twice the size it takes twice as long at the same rate, and eight
   times that leaves each daemon that passes on. Next: engines only where steps are owned; the sum of slots, which decides owners, passed on.
2. **Samples of 27 trainers with 2,048 each.** Sweeps play two trainers of some 200 items. An owner holds the texts of its open steps: 40,690
   tokens a sample would be 4 KB of text a hundred tokens and gigabytes a step, against 256 MB. Next: daemons keep what they made, owners keep names.
3. **Weights on 12,000 replicas within 21 s.** One orderer asks each engine that loads; loads at once are a share of the engines. Next: an orderer for each
   service and zone. The weight store's rate is not given.
4. **New connections to endpoints** are the largest price of the fleet after the VMs: nearly one a request in trials of some seconds, and of the sweeps of
   rcs-quotehub-grown, where 30 VMs call 300 endpoints.
5. **A change of the operator's record** is passed on whole: at 0.25 KB a route 1,400 routes take 0.35 MB, from each daemon that passes on 2.8 MB,
   0.4 s of a link of 60 Mbit/s (worked out).
6. **Shares of cold endpoints** look through all members for each choice: not measured on its own. A request to an endpoint that becomes cold in an outage of
   the store is held to no common bound (KNOWN-RED).
7. **Owners of submissions** are one for all regions: its items cross regions when its own is full.
";
