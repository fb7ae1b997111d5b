"""Counters, gauges and histograms of one process."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# Upper bounds of the histogram buckets, in seconds.
_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.91, 2.0, 5.0, 15.0, 60.0)


class Metrics:
    """All metrics of one process; docs/ref/metrics.md lists them."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("briarpond_requests_total", "Requests by kind and outcome.")
        self.attempts = self._counter("briarpond_attempts_total", "Attempts, first and retries.")
        self.refusals = self._counter("briarpond_refusals_total", "Refusals by code.")
        self.log_appends = self._counter("briarpond_log_appends_total", "Appends by result.")
        self.log_reads = self._counter("briarpond_log_reads_total", "Reads of the log by result.")
        self.probes = self._counter("briarpond_probes_total", "Probes of instances by result.")
        self.first_byte = self._histogram(
            "briarpond_first_byte_seconds", "From acceptance to the first byte of the answer."
        )
        self.duration = self._histogram(
            "briarpond_request_seconds", "From acceptance to the outcome."
        )
        self.in_flight = self._gauge("briarpond_requests_in_flight", "Requests in flight.")
        self.config_version = self._gauge("briarpond_config_version", "Configuration in force.")
        self.groups = self._gauge("briarpond_groups", "Groups by readiness.")
        self.log_entries_behind = self._gauge(
            "briarpond_log_entries_behind", "Entries not folded yet."
        )
        self.stranded_accelerators = self._gauge(
            "briarpond_stranded_accelerators", "Accelerators of live instances in no ready group."
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the exposition format, with the HTTP headers of the answer.

        Parameters
        ----------
        accept : str
            ``Accept`` header of the request, which selects the format; may be empty.
        """
        return render(self.registry, [accept] if accept else [])

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(name, text, buckets=_BUCKETS_S, registry=self.registry)
