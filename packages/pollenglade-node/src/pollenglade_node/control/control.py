"""Routing of requests on the control port, and the announcements of targets."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated

import orjson
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from pollenglade_core.configuration.profile import NAME_PATTERN
from pollenglade_net.address import Address
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

from ..serving.serving import Serving
from ..serving.target import TargetState

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class TargetAnnouncement(BaseModel):
    """Body of `POST /v1/targets`, with which a target announces itself."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    service: Annotated[str, Field(pattern=NAME_PATTERN)]
    address: str
    slots: Annotated[int, Field(ge=1, le=100_000)]
    state: TargetState


def findings_response(error: ValidationError) -> HttpResponse:
    """Return a 400 response that lists all validation errors with the path of each field."""
    findings = [
        {"place": ".".join(str(part) for part in item["loc"]), "text": item["msg"]}
        for item in error.errors()
    ]
    return json_response(400, {"findings": findings})


class ControlApi:
    """Dispatches requests on the control port by method and path."""

    def __init__(self) -> None:
        self._handlers_by_route: dict[tuple[str, str], Handler] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register the handler for a method and path."""
        self._handlers_by_route[(method, path)] = handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to a request.

        The status is 404 for an unknown route, and 400 for a body that is not valid.
        """
        path = request.target.partition(b"?")[0].decode("ascii", "replace")
        handler = self._handlers_by_route.get((request.method, path))
        if handler is None:
            return json_response(404, {"detail": f"no route {request.method} {path}"})
        try:
            return await handler(request)
        except ValidationError as error:
            return findings_response(error)
        except orjson.JSONDecodeError as error:
            return json_response(400, {"findings": [{"place": "", "text": str(error)}]})


def add_target_route(api: ControlApi, serving: Serving) -> None:
    """Register the handler for target announcements."""

    async def handle_announcement(request: HttpRequest) -> HttpResponse:
        body = TargetAnnouncement.model_validate(orjson.loads(request.body))
        try:
            address = Address.parse(body.address)
        except ValueError as error:
            return json_response(400, {"findings": [{"place": "address", "text": str(error)}]})
        serving.record_announcement(body.service, address, body.slots, body.state)
        return json_response(200, {"accepted": True})

    api.add("POST", "/v1/targets", handle_announcement)
