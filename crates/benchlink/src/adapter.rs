//! Runs one decision module per instance and drives it by the messages received. Instances share no state.

use crate::wire::{self, Message, WireError};
use aniseyoke_decision::api::{Action, Entry, Event, ListKind, Nanos, ReportColumns, ServerId};
use aniseyoke_decision::Balancer;
use rustc_hash::FxHashMap;
use std::any::Any;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Number of numbered lists in the protocol.
const PAGES: usize = 16;

/// Why a message can't be processed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// The line is not a valid message.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Another message arrived before all entries of a list.
    #[error("list {page} lacks {missing} entries")]
    EntriesMissing {
        /// The list.
        page: usize,
        /// Number of entries not received yet.
        missing: usize,
    },
    /// An entry arrived outside of a list.
    #[error("entry without a list")]
    StrayEntry,
    /// A batch began before the previous one ended.
    #[error("frame inside a batch")]
    NestedBatch,
    /// A batch ended without having begun.
    #[error("go without a frame")]
    NoBatch,
    /// The number of a list is out of range.
    #[error("list number is over {max}: {0}", max = PAGES - 1)]
    PageNumber(usize),
    /// A message refers to a list that was not sent.
    #[error("list {0} was never sent")]
    UnknownPage(usize),
}

/// Why the adapter stopped before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading a line failed.
    #[error("line {line}: cannot be read: {cause}")]
    Read {
        /// Line number, counted from 1.
        line: u64,
        /// The underlying I/O error.
        cause: io::Error,
    },
    /// A line is not UTF-8.
    #[error("line {line}: not UTF-8")]
    NotUtf8 {
        /// Line number, counted from 1.
        line: u64,
    },
    /// A message can't be processed.
    #[error("line {line}: {cause}")]
    Message {
        /// Line number, counted from 1.
        line: u64,
        /// The error of the message.
        cause: MessageError,
    },
    /// The input ended before a batch was complete.
    #[error("line {line}: the input ends inside a batch")]
    Truncated {
        /// Number of the missing line, counted from 1.
        line: u64,
    },
    /// Writing the reply failed.
    #[error("the reply cannot be written: {0}")]
    Write(io::Error),
}

/// Processes messages until the end of the input and writes one reply per batch.
///
/// # Errors
/// Returns an error if the input can't be read or parsed, or the output can't be written.
pub fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for line in 1u64.. {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes);
        if read.map_err(|cause| AdapterError::Read { line, cause })? == 0 {
            return if adapter.in_batch { Err(AdapterError::Truncated { line }) } else { Ok(()) };
        }
        while bytes.last().is_some_and(|byte| matches!(byte, b'\n' | b'\r')) {
            bytes.pop();
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::NotUtf8 { line })?;
        let batch_ended = adapter.handle(text).map_err(|cause| AdapterError::Message { line, cause })?;
        if batch_ended {
            let sent = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(AdapterError::Write)?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

/// A list whose entries are being received.
#[derive(Clone, Copy)]
struct OpenPage {
    number: usize,
    /// Number of entries not received yet.
    missing: usize,
}

/// The state of the adapter.
#[derive(Default)]
struct Adapter {
    now: Nanos,
    balancers: FxHashMap<String, Balancer>,
    /// Column layout of load reports, per instance.
    columns: FxHashMap<String, ReportColumns>,
    /// Server names, used only to write messages; no decision depends on them.
    names: FxHashMap<ServerId, String>,
    pages: [Option<Vec<Entry>>; PAGES],
    in_batch: bool,
    open_page: Option<OpenPage>,
    /// Actions of the current event; a field so that its allocation is reused.
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Processes one line. Returns true at the end of a batch, when the reply is to be written.
    fn handle(&mut self, line: &str) -> Result<bool, MessageError> {
        let message = wire::parse(line)?;
        if let Some(page) = self.open_page {
            self.add_entry(page, message)?;
            return Ok(false);
        }
        match message {
            Message::BatchStart(now) => {
                if std::mem::replace(&mut self.in_batch, true) {
                    return Err(MessageError::NestedBatch);
                }
                self.now = now;
            }
            Message::BatchEnd => {
                if !std::mem::take(&mut self.in_batch) {
                    return Err(MessageError::NoBatch);
                }
                self.reply.push_str("end\n");
                return Ok(true);
            }
            Message::PageStart { number, count } => self.begin_page(number, count)?,
            Message::PageEntry(..) => return Err(MessageError::StrayEntry),
            Message::InstanceStart { instance, seed, settings } => {
                self.columns.insert(instance.clone(), settings.report_columns);
                self.balancers.insert(instance, Balancer::new(*settings, seed));
            }
            Message::InstanceStop(instance) => {
                self.columns.remove(&instance);
                self.balancers.remove(&instance);
            }
            Message::EndpointList { instance, kind, page } => {
                let entries = self.entries(kind, page)?;
                self.event(&instance, Event::EndpointList { kind, entries });
            }
            Message::Outcome { instance, outcome, load_report } => {
                if let Some(load) = self.columns.get(&instance).and_then(|columns| columns.load(&load_report))
                {
                    self.event(&instance, Event::LoadReport { server: outcome.server, load });
                }
                self.event(&instance, Event::Outcome(outcome));
            }
            Message::Event { instance, event } => self.event(&instance, event),
            Message::Ignored => {}
        }
        Ok(false)
    }

    fn begin_page(&mut self, number: usize, count: usize) -> Result<(), MessageError> {
        let page = self.pages.get_mut(number).ok_or(MessageError::PageNumber(number))?;
        *page = Some(Vec::new());
        self.open_page = (count > 0).then_some(OpenPage { number, missing: count });
        Ok(())
    }

    fn add_entry(&mut self, page: OpenPage, message: Message) -> Result<(), MessageError> {
        let OpenPage { number, missing } = page;
        let Message::PageEntry(name, entry) = message else {
            return Err(MessageError::EntriesMissing { page: number, missing });
        };
        self.names.entry(entry.server).or_insert(name);
        self.pages[number].get_or_insert_default().push(entry);
        self.open_page = (missing > 1).then_some(OpenPage { number, missing: missing - 1 });
        Ok(())
    }

    /// Returns the entries that an endpoint list update refers to.
    fn entries(&self, kind: ListKind, page: usize) -> Result<Vec<Entry>, MessageError> {
        if kind == ListKind::Failed {
            return Ok(Vec::new());
        }
        self.pages.get(page).cloned().flatten().ok_or(MessageError::UnknownPage(page))
    }

    /// Passes an event to an instance and appends its actions to the reply. Events of unknown instances are
    /// ignored.
    fn event(&mut self, instance: &str, event: Event) {
        let Some(balancer) = self.balancers.get_mut(instance) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        // A panic in the decision module is reported as a `bug` line and must not end the process.
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            self.actions.clear();
            self.balancers.remove(instance);
            self.reply.push_str(&format!("bug {instance} {}\n", panic_message(panic.as_ref())));
            return;
        }
        for action in self.actions.drain(..) {
            wire::write(&mut self.reply, instance, &action, |server| self.names.get(&server).cloned());
        }
    }
}

/// Returns the message of a panic as a single line.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").replace('\n', " ")
}
