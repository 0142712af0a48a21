"""What decides that a request ends the endpoints that run it."""

from __future__ import annotations

from itertools import permutations
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from samphirerill.quarantine import Death, Quarantine, digest_request
from samphirerill.quarantine.book import MAX_RECORDS, SETTLE_S
from samphirerill.quarantine.messages import (
    UnreadableEvidenceError,
    build_told,
    decode_told,
    encode_told,
    take_told,
)

_NOW = 1000.0
_HARMFUL = digest_request('suva', b'/notes/x', b'ends them')
_HARMLESS = digest_request('suva', b'/notes/x', b'harmless')
_SETTLED_S = SETTLE_S + 0.01
_HOLD_S = 600.0


def _record_crashes(
    quarantine: Quarantine, request: bytes, *crashes: tuple[str, float]
) -> None:
    """Let a request see endpoints end, each so many seconds from the start."""
    for endpoint, after_s in crashes:
        death = Death(endpoint, f'r-{endpoint}', _NOW + after_s)
        quarantine.note_death(request, death, _NOW + after_s)


def _is_held(quarantine: Quarantine, request: bytes, after_s: float) -> bool:
    quarantine.judge(_NOW + after_s)
    return quarantine.find_held_until(request, _NOW + after_s) > 0


class TestDecision(TestCase):
    """Who is held back, and who is not."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def test_three_ends_at_different_moments_are_enough(self) -> None:
        _record_crashes(self.quarantine, _HARMFUL, ('a', 0), ('b', 1))
        self.assertFalse(_is_held(self.quarantine, _HARMFUL, 2))
        _record_crashes(self.quarantine, _HARMFUL, ('c', 2))
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, 2 + _SETTLED_S))

    def test_ends_of_one_moment_are_one(self) -> None:
        """Symptom: a body that runs on many replicas is refused to all.

        Sequence: a rack loses power, and with it five replicas on which
        copies of one body had just begun. Cause: each end counted.
        """
        crashes = [(name, number / 1000) for number, name in enumerate('abcde')]
        _record_crashes(self.quarantine, _HARMLESS, *crashes)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))

    def test_who_shares_all_ends_is_not_held_for_them(self) -> None:
        """Symptom: a caller's harmless request is refused.

        Sequence: it runs beside the guilty one at three ends, as both are sent
        again to the same replicas. Cause: ends counted, whoever was there.
        """
        crashes = (('a', 0), ('b', 0.3), ('c', 0.6))
        _record_crashes(self.quarantine, _HARMFUL, *crashes)
        _record_crashes(self.quarantine, _HARMLESS, *crashes)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))
        _record_crashes(self.quarantine, _HARMFUL, ('d', 1))
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, 2))
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 2))

    def test_an_end_that_has_not_settled_decides_nothing(self) -> None:
        """Symptom: whoever is heard of first is held for what others did.

        Sequence: a replica ends with two suspects; the guilty one's node tells
        a few milliseconds later. Cause: judged before all were heard.
        """
        _record_crashes(
            self.quarantine, _HARMLESS, ('a', 0), ('b', 0.3), ('c', 0.6)
        )
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 0.62))
        _record_crashes(
            self.quarantine, _HARMFUL, ('a', 0), ('b', 0.3), ('c', 0.6)
        )
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 1))

    def test_a_run_that_goes_on_refutes_what_was_before(self) -> None:
        _record_crashes(self.quarantine, _HARMLESS, ('a', 0), ('b', 1))
        self.assertTrue(self.quarantine.note_survival(_HARMLESS, _NOW + 2))
        _record_crashes(self.quarantine, _HARMLESS, ('c', 3), ('d', 4))
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 5))

    def test_news_of_an_end_before_such_a_run_counts_for_nothing(self) -> None:
        _record_crashes(self.quarantine, _HARMLESS, ('a', 0))
        self.quarantine.note_survival(_HARMLESS, _NOW + 2)
        _record_crashes(
            self.quarantine, _HARMLESS, ('b', 1), ('c', 1.5), ('d', 3)
        )
        self.assertEqual(self.quarantine.count_deaths(_HARMLESS), 1)

    def test_a_run_that_goes_on_releases(self) -> None:
        """A body that many send is on many replicas that end by chance."""
        _record_crashes(
            self.quarantine, _HARMLESS, ('a', 0), ('b', 1), ('c', 2)
        )
        self.assertTrue(_is_held(self.quarantine, _HARMLESS, 3))
        self.quarantine.note_survival(_HARMLESS, _NOW + 3.1)
        self.assertFalse(_is_held(self.quarantine, _HARMLESS, 3.2))

    def test_where_all_end_by_turns_more_is_asked_for(self) -> None:
        """Symptom: requests are refused on days of many losses.

        Sequence: replicas go down and up by turns; now and then a request has
        just begun at three of them, alone. Cause: three are no proof where
        an endpoint ends each second.
        """
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

    def test_the_order_in_which_evidence_comes_changes_nothing(self) -> None:
        evidence = [
            (_HARMFUL, ('a', 0.0)),
            (_HARMFUL, ('b', 0.5)),
            (_HARMFUL, ('c', 1.0)),
            (_HARMLESS, ('b', 0.5)),
            (_HARMLESS, ('c', 1.0)),
        ]
        for order in permutations(evidence):
            quarantine = Quarantine()
            for request, end in order:
                _record_crashes(quarantine, request, end)
            self.assertTrue(_is_held(quarantine, _HARMFUL, 2))
            self.assertFalse(_is_held(quarantine, _HARMLESS, 2))


class TestLapse(TestCase):
    """Nothing is held for ever, and nothing grows for ever."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()
        _record_crashes(self.quarantine, _HARMFUL, ('a', 0), ('b', 1), ('c', 2))

    def test_it_lapses_and_one_more_end_doubles_it(self) -> None:
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, _HOLD_S))
        later_s = 2 + _HOLD_S + 1
        self.assertFalse(_is_held(self.quarantine, _HARMFUL, later_s))
        _record_crashes(self.quarantine, _HARMFUL, ('d', later_s))
        held_s = later_s + 2 * _HOLD_S - 1
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, held_s))

    def test_a_long_hold_is_known_to_a_node_that_starts_late(self) -> None:
        """Symptom: a node that starts runs what all others hold back.

        Sequence: after six ends a request is held for over an hour; a node
        starts half an hour later. Cause: evidence was too old to be taken
        before the hold that it decides was over.
        """
        _record_crashes(self.quarantine, _HARMFUL, ('d', 3), ('e', 4), ('f', 5))
        record = self.quarantine.get_record(_HARMFUL)
        assert record is not None
        later_s = 1800.0
        told = [build_told(_HARMFUL, record, _NOW + later_s)]
        newcomer = Quarantine()
        take_told(newcomer, told, _NOW + later_s)
        self.assertTrue(_is_held(newcomer, _HARMFUL, later_s))

    def test_old_evidence_is_forgotten(self) -> None:
        self.quarantine.forget(_NOW + 3 * _HOLD_S)
        self.assertEqual(len(self.quarantine), 0)

    def test_a_flood_of_bodies_pushes_out_nothing_that_matters(self) -> None:
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, 3))
        for number in range(3 * MAX_RECORDS):
            body = digest_request('viti', b'/notes/x', b'%d' % number)
            _record_crashes(
                self.quarantine, body, (f'e-{number}', 4 + number / 1000)
            )
        self.assertEqual(len(self.quarantine), MAX_RECORDS)
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, 8))

    def test_a_flood_of_suspects_pushes_out_nothing_that_is_held(self) -> None:
        """Many requests are aboard at four ends; nobody knows which it was."""
        self.assertTrue(_is_held(self.quarantine, _HARMFUL, 3))
        crashes = [(f'e-{number}', 10 + number) for number in range(4)]
        for number in range(MAX_RECORDS + 5):
            body = digest_request('viti', b'/notes/x', b'%d' % number)
            _record_crashes(self.quarantine, body, *crashes)
        self.assertEqual(len(self.quarantine), MAX_RECORDS)
        until = self.quarantine.find_held_until(_HARMFUL, _NOW + 20)
        self.assertGreater(until, 0)


