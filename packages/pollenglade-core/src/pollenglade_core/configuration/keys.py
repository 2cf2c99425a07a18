"""API keys: text format, stored record and detection of secrets in call data."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import re
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from functools import cached_property

KEY_PREFIX = "pgk_"
SECRET_BYTES = 32
SECRET_LENGTH = 43
"""Characters of a secret: 32 bytes in unpadded URL-safe base64."""

PERCENT_DECODING_ROUNDS = 2
"""Number of percent-encoding layers that the search decodes.

Two layers cover a URL inside a query parameter; no single target decodes more layers.
"""

_KEY_ID = r"[A-Za-z0-9-]{1,64}"
_KEY_TEXT = re.compile(rf"{KEY_PREFIX}({_KEY_ID})_([A-Za-z0-9_-]{{{SECRET_LENGTH}}})")
_KEY_IN_DATA = re.compile(_KEY_TEXT.pattern.encode())


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A published key; the secret itself is not stored.

    `secret_hash` is the SHA-256 of the secret text in hexadecimal. `revision` is the configuration
    version that last changed the key.
    """

    id: str
    organisation: str
    secret_hash: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ParsedKey:
    """A key as presented by a caller; its secret is excluded from `repr`."""

    id: str
    secret: str = field(repr=False)


def key_text(key_id: str, secret_bytes: bytes) -> str:
    """Return the text of a new key; raise ValueError for an invalid id or secret length."""
    secret = base64.urlsafe_b64encode(secret_bytes).rstrip(b"=").decode()
    text = f"{KEY_PREFIX}{key_id}_{secret}"
    if not _KEY_TEXT.fullmatch(text):
        raise ValueError(
            f"use an id of 1 to 64 letters, digits and '-', and a secret of {SECRET_BYTES} bytes"
        )
    return text


def parse_key(text: str) -> ParsedKey | None:
    """Return the id and secret of a key text, or None if the text is not a key."""
    match = _KEY_TEXT.fullmatch(text)
    return ParsedKey(match[1], match[2]) if match else None


def hash_secret(secret: str) -> str:
    """Return the SHA-256 hash of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def matches(record: KeyRecord, key: ParsedKey) -> bool:
    """Return whether a key has the recorded id and secret; compares hashes in constant time."""
    same_secret = hmac.compare_digest(hash_secret(key.secret), record.secret_hash)
    return same_secret and record.id == key.id


def find_keys(data: bytes) -> Iterator[ParsedKey]:
    """Yield every key text in data, plain or percent-encoded.

    This also finds keys other than that of the call, whose secrets the node does not know.
    """
    for layer in range(PERCENT_DECODING_ROUNDS + 1):
        for match in _KEY_IN_DATA.finditer(data):
            yield ParsedKey(match[1].decode(), match[2].decode())
        if layer == PERCENT_DECODING_ROUNDS or b"%" not in data:
            return
        data = _percent_decoded(data)


def find_secret(secret: str, data: bytes) -> bool:
    """Return whether data contains the secret: plain, percent-encoded or inside base64 text.

    Percent-encoding may apply to any characters, in either hexadecimal case. Base64 is found at
    each alignment and in both alphabets, as in `Authorization: Basic`. Secrets in compressed,
    encrypted or line-wrapped base64 data are not found.
    """
    return SecretScanner(secret).contains_secret(data)


class SecretScanner:
    """Searches body chunks for a secret, which may be split over chunks."""

    def __init__(self, secret: str) -> None:
        if not secret:
            raise ValueError("an empty secret cannot be searched for")
        self._search_forms = _search_forms(secret.encode())
        self._tail = b""

    @cached_property
    def overlap_bytes(self) -> int:
        """Bytes retained between chunks: one less than the longest encoded form."""
        longest_form_bytes = max(len(form) for form in self._search_forms)
        return int(longest_form_bytes * 3**PERCENT_DECODING_ROUNDS) - 1

    def feed(self, chunk: bytes) -> bool:
        """Return whether the chunk, with the retained end of earlier ones, contains the secret."""
        window = self._tail + chunk
        self._tail = window[-self.overlap_bytes :]
        return self.contains_secret(window)

    def contains_secret(self, data: bytes) -> bool:
        """Return whether data contains the secret, regardless of earlier chunks."""
        for _ in range(PERCENT_DECODING_ROUNDS):
            if any(form in data for form in self._search_forms):
                return True
            if b"%" not in data:
                return False
            data = _percent_decoded(data)
        return any(form in data for form in self._search_forms)


# Quoted-printable differs from percent-encoding by its escape character and by line breaks.
_TO_QUOTED = bytes.maketrans(b"%=\r\n", b"=\0\0\0")


def _percent_decoded(data: bytes) -> bytes:
    """Remove one layer of percent-encoding; `=` and line breaks that are not encoded become NUL.

    No form of a secret contains NUL. The quoted-printable decoder is used because it runs in C:
    `urllib.parse.unquote_to_bytes` would block the event loop for about 0.25 s per 1 MB of escapes.
    """
    quoted = data.translate(_TO_QUOTED)
    # An encoded `=` could not be distinguished from an escape character without digits.
    quoted = quoted.replace(b"=3D", b"\0").replace(b"=3d", b"\0")
    # The decoder reads `==` as one `=`, so the first of the two is encoded. The second pass handles
    # pairs that are adjacent after the first pass.
    quoted = quoted.replace(b"==", b"=3D=").replace(b"==", b"=3D=")
    return binascii.a2b_qp(quoted).replace(b"=", b"%")


def _search_forms(secret: bytes) -> frozenset[bytes]:
    """Return the plain secret and its base64 forms at each alignment, in both alphabets.

    A base64 form includes only the characters that the secret alone determines, so it does not
    depend on the text before and after the secret.
    """
    forms = {secret}
    for offset in range(3):
        first_char = -(-8 * offset // 6)
        end_char = 8 * (offset + len(secret)) // 6
        padded = bytes(offset) + secret
        forms.add(base64.b64encode(padded)[first_char:end_char])
        forms.add(base64.urlsafe_b64encode(padded)[first_char:end_char])
    return frozenset(forms - {b""})
