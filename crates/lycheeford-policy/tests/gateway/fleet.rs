//! Hosts that report to each other over links, in virtual time.

use lycheeford_policy::{
    CustomerRate, HostRecord, HostTable, Name, OwnCounts, PartnerRole, PeerReport, PeerState,
    PeerTable, RateUnit, ReportPace, Scope, Settling, SharedBucket, SharedWatch, ShortKey, Sums,
    TargetLog,
};

use crate::world::{at, name};

pub(crate) const CUSTOMER: ShortKey = ShortKey(1);
pub(crate) const RATE: CustomerRate =
    CustomerRate { units_per_s: 1_000.0, burst_units: 2_000.0, unit: RateUnit::Requests };
/// The network delay of a report.
const NETWORK_DELAY_MS: u64 = 5;
/// The rate of a host's link, 10 Mbit/s, and the size of its queue; reports beyond it are dropped.
const LINK_BYTES_PER_MS: f64 = 1_250.0;
const LINK_QUEUE_BYTES: f64 = 64_000.0;

/// Hosts that report to each other, in virtual time.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    /// Reports in flight: the time of arrival, the receiver's index and the report.
    pub(crate) in_flight: Vec<(u64, usize, PeerReport)>,
    /// The size of each report; 0 for links of unlimited capacity.
    pub(crate) report_bytes: usize,
    pub(crate) ms: u64,
}

pub(crate) struct Host {
    pub(crate) record: HostRecord,
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    /// Hosts don't understand the messages of hosts with another build.
    pub(crate) build: u32,
    pub(crate) table: HostTable,
    pub(crate) peers: PeerTable,
    pub(crate) own: OwnCounts,
    pub(crate) bucket: SharedBucket,
    pub(crate) settling: Settling,
    /// What the host knows of the list of targets.
    pub(crate) watch: SharedWatch,
    pub(crate) log: TargetLog,
    /// The units that the customer spent at other hosts, as they reported.
    pub(crate) reported_units: f64,
    pub(crate) next_ms: u64,
    /// The number of reports sent.
    pub(crate) sent: u64,
    pub(crate) pace: ReportPace,
    /// When the link will have sent all queued reports.
    pub(crate) link_free_ms: f64,
}

impl Host {
    pub(crate) fn start(index: usize, domains: usize, incarnation: u64, ms: u64) -> Host {
        let record = record(index, domains);
        Host {
            table: HostTable::new(record.clone()),
            record,
            incarnation,
            is_up: true,
            build: 0,
            peers: PeerTable::default(),
            own: OwnCounts::default(),
            bucket: SharedBucket::new(at(ms)),
            settling: Settling::default(),
            watch: SharedWatch::default(),
            log: TargetLog::default(),
            reported_units: 0.0,
            sent: 0,
            pace: ReportPace::default(),
            link_free_ms: 0.0,
            next_ms: ms + 1 + index as u64 * 7 % 250,
        }
    }

    pub(crate) fn spend(&mut self, ms: u64, units: f64) {
        let before = self.own.spent.first().map_or(0.0, |(_, units)| *units);
        self.own.spent = vec![(CUSTOMER, before + units)];
        self.own.asked.add(at(ms), CUSTOMER, 1.0);
    }

    /// Returns whether the customer's rate admits a request, and counts its units.
    pub(crate) fn admit(&mut self, ms: u64, rate: &CustomerRate, units: f64) -> bool {
        let visibility = self.settling.limit(self.table.visibility(at(ms)));
        let is_admitted = self.bucket.take(at(ms), rate, &visibility, units).is_ok();
        if is_admitted {
            self.own.spent = vec![(CUSTOMER, self.bucket.spent_here())];
        } else {
            let before = self.own.refused.first().map_or(0.0, |(_, units)| *units);
            self.own.refused = vec![(CUSTOMER, before + units)];
        }
        is_admitted
    }

    pub(crate) fn spent(&self) -> f64 {
        self.own.spent.first().map_or(0.0, |(_, units)| *units)
    }

