//! Cache nodes and the ledger on their sockets: connections, requests, and answers in every manner the model asks for.

use super::door::Door;
use super::hall::{Hall, Post, Pulse};
use super::wire::{Asked, Wire};
use aniseyoke_lab_audit::Seen;
use aniseyoke_lab_world::{Ask, Manner, Process, Reply, Ticket};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// The pause between two pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// What an answer that does not end sends before its connection is left to stand, in bytes.
const OVERSIZE_MOST: usize = 64 << 20;

/// Takes the connections of one member for as long as the site stands.
pub async fn attend(hall: Rc<Hall>, member: usize, mut door: Door, post: Rc<Post>) {
    let mut process = post.process.subscribe();
    let now = *process.borrow_and_update();
    if let Err(e) = door.become_(now).await {
        tracing::error!("member {member} at {}: {e}", door.addr);
    }
    loop {
        tokio::select! {
            biased;
            changed = process.changed() => {
                if changed.is_err() {
                    return;
                }
                let now = *process.borrow_and_update();
                if let Err(e) = door.become_(now).await {
                    tracing::error!("member {member} at {}: {e}", door.addr);
                }
            }
            stream = door.accept() => {
                tokio::task::spawn_local(connection(hall.clone(), member, stream, post.clone()));
            }
        }
    }
}

/// One connection, until its peer ends it or its member's process does.
async fn connection(hall: Rc<Hall>, member: usize, stream: TcpStream, post: Rc<Post>) {
    let mut pulse = post.pulse.subscribe();
    let born = *pulse.borrow_and_update();
    let mut wire = Wire::new(stream);
    let ticket = Cell::new(None);
    let ledger = hall.world.borrow().is_ledger(member);
    let taken = hall.toll.borrow_mut().opened(hall.clock.now(), member, ledger);
    let reset = tokio::select! {
        biased;
        () = until_reset(&mut pulse, born) => true,
        ended = async {
            match taken {
                true => serve(&hall, member, &mut wire, &post, born, &ticket).await,
                false => turn_away(&hall, member, &mut wire).await,
            }
        } => ended.is_err(),
    };
    if let Some(ticket) = ticket.take() {
        hall.toll.borrow_mut().out(member, ledger, false);
        hall.quit(ticket);
    }
    hall.toll.borrow_mut().closed(member);
    if reset {
        wire.reset();
    }
}

async fn until_reset(pulse: &mut watch::Receiver<Pulse>, born: Pulse) {
    loop {
        if pulse.borrow_and_update().resets != born.resets || pulse.changed().await.is_err() {
            return;
        }
    }
}

/// A connection past what the machine takes: its first request is turned away, and it is closed.
async fn turn_away(hall: &Rc<Hall>, member: usize, wire: &mut Wire) -> io::Result<()> {
    let Some(asked) = wire.request().await? else { return Ok(()) };
    let Some(request) = asked.id.as_deref().and_then(request_id) else { return Ok(()) };
    let attempt = hall.ticket();
    hall.recorder.note(Seen::Reached { request, member, attempt });
    wire.body(asked.framing, |_| {}).await?;
    hall.recorder.note(Seen::Arrived { request, attempt });
    let (status, digest, never_ran, sound) = (503, xxh3_64(&[]), true, true);
    hall.recorder.note(Seen::Made { request, attempt, status, digest, never_ran, sound });
    let head = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nConnection: close\r\n";
    wire.write(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).await
}

/// A read at a member, in the model's terms: class and key stand in the path.
fn ask(hall: &Hall, member: usize, ticket: Ticket, request: u64, asked: &Asked) -> Ask {
    let path = asked.path.split('?').next().unwrap_or("");
    let mut parts = path.trim_start_matches('/').split('/');
    let class = parts.next().unwrap_or("");
    let class = hall.day.load.classes.iter().position(|c| c.name == class);
    let key = parts.next_back().unwrap_or("");
    let key = u64::from_str_radix(key, 16).unwrap_or_else(|_| xxh3_64(key.as_bytes()));
    let repeat = asked.repeat.as_ref().map(|r| xxh3_64(r.as_bytes()));
    Ask { ticket, member, request, class, key, write: asked.method == "PUT", repeat }
}

/// A request's id: sixteen hex digits.
pub fn request_id(id: &str) -> Option<u64> {
    (id.len() == 16).then(|| u64::from_str_radix(id, 16).ok()).flatten()
}

