"""Authenticates root calls and refuses requests that would expose a key to a target."""

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
from pollenglade_core.configuration.keys import find_keys
from pollenglade_core.configuration.keys import matches
from pollenglade_core.configuration.keys import parse_key
from pollenglade_net.http_message import HttpRequest

AUTHORIZATION_HEADER = b"authorization"
CALL_HANDLE_HEADER = b"pollenglade-call"
BEARER_PREFIX = b"bearer "

MAX_CACHED_KEYS = 4_096

KEY_EXPOSED_REFUSAL = Refusal(
    Reason.KEY_EXPOSED,
    detail="a key is also in another header, the path, the query or the body; remove it",
)


@dataclass(frozen=True, slots=True)
class Identity:
    """The authenticated key of a root call and the organisation that owns it."""

    organisation: str
    key_id: str


@dataclass(frozen=True, slots=True)
class _CachedKey:
    """A verified key with scanners for its secret."""

    record: KeyRecord
    scanner: SecretScanner
    header_name_scanner: SecretScanner

    def exposes(self, request: HttpRequest) -> bool:
        """Return whether the target would receive the secret in any part of the request."""
        # Header names arrive in lower case; a lower-case secret still reveals most of its value.
        header_names = b"\n".join(name for name, _ in request.headers)
        return self.header_name_scanner.contains_secret(header_names) or any(
            self.scanner.contains_secret(data) for data in _forwarded_head_and_body(request)
        )


class Authenticator:
    """Checks keys against the current configuration.

    Verified keys are cached by a hash of the Authorization header, because building the scanners
    costs more than all other checks. A cached key is valid only while the configuration still holds
    the record that the key was verified against.
    """

    def __init__(self) -> None:
        self._cached_keys_by_digest: OrderedDict[bytes, _CachedKey] = OrderedDict()

    def authenticate(
        self, request: HttpRequest, configuration: Configuration
    ) -> Identity | Refusal:
        """Return the identity of the key in a request, or the refusal to send to the caller."""
        values = request.header_values(AUTHORIZATION_HEADER)
        if not values:
            return Refusal(Reason.KEY_MISSING, detail="send Authorization: Bearer <key>")
        if len(values) > 1:
            return Refusal(Reason.BAD_REQUEST, detail="send one Authorization header")
        cached = self._cached_key(values[0], configuration)
        if isinstance(cached, Refusal):
            return cached
        exposed = cached.exposes(request) or contains_published_key(request, configuration)
        return (
            KEY_EXPOSED_REFUSAL
            if exposed
            else Identity(cached.record.organisation, cached.record.id)
        )

    def _cached_key(self, value: bytes, configuration: Configuration) -> _CachedKey | Refusal:
        digest = hashlib.sha256(value).digest()
        cached = self._cached_keys_by_digest.get(digest)
        if cached is not None and configuration.keys_by_id.get(cached.record.id) is cached.record:
            return cached
        verified = _verify_key(value, configuration)
        if isinstance(verified, Refusal):
            self._cached_keys_by_digest.pop(digest, None)
            return verified
        record, key = verified
        cached = _CachedKey(record, SecretScanner(key.secret), SecretScanner(key.secret.lower()))
        self._cached_keys_by_digest[digest] = cached
        if len(self._cached_keys_by_digest) > MAX_CACHED_KEYS:
            self._cached_keys_by_digest.popitem(last=False)
        return cached


def contains_published_key(request: HttpRequest, configuration: Configuration) -> bool:
    """Return whether the target would receive a published key in any part of the request.

    Header names arrive in lower case, so a key in one cannot be compared with its record. Any text
    in a header name that has the format of a key counts as published.
    """
    if any(True for name, _ in request.headers for _ in find_keys(name)):
        return True
    for data in _forwarded_head_and_body(request):
        for key in find_keys(data):
            record = configuration.keys_by_id.get(key.id)
            if record is not None and matches(record, key):
                return True
    return False


def _forwarded_head_and_body(request: HttpRequest) -> list[bytes]:
    """Return the head without the Authorization header, and the body if there is one."""
    fields = [request.target]
    for name, value in request.headers:
        if name != AUTHORIZATION_HEADER:
            fields += (name, value)
    head = b"\n".join(fields)
    return [head, bytes(request.body)] if request.body else [head]


def _verify_key(
    value: bytes, configuration: Configuration
) -> tuple[KeyRecord, ParsedKey] | Refusal:
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return Refusal(Reason.KEY_MISSING, detail="send Authorization: Bearer <key>")
    key = parse_key(value[len(BEARER_PREFIX) :].strip().decode("ascii", "replace"))
    if key is None:
        return Refusal(Reason.KEY_UNKNOWN, detail="the key has not the form pgk_<id>_<secret>")
    record = configuration.keys_by_id.get(key.id)
    if record is not None and matches(record, key):
        return record, key
    if record is None and configuration.is_key_withdrawn(key.id):
        return Refusal(Reason.KEY_WITHDRAWN, detail="the key was withdrawn; ask for a new one")
    return Refusal(Reason.KEY_UNKNOWN, detail="no published key has this value")
