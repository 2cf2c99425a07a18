"""The two workloads of section 1 of the design page, and a deployment for latency probes."""

from __future__ import annotations

from pollenglade_core.calls.importance import Importance

from .workload import Deployment
from .workload import Latency
from .workload import Organisation
from .workload import Route
from .workload import Service
from .workload import organisations

# With these service times the planned slots are half used at a load that one machine carries.
FAST_LATENCY = Latency(0.030)
MEDIUM_LATENCY = Latency(0.060)
SLOW_LATENCY = Latency(0.120, sigma=0.6)

RESIDENCIES = Deployment(
    name="residencies",
    zones=("z1", "z2", "z3", "z4"),
    services=(
        Service("open-calls", endpoints=4, slots=100, connections=800),
        Service("fees", endpoints=4, slots=100, connections=800),
        Service("portfolios", endpoints=4, slots=100, connections=800),
        Service("jury", endpoints=4, slots=10, connections=150),
    ),
    routes=(
        Route(
            "browse",
            "open-calls",
            "GET",
            FAST_LATENCY,
            Importance.SHEDDABLE,
            calls=("thumbs",),
            share=50,
        ),
        Route("thumbs", "portfolios", "GET", FAST_LATENCY, Importance.SHEDDABLE),
        Route("apply", "open-calls", "GET", MEDIUM_LATENCY, calls=("quote",), share=20),
        Route("quote", "fees", "GET", FAST_LATENCY, calls=("files",)),
        Route("files", "portfolios", "GET", MEDIUM_LATENCY),
        Route(
            "review",
            "jury",
            "GET",
            SLOW_LATENCY,
            Importance.IMPORTANT,
            calls=("call-rules",),
            share=4,
        ),
        Route(
            "call-rules",
            "open-calls",
            "GET",
            FAST_LATENCY,
            Importance.IMPORTANT,
            calls=("fee-rules",),
        ),
        Route("fee-rules", "fees", "GET", FAST_LATENCY, Importance.IMPORTANT, calls=("portfolio",)),
        Route("portfolio", "portfolios", "GET", FAST_LATENCY, Importance.IMPORTANT),
        Route(
            "payment",
            "fees",
            "POST",
            MEDIUM_LATENCY,
            Importance.CRITICAL,
            idempotent=False,
            calls=("files",),
            share=4,
            deadline_ms=5_000,
        ),
        Route(
            "placement",
            "open-calls",
            "POST",
            MEDIUM_LATENCY,
            Importance.CRITICAL,
            idempotent=False,
            calls=("confirm",),
            share=1,
            deadline_ms=5_000,
        ),
        Route(
            "confirm",
            "fees",
            "POST",
            MEDIUM_LATENCY,
            Importance.CRITICAL,
            idempotent=False,
            calls=("files",),
            deadline_ms=5_000,
        ),
    ),
    organisations=organisations(
        {
            "thornbury": 30,
            "vale": 25,
            "northlight": 15,
            "harbour": 5,
            "kiln": 3,
            "linden": 3,
            "quarry": 2,
            "saltworks": 2,
        },
        total_per_s=2_400,
    ),
)
"""Workload A, the residency portal; its main measures are goodput and recovery time."""

SALAIRES = Deployment(
    name="salaires",
    zones=("z1", "z2", "z3"),
    services=(
        Service("archive", endpoints=4, slots=70, connections=500),
        Service("intake", endpoints=3, slots=75, connections=550),
        Service("export", endpoints=3, slots=75, connections=550),
        Service("medians", endpoints=3, slots=30, connections=300),
    ),
    routes=(
        Route(
            "declaration",
            "intake",
            "POST",
            MEDIUM_LATENCY,
            Importance.CRITICAL,
            idempotent=False,
            calls=("file",),
            share=10,
            deadline_ms=5_000,
        ),
        Route(
            "file",
            "archive",
            "POST",
            FAST_LATENCY,
            Importance.CRITICAL,
            idempotent=False,
            deadline_ms=5_000,
        ),
        Route("status", "intake", "GET", FAST_LATENCY, calls=("lookup",), share=40),
        Route("lookup", "archive", "GET", FAST_LATENCY),
        Route(
            "table",
            "export",
            "GET",
            MEDIUM_LATENCY,
            Importance.SHEDDABLE,
            calls=("median",),
            share=10,
        ),
        Route("median", "medians", "GET", MEDIUM_LATENCY, calls=("revision",)),
        Route("revision", "intake", "GET", FAST_LATENCY, calls=("sample",)),
        Route("sample", "archive", "GET", FAST_LATENCY),
        Route(
            "compare",
            "medians",
            "GET",
            MEDIUM_LATENCY,
            Importance.IMPORTANT,
            calls=("lookup",),
            share=6,
        ),
    ),
    organisations=organisations(
        {
            "romandie": 30,
            "zurich": 25,
            "ticino": 12,
            "valais": 5,
            "jura": 3,
            "uri": 2,
            "glarus": 2,
            "zug": 1,
        },
        total_per_s=1_600,
    ),
)
"""Workload B, the wage returns.

Its main measures are the worst-served organisation and wrongful refusals.
"""

PROBE_DEPLOYMENT = Deployment(
    name="probed",
    zones=RESIDENCIES.zones[:2],
    services=(Service("latency-probe", endpoints=2, slots=20, connections=100),),
    routes=(),
    organisations=(Organisation("probe", rate_per_s=100, burst=200, weight=1, offered_per_s=0.0),),
)
"""Service and organisation that only the latency probe uses.

At the scale of the demo the other services have few slots, and the wait for a slot would hide the
latency that a node adds. Probes with the key of another organisation would use up its rate.
"""

DEPLOYMENTS_BY_NAME = {deployment.name: deployment for deployment in (RESIDENCIES, SALAIRES)}

ALL_DEPLOYMENTS_BY_NAME = {**DEPLOYMENTS_BY_NAME, PROBE_DEPLOYMENT.name: PROBE_DEPLOYMENT}
"""Deployments whose routes a target stand-in can serve, by name."""
