"""Paths of the platform services, and headers of requests to engines."""

LOG_PATH = "/v1/log"
INSTANCES_PATH = "/v1/instances"
ENGINE_STATUS_PATH = "/v1/engine/status"
ENGINE_ORDERS_PATH = "/v1/engine/orders"

# Generation of the group that a request is meant for; an engine that holds another
# one refuses the request.
GENERATION_HEADER = "engine-generation"
# Priority of the request on the engine.
PRIORITY_HEADER = "engine-priority"
# Id of the attempt, different for each send of a request.
ATTEMPT_ID_HEADER = "engine-request-id"
# Number of stream events that the caller already has; the engine skips them.
RESUME_TOKENS_HEADER = "engine-resume-tokens"
# Marks an answer to a request that was not run, so that it may safely be sent again.
NOT_RUN_HEADER = "engine-not-run"
