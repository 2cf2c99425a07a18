"""Finds out for which organisation a call runs, and keeps keys out of what targets receive."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import ParsedKey
from pollenglade_core.configuration.keys import SecretScanner
from pollenglade_core.configuration.keys import keys_in
from pollenglade_core.configuration.keys import matches
from pollenglade_core.configuration.keys import parse_key
from pollenglade_net.http_message import HttpRequest

AUTHORIZATION = b"authorization"
CALL_HANDLE = b"pollenglade-call"
BEARER = b"bearer "

MAX_CACHED_KEYS = 4_096

KEY_EXPOSED = Refusal(
    Reason.KEY_EXPOSED,
    detail="a key is also in another header, the path, the query or the body; remove it",
)


@dataclass(frozen=True, slots=True)
class Identity:
    """The key under which a root call runs."""

    organisation: str
    key_id: str


@dataclass(frozen=True, slots=True)
class _CachedKey:
    record: KeyRecord
    scanner: SecretScanner
    name_scanner: SecretScanner

    def exposes(self, request: HttpRequest) -> bool:
        """Return whether the secret is in a part of the request that a target would receive."""
        # Header names arrive in lower case, and a secret in lower case is still most of a secret.
        names = b"\n".join(name for name, _ in request.headers)
        return self.name_scanner.holds(names) or any(
            self.scanner.holds(part) for part in _forwarded_parts(request)
        )


class Authenticator:
    """Checks keys against the configuration in force.

    Verified keys are cached by a hash of the header, because building the scanner costs more than
    all other checks; a cached key counts only while the record in force is the one it was
    verified against.
    """

    def __init__(self) -> None:
        self._cached_by_digest: OrderedDict[bytes, _CachedKey] = OrderedDict()

    def authenticate(
        self, request: HttpRequest, configuration: Configuration
    ) -> Identity | Refusal:
        """Return the identity behind the key of a request."""
        values = request.header_values(AUTHORIZATION)
        if not values:
            return Refusal(Reason.KEY_MISSING, detail="send Authorization: Bearer <key>")
        if len(values) > 1:
            return Refusal(Reason.BAD_REQUEST, detail="send one Authorization header")
        cached = self._cached(values[0], configuration)
        if isinstance(cached, Refusal):
            return cached
        exposed = cached.exposes(request) or holds_published_key(request, configuration)
        return KEY_EXPOSED if exposed else Identity(cached.record.organisation, cached.record.id)

    def _cached(self, value: bytes, configuration: Configuration) -> _CachedKey | Refusal:
        digest = hashlib.sha256(value).digest()
        cached = self._cached_by_digest.get(digest)
        if cached is not None and configuration.keys_by_id.get(cached.record.id) is cached.record:
            return cached
        verified = _verify(value, configuration)
        if isinstance(verified, Refusal):
            self._cached_by_digest.pop(digest, None)
            return verified
        record, key = verified
        cached = _CachedKey(record, SecretScanner(key.secret), SecretScanner(key.secret.lower()))
        self._cached_by_digest[digest] = cached
        if len(self._cached_by_digest) > MAX_CACHED_KEYS:
            self._cached_by_digest.popitem(last=False)
        return cached


def holds_published_key(request: HttpRequest, configuration: Configuration) -> bool:
    """Return whether any published key is in a part of the request that a target would receive.

    A header name arrives in lower case and cannot be compared with a record, so the form decides.
    """
    if any(True for name, _ in request.headers for _ in keys_in(name)):
        return True
    for part in _forwarded_parts(request):
        for key in keys_in(part):
            record = configuration.keys_by_id.get(key.id)
            if record is not None and matches(record, key):
                return True
    return False


def _forwarded_parts(request: HttpRequest) -> list[bytes]:
    fields = [request.target]
    for name, value in request.headers:
        if name != AUTHORIZATION:
            fields += (name, value)
    head = b"\n".join(fields)
    return [head, request.body] if request.body else [head]


def _verify(value: bytes, configuration: Configuration) -> tuple[KeyRecord, ParsedKey] | Refusal:
    if value[: len(BEARER)].lower() != BEARER:
        return Refusal(Reason.KEY_MISSING, detail="send Authorization: Bearer <key>")
    key = parse_key(value[len(BEARER) :].strip().decode("ascii", "replace"))
    if key is None:
        return Refusal(Reason.KEY_UNKNOWN, detail="the key has not the form pgk_<id>_<secret>")
    record = configuration.keys_by_id.get(key.id)
    if record is not None and matches(record, key):
        return record, key
    if record is None and configuration.is_key_withdrawn(key.id):
        return Refusal(Reason.KEY_WITHDRAWN, detail="the key was withdrawn; ask for a new one")
    return Refusal(Reason.KEY_UNKNOWN, detail="no published key has this value")