class TestIdentity(TestCase):
    """The same request whatever its id; never another account's."""

    def test_account_path_and_body_tell_requests_apart(self) -> None:
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
    """What nodes tell each other."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()
        _record_crashes(self.quarantine, _HARMFUL, ('a', 0), ('b', 1), ('c', 2))

    def test_another_node_decides_the_same(self) -> None:
        other = Quarantine()
        text = self._encode(_NOW + 3)
        # Another clock, and the same news twice.
        for _ in range(2):
            take_told(other, decode_told(text), 5000.0)
        other.judge(5000.0)
        self.assertAlmostEqual(
            other.find_held_until(_HARMFUL, 5000.0) - 5000.0,
            _HOLD_S - 1,
            places=2,
        )

    def test_news_that_goes_round_lengthens_nothing(self) -> None:
        """Symptom: a request is held back for ever.

        Sequence: two nodes tell each other by turns, each some time on its
        way. Cause: each took what it was told for a little longer than it was.
        """
        other = Quarantine()
        for number in range(50):
            now = _NOW + 3 + number
            take_told(other, decode_told(self._encode(now)), now + 0.2)
            record = other.get_record(_HARMFUL)
            assert record is not None
            back = encode_told([build_told(_HARMFUL, record, now + 0.2)])
            take_told(self.quarantine, decode_told(back), now + 0.4)
        self.quarantine.judge(_NOW + 60)
        until = self.quarantine.find_held_until(_HARMFUL, _NOW + 60)
        self.assertAlmostEqual(until, _NOW + 2 + _HOLD_S, places=2)

    def test_too_much_at_once_is_refused(self) -> None:
        record = self.quarantine.get_record(_HARMFUL)
        assert record is not None
        told = [build_told(_HARMFUL, record, _NOW)] * 65
        with self.assertRaises(UnreadableEvidenceError):
            decode_told(encode_told(told))

    @given(st.binary(max_size=200))
    def test_any_bytes_are_taken_or_refused(self, text: bytes) -> None:
        try:
            told = decode_told(text)
        except UnreadableEvidenceError:
            return
        take_told(self.quarantine, told, _NOW + 3)

    def test_spoiled_messages_condemn_nobody(self) -> None:
        text = self._encode(_NOW + 3)
        random = Random(1)  # noqa: S311
        for _ in range(2000):
            corrupted = bytearray(text)
            corrupted[random.randrange(len(text))] = random.randrange(256)
            other = Quarantine()
            try:
                take_told(other, decode_told(bytes(corrupted)), _NOW)
            except UnreadableEvidenceError:
                continue
            other.judge(_NOW + 1)
            self.assertEqual(other.find_held_until(_HARMLESS, _NOW + 1), 0)

    def _encode(self, now: float) -> bytes:
        record = self.quarantine.get_record(_HARMFUL)
        assert record is not None
        return encode_told([build_told(_HARMFUL, record, now)])
