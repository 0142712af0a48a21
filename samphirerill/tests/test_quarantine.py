"""Decisions on requests that crash the endpoints running them."""

from __future__ import annotations

from itertools import permutations
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from samphirerill.quarantine import Crash, Quarantine, digest_request
from samphirerill.quarantine.decision import MAX_RECORDS, SETTLE_S
from samphirerill.quarantine.messages import (
    InvalidEvidenceError,
    apply_messages,
    build_message,
    decode_messages,
    encode_messages,
)

_NOW = 1000.0
_POISON = digest_request('suva', b'/notes/x', b'ends them')
_HARMLESS = digest_request('suva', b'/notes/x', b'harmless')
_SETTLED_S = SETTLE_S + 0.01
_HOLD_S = 600.0


def _record_crashes(
    quarantine: Quarantine, request: bytes, *crashes: tuple[str, float]
) -> None:
    """Record crashes during a request, each at seconds after `_NOW`."""
    for endpoint, after_s in crashes:
        crash = Crash(endpoint, f'r-{endpoint}', _NOW + after_s)
        quarantine.note_crash(request, crash, _NOW + after_s)


def _is_held(quarantine: Quarantine, request: bytes, after_s: float) -> bool:
    quarantine.update_holds(_NOW + after_s)
    return quarantine.get_held_until(request, _NOW + after_s) > 0


class TestDecision(TestCase):
    """Which requests are held."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def test_three_distinct_crashes_suffice(self) -> None:
        _record_crashes(self.quarantine, _POISON, ('a', 0), ('b', 1))
        self.assertFalse(_is_held(self.quarantine, _POISON, 2))
        _record_crashes(self.quarantine, _POISON, ('c', 2))
        self.assertTrue(_is_held(self.quarantine, _POISON, 2 + _SETTLED_S))

    def test_simultaneous_crashes_count_once(self) -> None:
        """A rack that loses power must not quarantine a frequent request."""
        crashes = [(name, number / 1000) for number, name in enumerate('abcde')]
        _record_crashes(self.quarantine, _HARMLESS, *crashes)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))

    def test_shared_crashes_hold_no_request(self) -> None:
        """A request that runs beside a poison request shares its crashes."""
        crashes = (('a', 0), ('b', 0.3), ('c', 0.6))
        _record_crashes(self.quarantine, _POISON, *crashes)
        _record_crashes(self.quarantine, _HARMLESS, *crashes)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))
        _record_crashes(self.quarantine, _POISON, ('d', 1))
        self.assertTrue(_is_held(self.quarantine, _POISON, 2))
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 2))

    def test_recent_crash_is_not_judged_yet(self) -> None:
        """Reports of other suspects may still be on their way."""
        _record_crashes(
            self.quarantine, _HARMLESS, ('a', 0), ('b', 0.3), ('c', 0.6)
        )
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 0.62))
        _record_crashes(
            self.quarantine, _POISON, ('a', 0), ('b', 0.3), ('c', 0.6)
        )
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))

    def test_survived_run_refutes_earlier_crashes(self) -> None:
        _record_crashes(self.quarantine, _HARMLESS, ('a', 0), ('b', 1))
        self.assertTrue(self.quarantine.note_survival(_HARMLESS, _NOW + 2))
        _record_crashes(self.quarantine, _HARMLESS, ('c', 3), ('d', 4))
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 5))

    def test_late_report_of_refuted_crash_is_ignored(self) -> None:
        _record_crashes(self.quarantine, _HARMLESS, ('a', 0))
        self.quarantine.note_survival(_HARMLESS, _NOW + 2)
        _record_crashes(
            self.quarantine, _HARMLESS, ('b', 1), ('c', 1.5), ('d', 3)
        )
        self.assertEqual(self.quarantine.count_crashes(_HARMLESS), 1)

    def test_survived_run_releases_hold(self) -> None:
        """A frequent request often runs on replicas that crash by chance."""
        _record_crashes(
            self.quarantine, _HARMLESS, ('a', 0), ('b', 1), ('c', 2)
        )
        self.assertTrue(_is_held(self.quarantine, _HARMLESS, 3))
        self.quarantine.note_survival(_HARMLESS, _NOW + 3.1)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 3.2))

    def test_frequent_crashes_require_more_evidence(self) -> None:
        """If an endpoint crashes each second, three may be a coincidence."""
        for number in range(9):
            other_request = digest_request('viti', b'/notes/x', b'%d' % number)
            _record_crashes(
                self.quarantine, other_request, (f'other-{number}', number / 4)
            )
        _record_crashes(
            self.quarantine, _HARMLESS, ('a', 0.1), ('b', 1.1), ('c', 2.1)
        )
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 3))
        _record_crashes(self.quarantine, _HARMLESS, ('d', 3.1), ('e', 4.1))
        self.assertTrue(_is_held(self.quarantine, _HARMLESS, 5))

    def test_decision_is_independent_of_order(self) -> None:
        evidence = [
            (_POISON, ('a', 0.0)),
            (_POISON, ('b', 0.5)),
            (_POISON, ('c', 1.0)),
            (_HARMLESS, ('b', 0.5)),
            (_HARMLESS, ('c', 1.0)),
        ]
        for order in permutations(evidence):
            quarantine = Quarantine()
            for request, crash in order:
                _record_crashes(quarantine, request, crash)
            self.assertTrue(_is_held(quarantine, _POISON, 2))
            self.assertFalse(_is_held(quarantine, _HARMLESS, 2))


class TestExpiry(TestCase):
    """Expiry of holds and limits on stored evidence."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()
        _record_crashes(self.quarantine, _POISON, ('a', 0), ('b', 1), ('c', 2))

    def test_hold_expires_and_doubles_after_next_crash(self) -> None:
        self.assertTrue(_is_held(self.quarantine, _POISON, _HOLD_S))
        later_s = 2 + _HOLD_S + 1
        self.assertFalse(_is_held(self.quarantine, _POISON, later_s))
        _record_crashes(self.quarantine, _POISON, ('d', later_s))
        held_s = later_s + 2 * _HOLD_S - 1
        self.assertTrue(_is_held(self.quarantine, _POISON, held_s))

    def test_new_node_learns_of_long_hold(self) -> None:
        """Evidence must be accepted for as long as the hold it causes lasts."""
        _record_crashes(self.quarantine, _POISON, ('d', 3), ('e', 4), ('f', 5))
        record = self.quarantine.get_record(_POISON)
        assert record is not None
        later_s = 1800.0
        messages = [build_message(_POISON, record, _NOW + later_s)]
        new_node = Quarantine()
        apply_messages(new_node, messages, _NOW + later_s)
        self.assertTrue(_is_held(new_node, _POISON, later_s))

    def test_old_evidence_is_dropped(self) -> None:
        self.quarantine.drop_expired(_NOW + 3 * _HOLD_S)
        self.assertEqual(len(self.quarantine), 0)

    def test_flood_of_requests_keeps_held_record(self) -> None:
        self.assertTrue(_is_held(self.quarantine, _POISON, 3))
        for number in range(3 * MAX_RECORDS):
            request = digest_request('viti', b'/notes/x', b'%d' % number)
            _record_crashes(
                self.quarantine, request, (f'e-{number}', 4 + number / 1000)
            )
        self.assertEqual(len(self.quarantine), MAX_RECORDS)
        self.assertTrue(_is_held(self.quarantine, _POISON, 8))

    def test_flood_of_suspects_keeps_held_record(self) -> None:
        """Many requests with the same crashes must not evict a held one."""
        self.assertTrue(_is_held(self.quarantine, _POISON, 3))
        crashes = [(f'e-{number}', 10 + number) for number in range(4)]
        for number in range(MAX_RECORDS + 5):
            request = digest_request('viti', b'/notes/x', b'%d' % number)
            _record_crashes(self.quarantine, request, *crashes)
        self.assertEqual(len(self.quarantine), MAX_RECORDS)
        until = self.quarantine.get_held_until(_POISON, _NOW + 20)
        self.assertGreater(until, 0)


