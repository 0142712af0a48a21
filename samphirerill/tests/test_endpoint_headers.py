"""What endpoints say of themselves in the headers of their answers."""

from __future__ import annotations

import time
from email.utils import formatdate
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.backends.endpoint_call import EndpointCall
from samphirerill.backends.endpoint_headers import parse_retry_after_s
from samphirerill.backends.engine_call import EngineCall
from samphirerill.backends.service_call import ServiceCall
from samphirerill.core.commands import OpenAttempt, Stage
from samphirerill.core.endpoint_events import (
    EndpointLeaving,
    EndpointRequestedBackOff,
    RetryAfterIgnored,
)
from samphirerill.core.events import (
    AttemptFailed,
    AttemptRefused,
    ServiceAnswered,
)

_STAGE = Stage('e0', '10.0.0.0:1', 0, 5)
_OPENED = OpenAttempt('a1', 'r1', 0, (_STAGE,), 0, is_service=False)
_BACK_OFF = (
    b'HTTP/1.1 503 Busy\r\nRetry-After: 2.5\r\nContent-Length: %d\r\n\r\n%b'
)
_TRAILERS = (
    b'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nno\r\n0\r\nRetry-After: 9\r\nServer-Leaving: 1\r\n\r\n'
)
_LEAVING = (
    b'HTTP/1.1 %d Status\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
)
_UNFRAMED = b'HTTP/1.1 %d Status\r\n\r\n'
_NOT_RUN = b'{"ran": false}'


class TestRetryAfter(TestCase):
    """Values of ``Retry-After``."""

    def test_valid_values(self) -> None:
        expected = {'3': 3.0, ' 0.25 ': 0.25, '0': 0.0, '9' * 20: 1e20}
        for text, seconds in expected.items():
            self.assertEqual(parse_retry_after_s(text), seconds, text)

    def test_dates(self) -> None:
        """A past date asks for no back-off."""
        date = formatdate(time.time() + 30, usegmt=True)
        self.assertAlmostEqual(parse_retry_after_s(date) or 0, 30, delta=2)
        date = formatdate(time.time() - 30, usegmt=True)
        self.assertEqual(parse_retry_after_s(date), 0)

    def test_invalid_values(self) -> None:
        """Guards against errors in the loop by what a header says."""
        invalid = (
            *('', 'soon', '-1', '+1', 'nan', 'inf', '1e9', '1,5', '.5', '5.'),
            *('٣', '1_000', '0x10', '9' * 5000, 'Mon, 99 Foo 0 :', '\x00', ','),
            *('Fri, 31 Dec 99999 00:00:00 GMT', '1 2 3 4 5', '::::', 'Mon,'),
        )
        for text in invalid:
            self.assertIsNone(parse_retry_after_s(text), text)


class _Transport:
    """Ignores what is written."""

    def write(self, payload: bytes) -> None:
        """Ignore a payload."""

    def abort(self) -> None:
        """Ignore the end."""


class CallsCase(IsolatedAsyncioTestCase):
    """Calls whose answers are fed by hand."""

    def setUp(self) -> None:
        self.events: list[object] = []

    def apply(self, event: object) -> None:
        self.events.append(event)

    def receive(self, call: EndpointCall, *answers: bytes) -> list[type]:
        """Feed answers to a call; return the types of its events."""
        call.connection_made(_Transport())  # type: ignore[arg-type]
        for answer in answers:
            call.data_received(answer)
        return [type(event) for event in self.events]

    def build_service_call(self) -> ServiceCall:
        return ServiceCall('a1', _STAGE, b'', self)

    def build_engine_call(self) -> EngineCall:
        return EngineCall(_OPENED, b'', self)