async fn serve(
    hall: &Rc<Hall>,
    member: usize,
    wire: &mut Wire,
    post: &Post,
    born: Pulse,
    open: &Cell<Option<Ticket>>,
) -> io::Result<()> {
    while let Some(asked) = wire.request().await? {
        let Some(request) = asked.id.as_deref().and_then(request_id) else {
            hall.recorder.note(Seen::Stray { member });
            let (status, text) =
                if asked.id.is_some() { ("400 Bad Request", "id") } else { ("404 Not Found", "") };
            wire.write(
                format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{text}", text.len()).as_bytes(),
            )
            .await?;
            continue;
        };
        let attempt = hall.ticket();
        let first = hall.clock.now().saturating_sub(wire.first.elapsed().as_nanos() as u64);
        hall.recorder.note_at(first, Seen::Reached { request, member, attempt });
        wire.body(asked.framing, |_| {}).await?;
        hall.recorder.note(Seen::Arrived { request, attempt });
        let dead = || post.pulse.borrow().deaths != born.deaths;
        if dead() || *post.process.borrow() == Process::Silent {
            // A machine that has gone silent may have run what it got; it never says.
            wire.ended().await;
            return Ok(());
        }
        let ask = ask(hall, member, attempt, request, &asked);
        let ledger = hall.world.borrow().is_ledger(member);
        if ledger {
            hall.ledger_asks.set(hall.ledger_asks.get() + 1);
        }
        hall.toll.borrow_mut().out(member, ledger, true);
        open.set(Some(attempt));
        let answered = hall.arrive(ask);
        let answered = tokio::select! {
            biased;
            answered = answered => answered.ok(),
            () = wire.ended() => return Ok(()),
        };
        if open.take().is_some() {
            hall.toll.borrow_mut().out(member, ledger, false);
        }
        let Some((reply, manner)) = answered.filter(|_| !dead()) else {
            wire.ended().await;
            return Ok(());
        };
        answer(hall, &ask, reply, manner, wire).await?;
    }
    Ok(())
}

/// The value that a node gives for a request: no two answers are alike.
fn value(hall: &Hall, ask: &Ask, version: u32) -> Vec<u8> {
    let length = hall.catalogue.length(ask.key);
    let Ask { ticket, request, key, .. } = *ask;
    let line = format!(
        "{} {request:016x} {key:016x} v{version} #{ticket}\n",
        hall.world.borrow().name(ask.member).0
    );
    let mut value = Vec::with_capacity(length + line.len());
    while value.len() < length {
        value.extend_from_slice(line.as_bytes());
    }
    value.truncate(length.max(line.len()));
    value
}

async fn answer(hall: &Hall, ask: &Ask, reply: Reply, manner: Manner, wire: &mut Wire) -> io::Result<()> {
    let count = |counter: &Cell<u64>| counter.set(counter.get() + 1);
    let (status, reason, extra, body) = match reply {
        Reply::Served { hit, version } => {
            if hit {
                count(&hall.hits);
            }
            (200, "OK", "", value(hall, ask, version))
        }
        Reply::Miss => {
            count(&hall.misses);
            (404, "Not Found", "", Vec::new())
        }
        Reply::Error => (500, "Internal Server Error", "", Vec::new()),
        Reply::Full => {
            hall.toll.borrow_mut().full(hall.world.borrow().is_ledger(ask.member));
            (503, "Service Unavailable", "X-Unprocessed: 1\r\n", Vec::new())
        }
    };
    let sound = matches!(manner, Manner::Plain | Manner::Pieces(_));
    let (request, attempt) = (ask.request, ask.ticket);
    let never_ran = matches!(reply, Reply::Miss | Reply::Full);
    hall.recorder.note(Seen::Made { request, attempt, status, digest: xxh3_64(&body), never_ran, sound });
    let head = |length: u64| format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{extra}\r\n");
    let whole = || [head(body.len() as u64).as_bytes(), &body].concat();
    match manner {
        Manner::Plain => wire.write(&whole()).await,
        Manner::Pieces(size) => {
            for piece in whole().chunks(size) {
                wire.write(piece).await?;
                tokio::time::sleep(PIECE_PAUSE).await;
            }
            Ok(())
        }
        Manner::Cut => {
            wire.write(head(body.len() as u64).as_bytes()).await?;
            wire.write(&body[..body.len() / 2]).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Manner::Spoilt => {
            let noise: &[u8] = match attempt % 3 {
                0 => b"\x00\xff\xfe noise that is no answer\r\n\r\n",
                1 => b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nnothing",
                _ => {
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
                }
            };
            wire.write(noise).await?;
            wire.ended().await;
            Ok(())
        }
        Manner::Oversize => {
            wire.write(head(3 << 30).as_bytes()).await?;
            let mut sent = 0;
            while sent < OVERSIZE_MOST {
                wire.write(&body).await?;
                sent += body.len();
            }
            wire.ended().await;
            Ok(())
        }
    }
}
