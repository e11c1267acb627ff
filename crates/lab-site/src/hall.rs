//! What the tasks of a site share, on its one thread: the model, who waits for what, and the clock that drives it.

use super::node;
use crate::door::Door;
use aniseyoke_lab_audit::{Recorder, Seen};
use aniseyoke_lab_day::clock::{Clock, Nanos};
use aniseyoke_lab_day::{Day, Member};
use aniseyoke_lab_world::{Ask, Catalogue, Effect, Line, Manner, Process, Reply, Standing, Ticket, World};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};

/// What the connections of one member have to know of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pulse {
    /// Connections of an earlier number are reset.
    pub resets: u64,
    /// Connections of an earlier number are dead: read, and never answered.
    pub deaths: u64,
}

/// One member at its address.
pub struct Post {
    pub addr: SocketAddr,
    pub pulse: watch::Sender<Pulse>,
    pub process: watch::Sender<Process>,
}

/// All that the tasks share.
pub struct Hall {
    pub day: Day,
    pub clock: Clock,
    pub catalogue: Catalogue,
    pub recorder: Recorder,
    pub world: RefCell<World>,
    pub posts: RefCell<Vec<Rc<Post>>>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    tickets: Cell<Ticket>,
    hurry: Notify,
    /// The list's present version.
    pub listed: watch::Sender<u64>,
    /// Whether discovery is up.
    pub discovery: watch::Sender<bool>,
    /// Proxies that are to be restarted.
    orders: mpsc::Sender<usize>,
    /// Where each proxy is to reach each member, and what the list service takes.
    pub rigging: super::Rigging,
    /// Calls at the list service for each second from the opening, and those refused.
    pub list_asks: RefCell<Vec<u64>>,
    pub list_refused: RefCell<Vec<u64>>,
    /// What members were met with.
    pub toll: RefCell<aniseyoke_lab_world::connection_load::Toll>,
    /// How late the model's events were played, in microseconds.
    pub lateness: RefCell<Histogram<u64>>,
    /// Fetches and writes that reached the ledger.
    pub ledger_asks: Cell<u64>,
    /// Reads that a node answered from its memory, and those that it missed.
    pub hits: Cell<u64>,
    pub misses: Cell<u64>,
}

struct Waiting {
    request: u64,
    answer: oneshot::Sender<(Reply, Manner)>,
}

/// Calls at the list service are counted for so many seconds.
const LIST_SECONDS_MOST: usize = 86_400;

/// So many members may join over a day.
const MEMBERS_MOST: usize = 4096;

