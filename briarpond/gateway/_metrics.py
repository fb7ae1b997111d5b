"""Prometheus metrics of a node on the users' platform."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# Upper bounds of the histogram buckets, in seconds.
_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.91, 2.0, 4.0, 8.0)
_TURN_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
_ERROR_BUCKETS_TOKENS = (10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0)


class GatewayMetrics:
    """All metrics of one node; docs/ref/gateway.md lists them."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "briarpond_gateway_requests_total",
            "Requests by route kind and status.",
            registry=self.registry,
        )
        self.sends = Counter(
            "briarpond_gateway_sends_total",
            "Sends to servers by how they ended.",
            registry=self.registry,
        )
        self.lost_sends = Counter(
            "briarpond_gateway_lost_sends_total",
            "Sends without a complete answer, by how far they had come.",
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "briarpond_gateway_first_byte_seconds",
            "From the whole request to the first byte of its answer.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.duration = Histogram(
            "briarpond_gateway_request_seconds",
            "From the whole request to the end of its answer.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.cold_detours = Counter(
            "briarpond_gateway_cold_detours_total",
            "Sends to another server while a cold one had room and was not due.",
            registry=self.registry,
        )
        self.hops = Counter(
            "briarpond_gateway_hops_total",
            "Requests that nodes cut off from servers have passed to this one, by what became of "
            "them.",
            registry=self.registry,
        )
        self.orders = Counter(
            "briarpond_gateway_orders_total",
            "Orders to instances by kind and status.",
            registry=self.registry,
        )
        self.groups = Gauge(
            "briarpond_gateway_groups", "Groups that serve.", registry=self.registry
        )
        self.quarantined_parts = Gauge(
            "briarpond_gateway_quarantined_parts",
            "Prompt parts whose requests are refused, because servers ended under them.",
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            "briarpond_gateway_quarantine_refusals_total",
            "Requests that were refused or ended for a part in quarantine.",
            registry=self.registry,
        )
        self.connections_given_up = Counter(
            "briarpond_gateway_connections_given_up_total",
            "Accepted connections closed with a request unanswered or bytes unsent, by reason.",
            registry=self.registry,
        )
        self.body_bytes = Gauge(
            "briarpond_gateway_body_bytes",
            "Bytes reserved for, or held by, bodies of requests.",
            registry=self.registry,
        )
        self.bodies_refused = Counter(
            "briarpond_gateway_bodies_refused_total",
            "Requests refused because of their bodies, by status.",
            registry=self.registry,
        )
        self.occupancy = Gauge(
            "briarpond_gateway_occupancy",
            "Requests in flight for each slot of a model's groups at a service, as known here.",
            registry=self.registry,
        )
        self.overload_refusals = Counter(
            "briarpond_gateway_overload_refusals_total",
            "Requests refused because of the load of the groups, by reason and priority.",
            registry=self.registry,
        )
        self.retries_granted = Counter(
            "briarpond_gateway_retries_granted_total",
            "Repeated sends that the retry budget has granted, by service.",
            registry=self.registry,
        )
        self.retries_refused = Counter(
            "briarpond_gateway_retries_refused_total",
            "Refusals of the retry budget, by service and reason.",
            registry=self.registry,
        )
        self.retries_counted = Gauge(
            "briarpond_gateway_retries_counted",
            "Repeated sends that count in the window of the retry budget, by service.",
            registry=self.registry,
        )
        self.retries_allowed = Gauge(
            "briarpond_gateway_retries_allowed",
            "Repeated sends that may count at once at this node, by service.",
            registry=self.registry,
        )
        self.retry_nodes = Gauge(
            "briarpond_gateway_retry_nodes",
            "Nodes among which the fixed part of the retry budget is divided.",
            registry=self.registry,
        )
        self.retry_share = Gauge(
            "briarpond_gateway_retry_share",
            "Fraction of the fixed part of the retry budget that this node may use.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "briarpond_gateway_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.evacuated_data_centres = Gauge(
            "briarpond_gateway_evacuated_data_centres",
            "Data centres whose servers get no requests, by the operator's order.",
            registry=self.registry,
        )
        self.cut_off = Gauge(
            "briarpond_gateway_cut_off",
            "1 while this node reaches no backend servers, 0 otherwise.",
            registry=self.registry,
        )
        self.reach_checks = Counter(
            "briarpond_gateway_reach_checks_total",
            "New connections that only check whether servers are reached, by result.",
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "briarpond_gateway_log_lines_dropped",
            "Log lines that the output did not take.",
            registry=self.registry,
        )
        self.cost_error = Histogram(
            "briarpond_gateway_cost_error_tokens",
            "Difference between the expected and the seen tokens of whole answers, by route.",
            buckets=_ERROR_BUCKETS_TOKENS,
            registry=self.registry,
        )

        self.loop_turns = Histogram(
            "briarpond_gateway_loop_turn_seconds",
            "How long the handlers of one turn of the event loop ran.",
            buckets=_TURN_BUCKETS_S,
            registry=self.registry,
        )

    def render(self, accept: str | None) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the exposition format, with the HTTP headers of the answer.

        Parameters
        ----------
        accept : str or None
            ``Accept`` header of the request, which selects the format.
        """
        return render(self.registry, [accept] if accept else [])
