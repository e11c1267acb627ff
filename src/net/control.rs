//! Carries the operators' calls out, each before its answer.

use super::admin::{Call, Verdict};
use super::drain::Drain;
use super::engine::Engine;
use std::rc::Rc;

/// What the calls act on.
pub struct Control {
    pub engine: Rc<Engine>,
    pub drain: Rc<Drain>,
}

impl Control {
    pub async fn act(&self, call: Call) -> Verdict {
        match call {
            Call::Ready if self.drain.stopping() => Verdict::Unready("the process is stopping"),
            Call::Ready if !self.engine.can_serve() => Verdict::Unready("no cache node takes work yet"),
            Call::Ready => Verdict::Yes,
            Call::Exclude(id) => self.ban(&id, true),
            Call::Include(id) => self.ban(&id, false),
            Call::Evacuate => self.drain(true),
            Call::Rejoin => self.drain(false),
        }
    }

    fn ban(&self, id: &str, out: bool) -> Verdict {
        if !self.engine.listed(id) {
            return Verdict::Unknown("no such cache node was ever listed");
        }
        self.engine.ban(id, out);
        Verdict::Yes
    }

    fn drain(&self, on: bool) -> Verdict {
        self.drain.call(on);
        Verdict::Yes
    }
}
