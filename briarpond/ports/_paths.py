"""Paths and header names of the platform's HTTP services."""

LOG_PATH = "/v1/log"
INSTANCES_PATH = "/v1/instances"
ENGINE_STATUS_PATH = "/v1/engine/status"
ENGINE_ORDERS_PATH = "/v1/engine/orders"

GENERATION_HEADER = "engine-generation"
PRIORITY_HEADER = "engine-priority"
REQUEST_HEADER = "engine-request-id"
RESUME_HEADER = "engine-resume-tokens"
NOT_RUN_HEADER = "engine-not-run"