    /// Queues a report on the host's link; returns when it is sent, or `None` if the queue is full.
    pub(crate) fn transmit(&mut self, ms: u64, bytes: usize) -> Option<u64> {
        let (now_ms, bytes) = (ms as f64, bytes as f64);
        let waiting_bytes = (self.link_free_ms - now_ms).max(0.0) * LINK_BYTES_PER_MS;
        if waiting_bytes + bytes > LINK_QUEUE_BYTES {
            return None;
        }
        self.link_free_ms = self.link_free_ms.max(now_ms) + bytes / LINK_BYTES_PER_MS;
        Some(self.link_free_ms.ceil() as u64)
    }

    pub(crate) fn report(&self, ms: u64, to: &Name, role: Option<PartnerRole>) -> PeerReport {
        let (scope, sums) = match role {
            Some(_) => self.peers.sums_for(at(ms), to, &self.own),
            None => (Scope::Nobody, Sums::default()),
        };
        let signs = self.table.signs(at(ms), self.peers.layout(), role);
        let known = self.peers.peer(to).map(|peer| &peer.report);
        let heard = known.map_or(Vec::new(), |report| report.sums.spent.clone());
        let levels = self.bucket.level(at(ms)).map(|level| (CUSTOMER, level)).into_iter().collect();
        PeerReport {
            scope,
            sums,
            signs,
            heard,
            levels,
            is_settled: self.settling.is_settled(),
            echo: known.map(|known| known.sent_at),
            targets_changed: self.watch.changed(),
            targets_age_ms: self.watch.age_ms(at(ms)),
            targets_known: self.log.known(),
            target_changes: known.and_then(|known| self.log.since(known.targets_known, 24)),
            ..report(&self.record, self.incarnation, ms, 0.0)
        }
    }

    pub(crate) fn receive(&mut self, ms: u64, report: &PeerReport) {
        let long_silence_ms = self.table.long_silence_ms();
        let Some(diff) = self.peers.heard(at(ms), report.clone(), long_silence_ms) else { return };
        self.table.record_report(at(ms), &report.sender, report.state);
        let role = self.peers.layout().role(&report.sender.host);
        if report.scope.has_new_signs(role) {
            self.table.merge_signs(at(ms), &report.signs);
        }
        if let Some(changes) = report.target_changes.clone() {
            self.log.take(changes);
        }
        let as_of = report.echo.zip(report.targets_age_ms).map(|(echo, age_ms)| echo - age_ms);
        self.watch.heard(at(ms), self.log.known(), report.targets_changed, as_of);
        let reported_units = diff.spent.iter().map(|(_, units)| units).sum::<f64>();
        self.reported_units += reported_units;
        if diff.is_counted {
            self.settling.heard(report.is_settled);
            self.bucket.spent_elsewhere(at(ms), reported_units);
            let refused_units = diff.refused.iter().map(|(_, units)| units).sum::<f64>();
            self.bucket.refused_elsewhere(at(ms), refused_units);
            for (customer, level) in &report.levels {
                let missing = self.peers.missing_units(report, *customer, self.spent());
                let Some(missing) = missing else { continue };
                self.bucket.level_elsewhere(at(ms), *level, missing);
            }
        }
    }
}

impl Fleet {
    /// Starts hosts that the store lists, and runs them until they have found each other.
    pub(crate) fn start(hosts: usize, domains: usize) -> Fleet {
        let start = |index| Host::start(index, domains, 1, 0);
        let mut fleet = Fleet {
            hosts: (0..hosts).map(start).collect(),
            in_flight: Vec::new(),
            report_bytes: 0,
            ms: 0,
        };
        fleet.read_host_list();
        fleet.run(4_000, |_, _| true);
        fleet
    }

    /// Gives every host the store's list of hosts.
    pub(crate) fn read_host_list(&mut self) {
        let records: Vec<HostRecord> = self.hosts.iter().map(|host| host.record.clone()).collect();
        for host in &mut self.hosts {
            host.table.listed(at(self.ms), &records);
            host.settling.listed();
        }
    }

