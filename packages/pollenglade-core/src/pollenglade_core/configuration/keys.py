"""API keys: their text form, the stored record and the search for a secret in call data."""

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

DECODE_ROUNDS = 2
"""Layers of percent-encoding that the search removes.

Two layers cover a URL inside a query parameter; more layers are not undone by any single target.
"""

_KEY_ID = r"[A-Za-z0-9-]{1,64}"
_KEY = re.compile(rf"{KEY_PREFIX}({_KEY_ID})_([A-Za-z0-9_-]{{{SECRET_LENGTH}}})")
_KEY_IN_DATA = re.compile(_KEY.pattern.encode())


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A published key; the secret itself is not kept.

    `secret_hash` is the SHA-256 of the secret text in hexadecimal. `revision` is the configuration
    version that last changed the key.
    """

    id: str
    organisation: str
    secret_hash: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ParsedKey:
    """A key as presented by a caller; its secret is kept out of `repr`."""

    id: str
    secret: str = field(repr=False)


def key_text(key_id: str, secret_bytes: bytes) -> str:
    """Return the text of a new key; raise ValueError for a wrong id or length of the secret."""
    secret = base64.urlsafe_b64encode(secret_bytes).rstrip(b"=").decode()
    text = f"{KEY_PREFIX}{key_id}_{secret}"
    if not _KEY.fullmatch(text):
        raise ValueError(f"a key needs an id of letters, digits, '-' and {SECRET_BYTES} bytes")
    return text


def parse_key(text: str) -> ParsedKey | None:
    """Return the parts of a key text, or None where the text is not a key."""
    match = _KEY.fullmatch(text)
    return ParsedKey(match[1], match[2]) if match else None


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def matches(record: KeyRecord, key: ParsedKey) -> bool:
    """Return whether the presented key is the recorded one; takes constant time per secret."""
    same_secret = hmac.compare_digest(hash_secret(key.secret), record.secret_hash)
    return same_secret and record.id == key.id


def keys_in(data: bytes) -> Iterator[ParsedKey]:
    """Yield every text in data that has the form of a key, plain or percent-encoded.

    It finds keys that the call was not made with, whose secrets the node does not know.
    """
    for layer in range(DECODE_ROUNDS + 1):
        for match in _KEY_IN_DATA.finditer(data):
            yield ParsedKey(match[1].decode(), match[2].decode())
        if layer == DECODE_ROUNDS or b"%" not in data:
            return
        data = _percent_decoded(data)


def find_secret(secret: str, data: bytes) -> bool:
    """Return whether data holds the secret: plain, percent-encoded or inside base64 text.

    Percent-encoding may cover any characters, in either hexadecimal case. Base64 is found at each
    alignment and in both alphabets, as in `Authorization: Basic`. Compressed, encrypted and
    line-wrapped base64 data is not seen.
    """
    return SecretScanner(secret).holds(data)


class SecretScanner:
    """Searches body chunks for a secret, including one that is split over chunks."""

    def __init__(self, secret: str) -> None:
        if not secret:
            raise ValueError("an empty secret cannot be searched for")
        self._needles = _needles(secret.encode())
        self._tail = b""

    @cached_property
    def overlap(self) -> int:
        """Bytes kept between chunks: the longest encoded form less one byte."""
        longest = max(len(needle) for needle in self._needles)
        return int(longest * 3**DECODE_ROUNDS) - 1

    def feed(self, chunk: bytes) -> bool:
        """Return whether the secret is in this chunk or in the end of the chunks before it."""
        window = self._tail + chunk
        self._tail = window[-self.overlap :]
        return self.holds(window)

    def holds(self, data: bytes) -> bool:
        """Return whether data holds the secret, without regard to the chunks before."""
        for _ in range(DECODE_ROUNDS):
            if any(needle in data for needle in self._needles):
                return True
            if b"%" not in data:
                return False
            data = _percent_decoded(data)
        return any(needle in data for needle in self._needles)


# Quoted-printable differs from percent-encoding by its escape character and by line breaks.
_TO_QUOTED = bytes.maketrans(b"%=\r\n", b"=\0\0\0")


def _percent_decoded(data: bytes) -> bytes:
    """Remove one layer of percent-encoding; `=` and line breaks that are not encoded become NUL.

    NUL is in no form of a secret. The quoted-printable decoder is used because it runs in C:
    `urllib.parse.unquote_to_bytes` takes about 0.25 s for 1 MB of escapes, for which the event loop
    would stop.
    """
    quoted = data.translate(_TO_QUOTED)
    # An encoded `=` could not be told from an escape character that encodes nothing.
    quoted = quoted.replace(b"=3D", b"\0").replace(b"=3d", b"\0")
    # The decoder takes `==` for one `=`, so the first is encoded. The second pass handles the
    # pairs that the first left adjacent.
    quoted = quoted.replace(b"==", b"=3D=").replace(b"==", b"=3D=")
    return binascii.a2b_qp(quoted).replace(b"=", b"%")


def _needles(secret: bytes) -> frozenset[bytes]:
    """Return the plain secret and its base64 forms.

    A base64 form keeps only the characters that the secret alone determines, so the text before
    and after the secret does not matter.
    """
    forms = {secret}
    for offset in range(3):
        first = -(-8 * offset // 6)
        last = 8 * (offset + len(secret)) // 6
        padded = bytes(offset) + secret
        forms.add(base64.b64encode(padded)[first:last])
        forms.add(base64.urlsafe_b64encode(padded)[first:last])
    return frozenset(forms - {b""})
