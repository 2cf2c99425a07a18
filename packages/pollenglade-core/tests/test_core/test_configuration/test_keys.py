"""Guards against wrongly accepted keys and secrets that reach a target."""

from __future__ import annotations

import base64
import unittest
from itertools import pairwise
from urllib.parse import unquote_to_bytes

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import SecretScanner
from pollenglade_core.configuration.keys import find_secret
from pollenglade_core.configuration.keys import hash_secret
from pollenglade_core.configuration.keys import key_text
from pollenglade_core.configuration.keys import matches
from pollenglade_core.configuration.keys import parse_key

KEY_IDS = st.from_regex(r"[A-Za-z0-9-]{1,64}", fullmatch=True)
SECRETS = st.binary(min_size=32, max_size=32)


@st.composite
def encoded_secrets(draw: st.DrawFn) -> tuple[str, bytes]:
    """Draw a secret and data that contains it in one of the forms that targets decode."""
    parsed = parse_key(key_text("k1", draw(SECRETS)))
    assert parsed is not None
    before, after = draw(st.binary(max_size=80)), draw(st.binary(max_size=80))
    form = parsed.secret.encode()
    if draw(st.booleans()):
        encode = draw(st.sampled_from([base64.b64encode, base64.urlsafe_b64encode]))
        form = encode(draw(st.binary(max_size=5)) + form + draw(st.binary(max_size=5)))
    for _ in range(draw(st.integers(0, 2))):
        form = percent_encode(draw, form)
    return parsed.secret, before.replace(b"%", b"") + form + after


def percent_encode(draw: st.DrawFn, data: bytes) -> bytes:
    """Percent-encode any subset of the bytes, with hexadecimal digits in either case."""
    choices = draw(st.lists(st.sampled_from("-xX"), min_size=len(data), max_size=len(data)))
    parts = [
        bytes([byte]) if choice == "-" else f"%{byte:02{choice}}".encode()
        for byte, choice in zip(data, choices, strict=True)
    ]
    return b"".join(parts)


class KeyTest(unittest.TestCase):
    @given(KEY_IDS, SECRETS, SECRETS)
    def test_only_the_recorded_secret_matches(
        self, key_id: str, first_secret: bytes, second_secret: bytes
    ) -> None:
        """A key with another secret or id must not be accepted for the organisation."""
        key, other = parse_key(key_text(key_id, first_secret)), parse_key(
            key_text(key_id, second_secret)
        )
        assert key is not None and other is not None
        record = KeyRecord(key_id, "acme", hash_secret(key.secret))
        self.assertTrue(matches(record, key))
        self.assertEqual(first_secret == second_secret, matches(record, other))
        self.assertFalse(matches(KeyRecord(key_id + "x", "acme", record.secret_hash), key))
        self.assertNotIn(key.secret, repr(key))

    @given(st.text() | st.from_regex(r"pgk_[\w-]*_[\w-]*"))
    def test_parse_accepts_only_whole_keys(self, text: str) -> None:
        """A malformed or trailing part must not be ignored silently."""
        key = parse_key(text)
        if key is not None:
            self.assertEqual(text, f"pgk_{key.id}_{key.secret}")


class FindSecretTest(unittest.TestCase):
    @given(encoded_secrets(), st.lists(st.integers(0, 900), max_size=6))
    def test_secret_is_found_in_every_form_and_split(
        self, case: tuple[str, bytes], split_positions: list[int]
    ) -> None:
        """A secret that is encoded or split over chunks must not reach a target."""
        secret, data = case
        self.assertTrue(find_secret(secret, data))
        scanner = SecretScanner(secret)
        self.assertTrue(scanner.contains_secret(data))
        self.assertFalse(
            scanner.contains_secret(b""), "data of one call must not count for the next"
        )
        boundaries = [0, *sorted(split_positions), max(900, len(data))]
        chunks = [data[a:b] for a, b in pairwise(boundaries)]
        self.assertTrue(any(scanner.feed(chunk) for chunk in chunks))
        scanner = SecretScanner(secret)
        self.assertTrue(any(scanner.feed(bytes([byte])) for byte in data))

    @given(st.text("%%%=\r\n_24536DdEeabA1", max_size=40).map(str.encode))
    def test_search_agrees_with_plain_decoding(self, data: bytes) -> None:
        """Escapes that are truncated, doubled or next to line breaks must not hide a secret."""
        layers = [data, unquote_to_bytes(data), unquote_to_bytes(unquote_to_bytes(data))]
        # The alphabet of the data does not allow a base64 form of these secrets.
        for secret in ("a", "1b", "4a1"):
            expected = any(secret.encode() in layer for layer in layers)
            self.assertEqual(expected, SecretScanner(secret).contains_secret(data), secret)

    @given(SECRETS, st.binary(max_size=300))
    def test_data_without_the_whole_secret_passes(self, secret_bytes: bytes, data: bytes) -> None:
        """Only the whole secret, not a part of it, may cause a refusal."""
        key = parse_key(key_text("k1", secret_bytes))
        assert key is not None
        part = key.secret[:-1].encode()
        if key.secret.encode() not in data:
            self.assertFalse(find_secret(key.secret, part + b"." + data.replace(b"%", b"")))