    /// Advances time; `arrives` decides by sender and receiver which reports arrive.
    pub(crate) fn run(&mut self, for_ms: u64, arrives: impl Fn(usize, usize) -> bool) {
        for ms in self.ms + 1..=self.ms + for_ms {
            self.ms = ms;
            for from in 0..self.hosts.len() {
                if self.hosts[from].is_up && ms >= self.hosts[from].next_ms {
                    self.send(from, &arrives);
                }
            }
            let mut due = Vec::new();
            self.in_flight.retain(|(when, to, report)| {
                if *when <= ms {
                    due.push((*to, report.clone()));
                }
                *when > ms
            });
            for (to, report) in due {
                let sender_build = self.hosts[index_of(&report.sender.host)].build;
                let host = &mut self.hosts[to];
                if host.is_up && host.build == sender_build {
                    host.receive(ms, &report);
                } else if host.is_up {
                    host.table.record_unread(at(ms), report.sender.peer_address);
                }
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, arrives: &impl Fn(usize, usize) -> bool) {
        let ms = self.ms;
        let host = &mut self.hosts[from];
        host.next_ms = ms + host.table.report_ms();
        let layout = host.table.layout(at(ms));
        host.peers.set_layout(layout);
        host.settling.watch(at(ms), &host.table.visibility(at(ms)));
        let host = &self.hosts[from];
        let mut reports = Vec::new();
        for (to, role) in host.peers.layout().partners() {
            reports.push((index_of(to), host.report(ms, to, Some(*role))));
        }
        for to in host.peers.unpaired_hosts(at(ms), 2 * host.table.report_ms()) {
            reports.push((index_of(to), host.report(ms, to, None)));
        }
        for address in host.table.silent_addresses(at(ms)).into_iter().take(16) {
            let sums = Sums { spent: host.own.spent.clone(), ..Sums::default() };
            let report = PeerReport { sums, ..report(&host.record, host.incarnation, ms, 0.0) };
            reports.push((usize::from(address.port()), report));
        }
        let host = &mut self.hosts[from];
        host.sent += reports.len() as u64;
        let mut sent_ms = ms;
        for (to, report) in reports {
            let left_ms = host.transmit(sent_ms, self.report_bytes);
            if let Some(left_ms) = left_ms.filter(|_| arrives(from, to)) {
                self.in_flight.push((left_ms + NETWORK_DELAY_MS, to, report));
            }
            sent_ms += host.pace.sent(self.report_bytes).unwrap_or_default();
        }
        host.next_ms = host.next_ms.max(sent_ms);
    }

    /// Returns the units spent at all hosts, and those that `host` knows of: its own and those that
    /// others reported.
    pub(crate) fn known(&self, host: usize) -> (f64, f64) {
        let total: f64 = self.hosts.iter().map(Host::spent).sum();
        (total, self.hosts[host].spent() + self.hosts[host].reported_units)
    }
}

pub(crate) fn record(index: usize, domains: usize) -> HostRecord {
    HostRecord {
        host: name(&format!("host-{index}")),
        peer_address: ([127, 0, 0, 1], index as u16).into(),
        caller_address: ([127, 0, 0, 1], 8_000).into(),
        failure_domain: name(&format!("domain-{}", index % domains)),
    }
}

pub(crate) fn index_of(host: &Name) -> usize {
    host.as_str().trim_start_matches("host-").parse().unwrap()
}

pub(crate) fn report(
    sender: &HostRecord,
    incarnation: u64,
    sent_ms: u64,
    spent: f64,
) -> PeerReport {
    PeerReport {
        sender: sender.clone(),
        incarnation,
        sent_at: at(sent_ms),
        echo: None,
        state: PeerState::Ready,
        is_settled: false,
        scope: Scope::Cell,
        sums: Sums { spent: vec![(CUSTOMER, spent)], ..Sums::default() },
        levels: Vec::new(),
        heard: Vec::new(),
        signs: Vec::new(),
        suspects: Vec::new(),
        declared: 0,
        suspects_digest: 0,
        revision: 1,
        target_answer_age_ms: None,
        lacks_targets: false,
        knows_cut_off: true,
        confirmed_age_ms: None,
        targets_changed: 0,
        targets_age_ms: None,
        lease: None,
        placements: Vec::new(),
        placements_known: (0, 0),
        targets_known: 0,
        target_changes: None,
        leaving: Vec::new(),
        evacuations: None,
    }
}
