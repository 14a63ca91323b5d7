use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

const BUFFER_BYTES: usize = 16 * 1024;

/// Passes TCP connections on to one address, until a test cuts or silences them.
///
/// The caller of a connection is the first name of `callers` that its first bytes contain; a
/// connection without any counts as coming from every caller.
#[derive(Clone)]
pub struct Relay(Arc<Shared>);

struct Shared {
    target: SocketAddr,
    callers: Vec<String>,
    links: Mutex<Vec<Link>>,
    cut: Mutex<Vec<String>>,
}

struct Link {
    caller: Option<String>,
    silent: Arc<AtomicBool>,
    streams: [TcpStream; 2],
}

impl Relay {
    /// Listens on `address` and passes connections on to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr, callers: Vec<String>) -> Relay {
        let listener = TcpListener::bind(address).await.expect("the relay's address is free");
        let relay = Relay(Arc::new(Shared {
            target,
            callers,
            links: Mutex::default(),
            cut: Mutex::default(),
        }));
        let accepting = relay.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(accepting.clone().pass_on(stream));
            }
        });
        relay
    }

    /// Closes the caller's connections, and each new one, until `reconnect`.
    pub fn cut(&self, caller: &str) {
        self.0.cut.lock().unwrap().push(caller.to_owned());
        for link in self.0.links.lock().unwrap().iter().filter(|link| link.is_from(caller)) {
            for stream in &link.streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets the caller through again.
    pub fn reconnect(&self, caller: &str) {
        self.0.cut.lock().unwrap().retain(|cut| cut != caller);
    }

    /// Makes every open connection silent for good; what is sent is still acknowledged.
    pub fn silence_open(&self) {
        for link in self.0.links.lock().unwrap().iter() {
            link.silent.store(true, Ordering::SeqCst);
        }
    }

    async fn pass_on(self, mut caller: TcpStream) -> Option<()> {
        let mut first = vec![0; BUFFER_BYTES];
        let read = caller.read(&mut first).await.ok()?;
        let name = self.caller_of(&first[..read]);
        if self.is_cut(name.as_deref()) {
            let _ = caller.shutdown(Shutdown::Both);
            return None;
        }
        let mut target = TcpStream::connect(self.0.target).await.ok()?;
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        target.write_all(&first[..read]).await.ok()?;
        let silent = Arc::new(AtomicBool::new(false));
        let streams = [caller.clone(), target.clone()];
        let link = Link { caller: name, silent: Arc::clone(&silent), streams };
        self.0.links.lock().unwrap().push(link);
        let back = task::spawn(copy(target.clone(), caller.clone(), Arc::clone(&silent)));
        copy(caller, target, Arc::clone(&silent)).await;
        back.await;
        let mut links = self.0.links.lock().unwrap();
        links.retain(|link| !Arc::ptr_eq(&link.silent, &silent));
        Some(())
    }

    fn caller_of(&self, first: &[u8]) -> Option<String> {
        let contains =
            |name: &&String| first.windows(name.len()).any(|part| part == name.as_bytes());
        self.0.callers.iter().find(contains).cloned()
    }

    fn is_cut(&self, caller: Option<&str>) -> bool {
        let cut = self.0.cut.lock().unwrap();
        cut.iter().any(|cut| caller.is_none_or(|caller| caller == cut))
    }
}

impl Link {
    fn is_from(&self, caller: &str) -> bool {
        self.caller.as_deref().is_none_or(|own| own == caller)
    }
}

/// Copies until either end closes; bytes that arrive while silent are read and dropped.
async fn copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    if !silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
