"""Guards against lost, reverted or doubly accepted configuration changes."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration import ProfileChange
from pollenglade_core.configuration.configuration import Stamp
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

STAMPS = st.builds(Stamp, st.text(max_size=4), st.floats(0, 1e10), st.uuids().map(str))
REVISIONS = st.integers(0, 12)
PROFILE_NAMES = st.sampled_from(["a", "b", "c"])
FIELD_NAMES = st.sampled_from(["version", "profiles_by_name", "profile", "key", "name", "stamp"])
SERVICES = st.lists(st.sampled_from(["s", "t", "u"]), max_size=2, unique=True).map(tuple)

WIRE_VALUES = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(FIELD_NAMES, inner),
)


def profile(name: str, services: tuple[str, ...] = ()) -> Profile:
    """A profile with one contract and one rule."""
    return Profile(name, services, {"o": OrganisationContract("o", 5, 9)}, (RequestRule("GET"),))


@st.composite
def changes(draw: st.DrawFn) -> Change:
    """Any change, with a revision that may or may not be current."""
    name, revision, stamp = draw(PROFILE_NAMES), draw(REVISIONS), draw(STAMPS)
    withdraws = draw(st.booleans())
    if draw(st.booleans()):
        value = None if withdraws else profile(name, draw(SERVICES))
        return ProfileChange(name, revision, value, stamp)
    return KeyChange(name, revision, None if withdraws else KeyRecord(name, "o", "00"), stamp)


def grown(history: ConfigurationHistory, count: int) -> list[Change]:
    """Publish `count` keys and return the changes."""
    made: list[Change] = []
    for _ in range(count):
        name = f"k{history.current.version}"
        change = KeyChange(name, 0, KeyRecord(name, "o", "00"), Stamp("w", 1.0, name))
        assert isinstance(history.apply(change), Configuration)
        made.append(change)
    return made


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
            owned = [s for p in current.profiles_by_name.values() for s in p.services]
            self.assertEqual(len(owned), len(set(owned)))

    @given(changes(), changes(), st.lists(changes(), max_size=10))
    def test_concurrent_changes(self, one: Change, two: Change, before: list[Change]) -> None:
        """Of two changes of one name exactly one wins; other names must not be disturbed."""
        history = ConfigurationHistory()
        for change in before:
            history.apply(change)
        base = history.current
        first, alone = apply(base, one), apply(base, two)
        if not isinstance(first, Configuration) or not isinstance(alone, Configuration):
            return
        second = apply(first, two)
        if subject_of(one) != subject_of(two):
            self.assertNotIsInstance(second, Conflict)
            return
        assert isinstance(second, Conflict) and second.other is not None
        self.assertEqual(one.stamp, second.other.stamp)
        self.assertEqual(first.version, second.other.revision)

    def test_service_of_another_profile_is_a_finding(self) -> None:
        """Two profiles for one service would make its limits depend on lookup order."""
        stamp = Stamp("w", 1.0, "x")
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
        middle = data.draw(st.integers(0, history.current.version))
        accepted = history.changes_since(0)
        assert accepted is not None
        replayed = ConfigurationHistory()
        replayed.advance(1, accepted[:middle])
        copy = from_wire(json.loads(json.dumps(to_wire(replayed.current))))
        assert isinstance(copy, Configuration)
        late = ConfigurationHistory(copy)
        wire = json.loads(json.dumps([change_to_wire(change) for change in accepted]))
        late.advance(1, [c for c in map(change_from_wire, wire) if not isinstance(c, Findings)])
        self.assertEqual(history.current, late.current)
        self.assertEqual(history.digest(), late.digest())

    @given(st.integers(0, 300), st.integers(0, 320), st.integers(0, 320))
    def test_version_never_reverts(self, count: int, seen: int, offered: int) -> None:
        """Late changes and old snapshots must not bring back a withdrawn key."""
        history = ConfigurationHistory()
        made = grown(history, count)
        self.assertLessEqual(history.current.version - history.snapshot.version, 128)
        since = history.changes_since(seen)
        if since is None:
            self.assertLess(seen, count - 63)
        else:
            self.assertEqual(made[seen:], list(since))
        self.assertEqual(offered > count, history.replace(Configuration(offered)))
        self.assertEqual(max(count, offered), history.current.version)
        self.assertIsNone(history.advance(history.current.version + 2, made))

    @given(WIRE_VALUES)
    def test_foreign_wire_data_gives_findings(self, wire: object) -> None:
        """Damaged data from the platform must not end the process."""
        self.assertIsInstance(from_wire(wire), Configuration | Findings)
        self.assertIsInstance(change_from_wire(wire), Findings)

    def test_withdrawn_key_is_known_as_withdrawn(self) -> None:
        """A withdrawn key must be told apart from one that never existed."""
        history = ConfigurationHistory()
        grown(history, 1)
        history.apply(KeyChange("k0", 1, None, Stamp("w", 1.0, "x")))
        self.assertTrue(history.current.is_key_withdrawn("k0"))
        self.assertFalse(history.current.is_key_withdrawn("k1"))
        self.assertEqual(0, history.current.revision(Kind.KEY, "k0"))
