//! A model worker that holds models and adapters, carries out orders and reports, as PROTOCOL.md
//! says.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::random;
use crate::record::Record;
use crate::store::Store;
use crate::worker::unix_ms;

const UNLOAD: Duration = Duration::from_millis(100);
const ADAPTER_LOAD: Duration = Duration::from_millis(10);
/// Reports and heartbeats are as of so long ago.
const REPORT_LAG: Duration = Duration::from_millis(200);
const BEAT: Duration = Duration::from_millis(1_200);

/// An order that reached a worker.
#[derive(Debug, Clone)]
pub struct Ordered {
    pub at: Instant,
    /// The machine that sent it.
    pub from: IpAddr,
    pub holder: String,
    pub token: u64,
    pub status: u16,
}

/// What all workers of a service have in common.
#[derive(Clone)]
pub struct Limits {
    pub service: String,
    /// The models with their sizes in MB.
    pub models: Vec<(String, u64)>,
    pub adapter_mb: u64,
    pub weights_mb: u64,
    pub adapter_slots: usize,
    pub load: Duration,
}

#[derive(Debug, Clone, Default)]
struct Held {
    model: String,
    adapters: Vec<String>,
    /// Adapters on their way, with the time of their arrival.
    pending: Vec<(String, Instant)>,
}

#[derive(Debug, Clone)]
struct Order {
    until: Instant,
    model: String,
    is_load: bool,
}

