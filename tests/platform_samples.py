"""Sample records and settings in the format of the outside platform.

They contain fields that the adapter does not have, which it must ignore
(``field_of_tomorrow``, ``fieldOfTomorrow``).
"""

import json

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-plan",
            "host": "shop.example",
            "pathPrefix": "/plan/",
            "type": "stream",
            "timeoutMs": 8000,
            "goalMs": 400,
            "priority": 1,
            "split": [{"service": "pool", "weight": 90}, {"service": "other", "weight": 10}],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapGoalMs": 300,
        },
        {
            "name": "r-order",
            "host": "shop.example",
            "pathPrefix": "/order/",
            "type": "non_idempotent",
            "timeoutMs": 1000,
            "goalMs": 120,
            "priority": 2,
            "service": "desk",
            "maxAttempts": 1,
            "public": False,
        },
        {
            "name": "r-open",
            "host": "shop.example",
            "pathPrefix": "/order/open/",
            "type": "idempotent",
            "timeoutMs": 1000,
            "service": "desk",
            "maxAttempts": 2,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "pool",
            "healthPath": "/healthz",
            "maxConns": 278,
            "engine": {
                "slots": 9,
                "kvCapacity": 984705,
                "models": [
                    {
                        "name": "big",
                        "size": 4,
                        "share": 0.5,
                        "pace": 1.0,
                        "loadS": 16.0,
                        "warmS": 1.6,
                    },
                    {
                        "name": "small",
                        "size": 2,
                        "share": 0.5,
                        "pace": 0.6,
                        "loadS": 12.0,
                        "warmS": 1.1,
                    },
                ],
                "step_ms": 7.8,
                "per_seq_ms": 0.179,
                "context_per_k": 0.018,
                "read_per_s": 45900.0,
                "loadsPerS": 5.0,
                "loads_at_once": 7,
                "usual": {"prompt": 979, "answer": 154},
                "formMs": 300.0,
                "field_of_tomorrow": [1],
            },
        },
        {"name": "desk", "healthPath": "/healthz", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "acme", "apiKeys": ["key-a", "key-b"], "priority": 1}],
}


def config_bytes(**changes) -> bytes:
    """Return the operator's configuration as stored; `changes` replace top-level fields."""
    return json.dumps({**CONFIG, **changes}).encode()


def server_bytes(**changes) -> bytes:
    """Return a record of the instance list as stored; `changes` replace top-level fields."""
    entry = {
        "service": "pool",
        "addr": "10.128.0.9:8080",
        "zone": "hobart-a",
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "coldLeftMs": 0,
        "born": 1700000000000,
        "domain": "d1",
        "staged": ["big"],
        "models": [{"name": "big", "version": 1, "adapters": []}],
        "group": {"name": "g1-1", "epoch": 1000001, "rank": 0, "state": "open"},
        "seq": 4,
    }
    return json.dumps({**entry, **changes}).encode()


SETTINGS = """
nodeName: "edge-hobart-a-1"
role: "gateway"
ip: "10.1.0.40"
zone: "hobart-a"
listen:
  frontend: "10.1.0.40:8227"
  readiness: "10.1.0.40:8220"
  directory: "10.1.0.40:8224"
internalPorts: [7340, 7355]
fieldOfTomorrow: {a: 1}
limits: {maxFds: 4100}
heartbeatMs: 1200
bounds: {graceS: 8, drainMs: 2000, revokeMs: 5000, retryRatio: 0.2, retrySlack: 107}
platform: {addr: "10.200.1.7:8223", writesPerS: 400, readsPerS: 2000, parts: 12, ttlMinMs: 1000}
"""