impl Hall {
    /// A site before it opens.
    pub fn new(
        day: &Day,
        clock: Clock,
        recorder: Recorder,
        orders: mpsc::Sender<usize>,
        rigging: super::Rigging,
    ) -> Rc<Self> {
        let catalogue = Catalogue::new(day);
        let world = World::new(day, &catalogue);
        let listed = watch::Sender::new(world.roster().version());
        Rc::new(Hall {
            day: day.clone(),
            clock,
            catalogue,
            recorder,
            world: RefCell::new(world),
            posts: RefCell::default(),
            waiting: RefCell::default(),
            tickets: Cell::new(0),
            hurry: Notify::new(),
            listed,
            discovery: watch::Sender::new(true),
            orders,
            toll: RefCell::new(aniseyoke_lab_world::connection_load::Toll::new(rigging.bears)),
            rigging,
            list_asks: RefCell::default(),
            list_refused: RefCell::default(),
            lateness: RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 2).expect("sound bounds")),
            ledger_asks: Cell::new(0),
            hits: Cell::new(0),
            misses: Cell::new(0),
        })
    }

    /// Opens the doors of all members.
    ///
    /// # Errors
    /// If the system has no addresses left.
    pub fn open_doors(self: &Rc<Self>) -> io::Result<()> {
        let members = self.world.borrow().members();
        (0..members).try_for_each(|m| self.open_door(m))
    }

    fn open_door(self: &Rc<Self>, member: usize) -> io::Result<()> {
        let door = Door::new()?;
        let process = watch::Sender::new(Process::Up);
        let post = Rc::new(Post { addr: door.addr, pulse: watch::Sender::new(Pulse::default()), process });
        self.posts.borrow_mut().push(post.clone());
        tokio::task::spawn_local(node::attend(self.clone(), member, door, post));
        Ok(())
    }

    /// The day begins.
    pub fn begin(self: &Rc<Self>) {
        self.play(|world, now, _| world.begin(now));
    }

    /// A line of the list in discovery's form; none for a member that no address could be had for.
    pub fn member(&self, line: Line) -> Option<Member> {
        let world = self.world.borrow();
        let (id, kind) = world.name(line.member);
        Some(Member {
            id: id.to_owned(),
            addr: self.posts.borrow().get(line.member)?.addr,
            kind: kind.to_owned(),
            state: line.standing.word(),
            started_ms: line.started.map_or(0, |at| self.clock.unix_ms(at)),
        })
    }

    /// Counts a call at the list service; false if it is past what the service takes this second.
    pub fn list_ask(&self) -> bool {
        let second = (self.clock.now() / aniseyoke_lab_day::clock::SECOND) as usize;
        let count = |counts: &RefCell<Vec<u64>>| {
            let mut counts = counts.borrow_mut();
            if second < LIST_SECONDS_MOST {
                if counts.len() <= second {
                    counts.resize(second + 1, 0);
                }
                counts[second] += 1;
            }
            counts.get(second).copied().unwrap_or(0)
        };
        let asked = count(&self.list_asks);
        let taken = self.rigging.asks_most.is_none_or(|most| asked <= most);
        if !taken {
            count(&self.list_refused);
        }
        taken
    }

    /// A number for a new attempt.
    pub fn ticket(&self) -> Ticket {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    /// Hands an attempt to the model; its answer comes from the receiver, if one ever does.
    pub fn arrive(self: &Rc<Self>, ask: Ask) -> oneshot::Receiver<(Reply, Manner)> {
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(ask.ticket, Waiting { request: ask.request, answer });
        self.play(|world, now, out| world.arrive(now, ask, out));
        answered
    }

    /// The proxy has given an attempt up.
    pub fn quit(self: &Rc<Self>, ticket: Ticket) {
        self.play(|world, _, out| world.quit(ticket, out));
        self.waiting.borrow_mut().remove(&ticket);
    }

    fn play(self: &Rc<Self>, act: impl FnOnce(&mut World, Nanos, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let sooner = {
            let mut world = self.world.borrow_mut();
            let before = world.next_due();
            act(&mut world, self.clock.now(), &mut effects);
            world.next_due() < before || before.is_none()
        };
        if sooner {
            self.hurry.notify_one();
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Lets the model's own events happen when they are due, for as long as the site stands.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let due = self.world.borrow().next_due();
            let now = self.clock.now();
            match due {
                Some(due) if due <= now => {
                    let late = (now - due) / 1000;
                    self.lateness.borrow_mut().saturating_record(late.max(1));
                    self.play(|world, now, out| world.tick(now, out));
                }
                Some(due) => {
                    let due = tokio::time::Instant::from_std(self.clock.instant(due));
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => {}
                        () = self.hurry.notified() => {}
                    }
                }
                None => self.hurry.notified().await,
            }
        }
    }

    /// Hands the evidence over now and then.
    pub async fn report(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            self.recorder.flush();
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        let note = |seen| self.recorder.note(seen);
        let posts = |member: usize| self.posts.borrow().get(member).cloned();
        match effect {
            Effect::Reply { ticket, reply, manner } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                    // A connection that has just ended wants no answer.
                    let _ = waiting.answer.send((reply, manner));
                }
            }
            Effect::Ran(ticket) => {
                if let Some(waiting) = self.waiting.borrow().get(&ticket) {
                    note(Seen::Ran { request: waiting.request, attempt: ticket });
                }
            }
            Effect::Dropped(ticket) => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                    let (request, attempt) = (waiting.request, ticket);
                    let (status, digest, never_ran, sound) = (0, 0, true, false);
                    note(Seen::Made { request, attempt, status, digest, never_ran, sound });
                }
            }
            Effect::Joined(member) => {
                let opened = self.posts.borrow().len() < MEMBERS_MOST && self.open_door(member).is_ok();
                if !opened {
                    tracing::error!("no address for member {member}");
                }
            }
            Effect::Process(member, process) => {
                let Some(post) = posts(member) else { return };
                post.process.send_replace(process);
                post.pulse.send_modify(|pulse| match process {
                    Process::Down => pulse.resets += 1,
                    Process::Silent => pulse.deaths += 1,
                    Process::Up => {}
                });
            }
            Effect::HalfOpen(member) => {
                if let Some(post) = posts(member) {
                    post.pulse.send_modify(|pulse| pulse.deaths += 1);
                }
            }
            Effect::Fell(member) => note(Seen::Fell { member }),
            Effect::Stopped(cold_part) => note(Seen::Stopped { cold_part }),
            Effect::Listed(line) => {
                note(Seen::Listed { member: line.member, standing: line.standing });
                let version = self.world.borrow().roster().version();
                self.listed.send_replace(version);
            }
            Effect::Discovery(up) => drop(self.discovery.send_replace(up)),
            // Whoever runs the trial has gone if this fails.
            Effect::RestartProxy(proxy) => drop(self.orders.try_send(proxy)),
        }
    }

    /// Notes what a list or a part of one tells a proxy; a member that a whole list lacks is told to be gone.
    pub fn told(&self, proxy: usize, lines: &[Line], whole: bool) {
        for line in lines {
            self.recorder.note(Seen::Told { proxy, member: line.member, standing: line.standing });
        }
        if whole {
            let members = self.world.borrow().members();
            let lacking = (0..members).filter(|m| lines.iter().all(|l| l.member != *m));
            for member in lacking {
                self.recorder.note(Seen::Told { proxy, member, standing: Standing::Gone });
            }
        }
    }
}