#[derive(Debug, Default)]
struct State {
    held: Vec<Held>,
    sequence: u64,
    order: Option<Order>,
    orders: Vec<Ordered>,
    /// One in so many orders isn't answered and is carried out later; 0 is none.
    late_orders: u64,
    is_stopped: bool,
    /// Orders for more than the worker holds.
    overloads: Vec<String>,
    /// Texts for reports, with their times.
    views: Vec<(Instant, String, String)>,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    zone: String,
    pub address: SocketAddr,
    born: u64,
    limits: Limits,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &str,
        models: &[&str],
        limits: &Limits,
        store: &Store,
        record: &Record,
    ) -> Engine {
        Engine::start_at(None, id, zone, models, limits, store, record)
    }

    pub fn start_at(
        address: Option<SocketAddr>,
        id: &str,
        zone: &str,
        models: &[&str],
        limits: &Limits,
        store: &Store,
        record: &Record,
    ) -> Engine {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(address.unwrap_or(any)).expect("the worker binds");
        let held = |model: &&str| Held { model: (*model).to_owned(), ..Held::default() };
        let state = State { held: models.iter().map(held).collect(), ..State::default() };
        let engine = Engine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("the worker has an address"),
            born: unix_ms(),
            limits: limits.clone(),
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
        };
        record.line(&format!("worker {id} starts with {models:?}"));
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = engine.clone();
        thread::spawn(move || {
            for beat in 1.. {
                if beating.is_stopped() {
                    return;
                }
                beating.beat(beat);
                thread::sleep(BEAT);
            }
        });
        let looking = engine.clone();
        thread::spawn(move || {
            while !looking.is_stopped() {
                looking.look();
                thread::sleep(Duration::from_millis(20));
            }
        });
        engine
    }

    fn accept(&self, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        while !self.is_stopped() {
            let Ok((stream, from)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(kept) = stream.try_clone() {
                self.state.lock().unwrap().streams.push(kept);
            }
            let engine = self.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.message() {
                    if engine.answer(&request, from.ip(), &mut connection).is_err() {
                        return;
                    }
                }
            });
        }
    }

    pub fn is_stopped(&self) -> bool {
        self.state.lock().unwrap().is_stopped
    }

    /// Crashes: it answers nothing more, and its connections break off.
    pub fn crash(&self) {
        self.record.line(&format!("worker {} crashes", self.id));
        let mut state = self.state.lock().unwrap();
        state.is_stopped = true;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn set_late_orders(&self, one_in: u64) {
        self.state.lock().unwrap().late_orders = one_in;
    }

    pub fn orders(&self) -> Vec<Ordered> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn overloads(&self) -> Vec<String> {
        self.state.lock().unwrap().overloads.clone()
    }

    fn mb(&self, model: &str) -> u64 {
        self.limits.models.iter().find(|(name, _)| name == model).map_or(0, |(_, mb)| *mb)
    }

    fn finish(&self, state: &mut State) {
        let now = Instant::now();
        for held in &mut state.held {
            let arrived: Vec<String> = held
                .pending
                .iter()
                .filter(|(_, at)| now >= *at)
                .map(|(name, _)| name.clone())
                .collect();
            held.pending.retain(|(_, at)| now < *at);
            held.adapters.extend(arrived);
        }
        if !state.order.as_ref().is_some_and(|order| now >= order.until) {
            return;
        }
        if let Some(Order { model, is_load, .. }) = state.order.take() {
            state.held.retain(|held| held.model != model);
            if is_load {
                state.held.push(Held { model, ..Held::default() });
            }
        }
    }

    /// Notes what a report says now; it is told later.
    fn look(&self) {
        let mut state = self.state.lock().unwrap();
        self.finish(&mut state);
        let model = |held: &Held| {
            let adapters: Vec<String> =
                held.adapters.iter().map(|name| format!("\"{name}@1\"")).collect();
            let adapters = adapters.join(",");
            format!("{{\"Name\":\"{}\",\"Version\":1,\"Adapters\":[{adapters}]}}", held.model)
        };
        let models: Vec<String> = state.held.iter().map(model).collect();
        let available: Vec<String> =
            self.limits.models.iter().map(|(name, _)| format!("\"{name}@1\"")).collect();
        let available = available.join(",");
        let models = format!(
            "\"Models\":[{}],\"Available\":{{\"InMemory\":[{available}],\"OnDisk\":[{available}]}}",
            models.join(",")
        );
        let pending: Vec<String> = state
            .held
            .iter()
            .flat_map(|held| {
                held.pending.iter().map(|(name, _)| format!("\"{}/{name}@1\"", held.model))
            })
            .collect();
        let report = format!(
            "{{\"Stage\":\"mixed\",{models},\"Pending\":[{}],\"Busy\":{},\"Sequence\":{},\"born\":{},\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":251172,\"Handles\":0}}",
            pending.join(","),
            state.order.is_some(),
            state.sequence,
            self.born
        );
        let now = Instant::now();
        state.views.push((now, models, report));
        while state.views.len() > 1 && now.duration_since(state.views[1].0) >= REPORT_LAG {
            state.views.remove(0);
        }
    }

    fn view(&self) -> (String, String) {
        let state = self.state.lock().unwrap();
        let view = state.views.first();
        let empty = || {
            (
                "\"Models\":[]".to_owned(),
                format!("{{\"Models\":[],\"Busy\":false,\"Sequence\":0,\"born\":{}}}", self.born),
            )
        };
        view.map_or_else(empty, |(_, models, report)| (models.clone(), report.clone()))
    }

    fn beat(&self, beat: u64) {
        if beat == 1 {
            self.look();
        }
        let (models, _) = self.view();
        let Engine { id, zone, address, born, .. } = self;
        let service = &self.limits.service;
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{beat},\"born\":{born},\"Stage\":\"mixed\",{models}}}"
        );
        self.store.put("servers", id, &spec);
    }

    fn answer(&self, request: &Message, from: IpAddr, out: &mut Connection) -> io::Result<()> {
        if self.is_stopped() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let (method, target) = request.request();
        if request.header("expected-instance").is_some_and(|expected| expected != self.id) {
            return out.answer("421 Misdirected Request", &[("instance-id", self.id.clone())], b"");
        }
        match (method, target) {
            ("GET", "/v1/report") => {
                let (_, report) = self.view();
                let headers = [("content-type", "application/json".to_owned())];
                out.answer("200 OK", &headers, report.as_bytes())
            }
            ("POST", "/v1/order") => {
                let one_in = self.state.lock().unwrap().late_orders;
                if one_in > 0 && random::below(one_in) == 0 {
                    let (engine, body) = (self.clone(), request.body.clone());
                    self.record
                        .line(&format!("worker {} carries out an order of {from} late", self.id));
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(2_000 + random::below(10_000)));
                        if !engine.is_stopped() {
                            engine.order(&body, from, true);
                        }
                    });
                    thread::sleep(Duration::from_secs(10));
                    return Err(io::ErrorKind::TimedOut.into());
                }
                let status = self.order(&request.body, from, false);
                out.answer(status, &[], b"")
            }
            _ => self.run(request, out),
        }
    }

    fn run(&self, request: &Message, out: &mut Connection) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let name = request.header("model").unwrap_or("").to_owned();
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (name.clone(), None),
        };
        let is_held = {
            let mut state = self.state.lock().unwrap();
            self.finish(&mut state);
            let held = state.held.iter().find(|held| held.model == model);
            held.is_some_and(|held| {
                adapter.as_ref().is_none_or(|adapter| held.adapters.contains(adapter))
            })
        };
        let headers = [("attempt-id", id.clone()), ("not-executed", "1".to_owned())];
        if !is_held {
            return out.answer("421 Misdirected Request", &headers, b"");
        }
        self.record.line(&format!("worker {} runs {id} with {name}", self.id));
        out.write(&format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nattempt-id: {id}\r\nresponse-signature: sig.{}\r\n\r\n",
            self.id
        ))?;
        thread::sleep(Duration::from_millis(60));
        out.write_chunk(&format!("id: 1\ndata: {name} of {}\n\n", self.id))?;
        out.write("0\r\n\r\n")
    }

    fn order(&self, body: &[u8], from: IpAddr, is_late: bool) -> &'static str {
        let mut state = self.state.lock().unwrap();
        self.finish(&mut state);
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let (operation, model, adapter) = (text("Operation"), text("Model"), text("Adapter"));
        let holder = text("Holder");
        let token = body.get("FencingToken").and_then(Json::number).unwrap_or(0);
        let expect = body.get("Expect").and_then(Json::number);
        let is_load = operation == "load";
        let status = if holder.is_empty() || token == 0 {
            "400 Bad Request"
        } else if state.order.is_some() || expect.is_some_and(|expect| expect != state.sequence) {
            "409 Conflict"
        } else if adapter.is_empty() {
            self.order_model(&mut state, &model, is_load)
        } else {
            self.order_adapter(&mut state, &model, &adapter, is_load)
        };
        if !is_late {
            // Judged as it arrives; a late order arrived before.
            state.orders.push(Ordered {
                at: Instant::now(),
                from,
                holder: holder.clone(),
                token,
                status: status[..3].parse().unwrap_or(0),
            });
        }
        self.record.line(&format!(
            "worker {} gets the order {operation} {model} {adapter} from {from}, holder {holder}, fencing token {token}, expected {expect:?}{}: {status}",
            self.id,
            if is_late { ", late" } else { "" }
        ));
        status
    }

    fn order_model(&self, state: &mut State, model: &str, is_load: bool) -> &'static str {
        if is_load == state.held.iter().any(|held| held.model == model) {
            return "200 OK";
        }
        state.sequence += 1;
        let duration = if is_load { self.limits.load } else { UNLOAD };
        let until = Instant::now() + duration;
        if is_load {
            self.check_memory(state, self.mb(model), &format!("model {model}"));
        }
        state.order = Some(Order { until, model: model.to_owned(), is_load });
        "202 Accepted"
    }

    fn order_adapter(
        &self,
        state: &mut State,
        model: &str,
        adapter: &str,
        is_load: bool,
    ) -> &'static str {
        let Some(index) = state.held.iter().position(|held| held.model == model) else {
            return "400 Bad Request";
        };
        let held = &state.held[index];
        let has = held.adapters.iter().any(|known| known == adapter)
            || held.pending.iter().any(|(known, _)| known == adapter);
        if is_load == has {
            return "200 OK";
        }
        state.sequence += 1;
        if is_load {
            self.check_memory(state, self.limits.adapter_mb, &format!("adapter {model}/{adapter}"));
            let slots: usize =
                state.held.iter().map(|held| held.adapters.len() + held.pending.len()).sum();
            if slots >= self.limits.adapter_slots {
                let text = format!("adapter {model}/{adapter} beyond {slots} slots");
                self.record.line(&format!("worker {} is overloaded: {text}", self.id));
                state.overloads.push(text);
            }
            let at = Instant::now() + ADAPTER_LOAD;
            state.held[index].pending.push((adapter.to_owned(), at));
            return "202 Accepted";
        }
        let held = &mut state.held[index];
        held.adapters.retain(|known| known != adapter);
        held.pending.retain(|(known, _)| known != adapter);
        "200 OK"
    }

    fn check_memory(&self, state: &mut State, more_mb: u64, what: &str) {
        let held_mb: u64 = state
            .held
            .iter()
            .map(|held| {
                let adapters = (held.adapters.len() + held.pending.len()) as u64;
                self.mb(&held.model) + adapters * self.limits.adapter_mb
            })
            .sum();
        if held_mb + more_mb > self.limits.weights_mb {
            let text = format!("{what} of {more_mb} MB beside {held_mb} MB");
            self.record.line(&format!("worker {} is overloaded: {text}", self.id));
            state.overloads.push(text);
        }
    }
}
