//! A subscriber layer that limits the rate of events and formats each as a line.

use crate::format::{format, EventFields, Format};
use crate::rate_limit::{Admission, RateLimit, RateLimiter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// A destination for formatted lines. It must not block the thread that logs.
pub trait LineOutput: Send + Sync + 'static {
    /// Writes a line, which includes its line end.
    fn write_line(&self, line: &str);
}

/// Writes lines in one format, rate-limited by call site.
pub struct LineWriter<O> {
    format: Format,
    start: Instant,
    limiter: Mutex<RateLimiter<Identifier>>,
    output: O,
}

/// A [`LineWriter`] as a layer of a subscriber.
pub struct LineLayer<O>(pub Arc<LineWriter<O>>);

impl<S: Subscriber, O: LineOutput> Layer<S> for LineLayer<O> {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let admission = self.0.limiter().admit(self.0.now(), event.metadata().callsite());
        if let Admission::Written { suppressed } = admission {
            let mut fields = EventFields::default();
            event.record(&mut fields);
            self.0.write(event.metadata(), fields, suppressed);
        }
    }
}

impl<O: LineOutput> LineWriter<O> {
    /// Creates a writer that passes lines to an output.
    pub fn new(format: Format, rate_limit: RateLimit, output: O) -> Self {
        LineWriter {
            format,
            start: Instant::now(),
            limiter: Mutex::new(RateLimiter::new(rate_limit)),
            output,
        }
    }

    /// Returns the output.
    pub fn output(&self) -> &O {
        &self.output
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    fn limiter(&self) -> MutexGuard<'_, RateLimiter<Identifier>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the number of suppressed lines of each call site that were not reported yet.
    pub fn report_suppressed(&self) {
        let suppressed = self.limiter().take_suppressed();
        for (call_site, count) in suppressed {
            let metadata = call_site.0.metadata();
            let location = format!("{}:{}", metadata.target(), metadata.line().unwrap_or(0));
            let fields = EventFields::message(format!("{count} lines from {location} were suppressed"));
            self.write(metadata, fields, 0);
        }
    }

    fn write(&self, metadata: &Metadata<'_>, fields: EventFields, suppressed: u64) {
        self.output.write_line(&format(self.format, metadata, fields, suppressed));
    }
}