class TestCalls(CallsCase):
    """Which answers count."""

    async def test_back_off_comes_before_the_outcome(self) -> None:
        """Guards against a retry that is placed before the rest is known."""
        answer = _BACK_OFF % (len(_NOT_RUN), _NOT_RUN)
        kinds = self.receive(self.build_engine_call(), answer)
        back_off_at = kinds.index(EndpointRequestedBackOff)
        self.assertLess(back_off_at, kinds.index(AttemptRefused))
        event = self.events[back_off_at]
        assert isinstance(event, EndpointRequestedBackOff)
        self.assertEqual((event.endpoint, event.received), ('e0', '2.5'))

    async def test_ambiguous_answer_shows_a_living_endpoint(self) -> None:
        """Guards against a probe of an endpoint that has just answered."""
        self.receive(self.build_engine_call(), _BACK_OFF % (0, b''))
        failed = self.events[-1]
        assert isinstance(failed, AttemptFailed)
        self.assertTrue(failed.is_alive)

    async def test_second_answer_counts_for_nothing(self) -> None:
        """Guards against an answer that belongs to no attempt."""
        first = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        for parts in (
            (first, _BACK_OFF % (0, b'')),
            (first + _BACK_OFF % (0, b''),),
        ):
            self.events.clear()
            kinds = self.receive(self.build_service_call(), *parts)
            self.assertNotIn(EndpointRequestedBackOff, kinds)

    async def test_interim_answer_is_not_the_answer(self) -> None:
        """Guards against an interim answer that is passed on as the final one."""
        interim = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        final = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
        for parts in ((interim, final), (interim + interim + final,)):
            self.events.clear()
            call = self.build_service_call()
            kinds = self.receive(call, *parts)
            self.assertEqual(kinds.count(ServiceAnswered), 1)
            self.assertEqual((call.status, call.body), (200, b'whole'))
            self.assertEqual(call.list_end_to_end_headers(), [])

    async def test_trailers_count_for_nothing(self) -> None:
        """Guards against trailers that are read as headers."""
        kinds = self.receive(self.build_service_call(), _TRAILERS)
        self.assertNotIn(EndpointRequestedBackOff, kinds)
        self.assertNotIn(EndpointLeaving, kinds)

    async def test_cancelled_call_says_nothing(self) -> None:
        """Guards against events of a call that the core has closed."""
        call = self.build_service_call()
        call.close()
        self.assertEqual(self.receive(call, _BACK_OFF % (0, b'')), [])

    async def test_any_answer_says_that_its_process_leaves(self) -> None:
        """Guards against reading the header of refusals only."""
        for status in (200, 204, 404, 500, 503):
            self.events.clear()
            answer = _LEAVING % status
            kinds = self.receive(self.build_service_call(), answer)
            self.assertLess(
                kinds.index(EndpointLeaving), kinds.index(ServiceAnswered)
            )

    async def test_other_values_say_nothing(self) -> None:
        """Guards against a header that denies it."""
        for text in (b'0', b'', b'no', b'11'):
            self.events.clear()
            answer = (_LEAVING % 200).replace(b': 1', b': %b' % text)
            kinds = self.receive(self.build_service_call(), answer)
            self.assertNotIn(EndpointLeaving, kinds)

    async def test_only_refusals_request_back_off(self) -> None:
        """Guards against a back-off by a redirect or a success."""
        answer = (_BACK_OFF % (0, b'')).replace(b'503', b'200')
        kinds = self.receive(self.build_service_call(), answer)
        self.assertNotIn(EndpointRequestedBackOff, kinds)

    async def test_long_invalid_value_is_cut(self) -> None:
        """Guards against long lines in the log."""
        answer = (_BACK_OFF % (0, b'')).replace(b'2.5', b'x' * 5000)
        self.receive(self.build_service_call(), answer)
        ignored = self.events[1]
        assert isinstance(ignored, RetryAfterIgnored)
        self.assertEqual(ignored.received, 'x' * 40)


class TestUnframedAnswers(CallsCase):
    """Answers without a length or chunks, which end with their connection."""

    def end(self, call: EndpointCall, exc: Exception | None) -> type:
        """End the connection of a call; return the type of its outcome."""
        if exc is None:
            call.eof_received()
        call.connection_lost(exc)
        outcomes = (ServiceAnswered, AttemptRefused, AttemptFailed)
        kinds = [type(event) for event in self.events]
        return next(kind for kind in kinds if kind in outcomes)

    async def test_orderly_end_completes_a_plain_answer(self) -> None:
        """Guards against a complete answer that counts as failed."""
        call = self.build_service_call()
        self.receive(call, _UNFRAMED % 200, b'whole')
        self.assertIs(self.end(call, None), ServiceAnswered)
        self.assertEqual(call.body, b'whole')

    async def test_reset_completes_nothing(self) -> None:
        """Guards against a truncated answer that counts as complete."""
        call = self.build_service_call()
        self.receive(call, _UNFRAMED % 200, b'ha')
        self.assertIs(self.end(call, ConnectionResetError()), AttemptFailed)

    async def test_short_body_is_not_complete(self) -> None:
        """Guards against an end that counts for more than the length."""
        call = self.build_service_call()
        self.receive(call, b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha')
        self.assertIs(self.end(call, None), AttemptFailed)

    async def test_orderly_end_completes_a_rejection(self) -> None:
        call = self.build_engine_call()
        self.receive(call, _UNFRAMED % 503, _NOT_RUN)
        self.assertIs(self.end(call, None), AttemptRefused)

    async def test_orderly_end_completes_no_stream(self) -> None:
        """Guards against a stream that ends without its last token."""
        call = self.build_engine_call()
        self.receive(call, _UNFRAMED % 200)
        self.assertIs(self.end(call, None), AttemptFailed)