class TestIdentity(TestCase):
    """Digests are equal for the same request of one account only."""

    def test_account_path_and_body_identify_request(self) -> None:
        parts = [
            ('suva', b'/notes/x', b'gown'),
            ('nadi', b'/notes/x', b'gown'),
            ('suva', b'/notes/y', b'gown'),
            ('suva', b'/notes/x', b'veil'),
            ('suv', b'a/notes/x', b'gown'),
            ('suva', b'/notes/xg', b'own'),
        ]
        digests = {digest_request(*part) for part in parts}
        self.assertEqual(len(digests), len(parts))
        self.assertEqual(digest_request(*parts[0]), digest_request(*parts[0]))


class TestMessages(TestCase):
    """Messages with evidence between nodes."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()
        _record_crashes(self.quarantine, _POISON, ('a', 0), ('b', 1), ('c', 2))

    def test_other_node_reaches_same_decision(self) -> None:
        other = Quarantine()
        text = self._encode(_NOW + 3)
        # The other node's clock differs, and the message arrives twice.
        for _ in range(2):
            apply_messages(other, decode_messages(text), 5000.0)
        other.update_holds(5000.0)
        self.assertAlmostEqual(
            other.get_held_until(_POISON, 5000.0) - 5000.0,
            _HOLD_S - 1,
            places=2,
        )

    def test_circulating_evidence_does_not_extend_hold(self) -> None:
        """Delays of messages must not add up to make evidence look newer."""
        other = Quarantine()
        for number in range(50):
            now = _NOW + 3 + number
            apply_messages(other, decode_messages(self._encode(now)), now + 0.2)
            record = other.get_record(_POISON)
            assert record is not None
            back = encode_messages([build_message(_POISON, record, now + 0.2)])
            apply_messages(self.quarantine, decode_messages(back), now + 0.4)
        self.quarantine.update_holds(_NOW + 60)
        until = self.quarantine.get_held_until(_POISON, _NOW + 60)
        self.assertAlmostEqual(until, _NOW + 2 + _HOLD_S, places=2)

    def test_oversized_message_is_rejected(self) -> None:
        record = self.quarantine.get_record(_POISON)
        assert record is not None
        messages = [build_message(_POISON, record, _NOW)] * 65
        with self.assertRaises(InvalidEvidenceError):
            decode_messages(encode_messages(messages))

    @given(st.binary(max_size=200))
    def test_any_bytes_are_accepted_or_rejected(self, text: bytes) -> None:
        try:
            messages = decode_messages(text)
        except InvalidEvidenceError:
            return
        apply_messages(self.quarantine, messages, _NOW + 3)

    def test_corrupted_messages_hold_no_request(self) -> None:
        text = self._encode(_NOW + 3)
        random = Random(1)  # noqa: S311
        for _ in range(2000):
            corrupted = bytearray(text)
            corrupted[random.randrange(len(text))] = random.randrange(256)
            other = Quarantine()
            try:
                apply_messages(other, decode_messages(bytes(corrupted)), _NOW)
            except InvalidEvidenceError:
                continue
            other.update_holds(_NOW + 1)
            self.assertEqual(other.get_held_until(_HARMLESS, _NOW + 1), 0)

    def _encode(self, now: float) -> bytes:
        record = self.quarantine.get_record(_POISON)
        assert record is not None
        return encode_messages([build_message(_POISON, record, now)])
