use super::*;
use serde_json::json;

/// Guards against a counter that is written under the name of another one.
#[test]
fn each_event_is_counted_under_its_own_name() {
    for (position, metric) in Metric::ALL.into_iter().enumerate() {
        assert_eq!(metric as usize, position);
        let metrics = Metrics::new();
        metrics.count(metric);
        let counts = metrics.to_json();
        let counts = counts.as_object().expect("an object");
        assert_eq!(counts.len(), Metric::ALL.len());
        assert_eq!(counts[metric.name()], json!(1));
        assert_eq!(counts.values().filter(|count| **count == json!(0)).count(), Metric::ALL.len() - 1);
    }
}
