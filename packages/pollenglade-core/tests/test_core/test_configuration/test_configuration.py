"""Guards against lost, reverted or twice accepted configuration changes."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration import ProfileChange
from pollenglade_core.configuration.configuration import apply
from pollenglade_core.configuration.configuration import subject_of
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.configuration_wire import change_from_wire
from pollenglade_core.configuration.configuration_wire import change_to_wire
from pollenglade_core.configuration.configuration_wire import from_wire
from pollenglade_core.configuration.configuration_wire import to_wire
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.profile import OrganisationContract
from pollenglade_core.configuration.profile import Profile
from pollenglade_core.configuration.profile import RequestRule
from pollenglade_core.finding import Findings

STAMPS = st.builds(ChangeOrigin, st.text(max_size=4), st.floats(0, 1e10), st.uuids().map(str))
REVISIONS = st.integers(0, 12)
PROFILE_NAMES = st.sampled_from(["a", "b", "c"])
FIELD_NAMES = st.sampled_from(["version", "profiles_by_name", "profile", "key", "name", "stamp"])
SERVICES = st.lists(st.sampled_from(["s", "t", "u"]), max_size=2, unique=True).map(tuple)

WIRE_VALUES = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(FIELD_NAMES, inner),
)


def profile(name: str, services: tuple[str, ...] = ()) -> Profile:
    """Return a profile with one contract and one rule."""
    return Profile(name, services, {"o": OrganisationContract("o", 5, 9)}, (RequestRule("GET"),))


@st.composite
def changes(draw: st.DrawFn) -> Change:
    """Draw any change, with an expected revision that may or may not be current."""
    name, revision, stamp = draw(PROFILE_NAMES), draw(REVISIONS), draw(STAMPS)
    withdraws = draw(st.booleans())
    if draw(st.booleans()):
        value = None if withdraws else profile(name, draw(SERVICES))
        return ProfileChange(name, revision, value, stamp)
    return KeyChange(name, revision, None if withdraws else KeyRecord(name, "o", "00"), stamp)


def publish_keys(history: ConfigurationHistory, count: int) -> list[Change]:
    """Publish `count` keys and return the changes."""
    published: list[Change] = []
    for _ in range(count):
        name = f"k{history.current.version}"
        change = KeyChange(name, 0, KeyRecord(name, "o", "00"), ChangeOrigin("w", 1.0, name))
        assert isinstance(history.apply(change), Configuration)
        published.append(change)
    return published


class ApplyTest(unittest.TestCase):
    @given(st.lists(changes(), max_size=30))
    def test_each_accepted_change_is_one_version(self, attempts: list[Change]) -> None:
        """An outdated revision, or a service in two profiles, must not be accepted."""
        current = Configuration()
        for change in attempts:
            kind, name = subject_of(change)
            revision = current.revision(kind, name)
            result = apply(current, change)
            if isinstance(result, Configuration):
                self.assertEqual(revision, change.expected_revision)
                self.assertEqual(current.version + 1, result.version)
                current = result
            elif isinstance(result, Conflict):
                self.assertEqual(current.acceptance(kind, name), result.other)
            profiled_services = [s for p in current.profiles_by_name.values() for s in p.services]
            self.assertEqual(len(profiled_services), len(set(profiled_services)))

    @given(changes(), changes(), st.lists(changes(), max_size=10))
    def test_one_of_two_concurrent_changes_of_a_name_is_accepted(
        self, first_change: Change, second_change: Change, before: list[Change]
    ) -> None:
        """Exactly one of two changes of a name is accepted; other names must not conflict."""
        history = ConfigurationHistory()
        for change in before:
            history.apply(change)
        base = history.current
        first, second_alone = apply(base, first_change), apply(base, second_change)
        if not isinstance(first, Configuration) or not isinstance(second_alone, Configuration):
            return
        second = apply(first, second_change)
        if subject_of(first_change) != subject_of(second_change):
            self.assertNotIsInstance(second, Conflict)
            return
        assert isinstance(second, Conflict) and second.other is not None
        self.assertEqual(first_change.stamp, second.other.stamp)
        self.assertEqual(first.version, second.other.revision)

    def test_service_of_another_profile_is_a_finding(self) -> None:
        """With two profiles for one service, its limits would depend on the lookup order."""
        stamp = ChangeOrigin("w", 1.0, "x")
        base = apply(Configuration(), ProfileChange("a", 0, profile("a", ("s",)), stamp))
        assert isinstance(base, Configuration)
        result = apply(base, ProfileChange("b", 0, profile("b", ("t", "s")), stamp))
        assert isinstance(result, Findings)
        self.assertEqual(["services[1]"], [item.place for item in result.items])


class HistoryTest(unittest.TestCase):
    @given(st.lists(changes(), max_size=30), st.data())
    def test_wire_and_replay_give_the_same_digest(
        self, attempts: list[Change], data: st.DataObject
    ) -> None:
        """A node that starts from a snapshot must agree with one that applied every change."""
        history = ConfigurationHistory()
        for change in attempts:
            history.apply(change)
        replayed_count = data.draw(st.integers(0, history.current.version))
        accepted = history.changes_since(0)
        assert accepted is not None
        replayed = ConfigurationHistory()
        replayed.advance(1, accepted[:replayed_count])
        restored = from_wire(json.loads(json.dumps(to_wire(replayed.current))))
        assert isinstance(restored, Configuration)
        resumed = ConfigurationHistory(restored)
        wire = json.loads(json.dumps([change_to_wire(change) for change in accepted]))
        resumed.advance(1, [c for c in map(change_from_wire, wire) if not isinstance(c, Findings)])
        self.assertEqual(history.current, resumed.current)
        self.assertEqual(history.digest(), resumed.digest())

    @given(st.integers(0, 300), st.integers(0, 320), st.integers(0, 320))
    def test_version_never_reverts(
        self, count: int, seen_version: int, offered_version: int
    ) -> None:
        """Late changes and old snapshots must not restore a withdrawn key."""
        history = ConfigurationHistory()
        published = publish_keys(history, count)
        self.assertLessEqual(history.current.version - history.snapshot.version, 128)
        since = history.changes_since(seen_version)
        if since is None:
            self.assertLess(seen_version, count - 63)
        else:
            self.assertEqual(published[seen_version:], list(since))
        self.assertEqual(offered_version > count, history.replace(Configuration(offered_version)))
        self.assertEqual(max(count, offered_version), history.current.version)
        self.assertIsNone(history.advance(history.current.version + 2, published))

    @given(WIRE_VALUES)
    def test_foreign_wire_data_gives_findings(self, wire: object) -> None:
        """Corrupt data from the platform must not crash the process."""
        self.assertIsInstance(from_wire(wire), Configuration | Findings)
        self.assertIsInstance(change_from_wire(wire), Findings)

    def test_withdrawn_key_is_known_as_withdrawn(self) -> None:
        """A withdrawn key must be distinguished from one that never existed."""
        history = ConfigurationHistory()
        publish_keys(history, 1)
        history.apply(KeyChange("k0", 1, None, ChangeOrigin("w", 1.0, "x")))
        self.assertTrue(history.current.is_key_withdrawn("k0"))
        self.assertFalse(history.current.is_key_withdrawn("k1"))
        self.assertEqual(0, history.current.revision(Kind.KEY, "k0"))
