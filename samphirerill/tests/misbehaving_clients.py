"""What clients send that don't keep to the protocol, for tests of nodes."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import chain, repeat
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_MB = 1_048_576
# The smallest VM that nodes run on.
MAX_MEMORY_MB = 160
# A process may have 400 in these tests, of which 200 are reserved for files.
MAX_DESCRIPTORS = 200
_CROWD = 64
_SMALL_CROWD = 16
_IDLE_CROWD = 250
# Of as many clients, one completes its request.
_COMPLETE_ONE_IN = 8
_BLOCK = b'x' * 65_536
_FIELDS = b'x-field: 1\r\n' * 5461
# Chunks count towards the limit on bodies with their framing.
_CHUNKING_BYTES = 4096
_SMALL_CHUNKS_BODY = 524_288
# What a client sends in total of what has no end.
_ENDLESS_BYTES = 8 * _MB


@dataclass(slots=True, frozen=True)
class RequestShape:
    """The request that a crowd sends.

    Attributes
    ----------
    head : bytes
        Request line and headers, without framing and without the last line.
    body_start, body_end : bytes
        What a valid body has before and after a text of any length.
    max_body_bytes : int
        The largest legal body.
    """

    head: bytes
    body_start: bytes
    body_end: bytes
    max_body_bytes: int

    @property
    def chunked_head(self) -> bytes:
        """The complete head of a chunked request."""
        return self.head + b'transfer-encoding: chunked\r\n\r\n'

    @property
    def sized_head(self) -> bytes:
        """The complete head of a request with a length."""
        return self.head + b'content-length: %d\r\n\r\n' % self.max_body_bytes

    def build_body(self, size: int) -> bytes:
        """Return a valid body of a size."""
        padding = size - len(self.body_start) - len(self.body_end)
        return self.body_start + b'x' * padding + self.body_end


def send_large_chunks(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Chunked bodies of legal size; most stop before the last chunk."""
    body = shape.build_body(shape.max_body_bytes - _CHUNKING_BYTES)
    blocks = [_build_chunk(piece) for piece in _split(body, len(_BLOCK))]
    for number in range(_CROWD):
        end = b'' if number % _COMPLETE_ONE_IN else b'0\r\n\r\n'
        yield chain([shape.chunked_head], blocks, [end])


def send_small_chunks(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Chunked bodies in chunks of two bytes; most stop before the last one."""
    body = shape.build_body(_SMALL_CHUNKS_BODY)
    chunks = [_build_chunk(piece) for piece in _split(body, 2)]
    blocks = list(_split(b''.join(chunks), len(_BLOCK)))
    for number in range(_SMALL_CROWD):
        end = b'' if number % _COMPLETE_ONE_IN else b'0\r\n\r\n'
        yield chain([shape.chunked_head], blocks, [end])


def send_whole_bodies(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Bodies of the largest legal size at once; most lack their last byte."""
    whole = shape.sized_head + shape.build_body(shape.max_body_bytes)
    for number in range(_CROWD):
        yield [whole[:-1] if number % _COMPLETE_ONE_IN else whole]


def send_bodies_in_pieces(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Bodies of the largest legal size by pieces; most lack the last byte."""
    whole = shape.sized_head + shape.build_body(shape.max_body_bytes)
    pieces = list(_split(whole, len(_BLOCK)))
    for number in range(_CROWD):
        is_complete = number % _COMPLETE_ONE_IN == 0
        last = pieces[-1] if is_complete else pieces[-1][:-1]
        yield [*pieces[:-1], last]


def send_large_heads(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Heads over the limit that stop before their last line."""
    yield from repeat([shape.head, _FIELDS], _CROWD)


def send_endless_fields(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Heads with header fields without end."""
    yield from _repeat_endlessly(shape.head, _FIELDS)


def send_endless_line(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Heads with one header field without end."""
    yield from _repeat_endlessly(shape.head + b'x-field: ', _BLOCK)


def send_endless_name(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Heads with the name of a header field without end."""
    yield from _repeat_endlessly(shape.head, _BLOCK)


def send_endless_target(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Request lines without end."""
    yield from _repeat_endlessly(b'POST /', _BLOCK)


def send_empty_lines(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Empty lines without end before a request."""
    yield from _repeat_endlessly(b'', b'\r\n' * 32_768)


def send_endless_trailer(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Chunked bodies with a trailer without end."""
    yield from _repeat_endlessly(
        shape.chunked_head + b'1\r\nx\r\n0\r\nx-field: ', _BLOCK
    )


def send_endless_extension(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """Chunked bodies with a chunk extension without end."""
    yield from _repeat_endlessly(shape.chunked_head + b'1;', _BLOCK)


def send_begun_requests(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """More connections than descriptors, each with the begin of a request."""
    yield from repeat([shape.head], _IDLE_CROWD)


def send_begun_heads(shape: RequestShape) -> Iterator[Iterable[bytes]]:
    """The begin of a header field."""
    yield from repeat([shape.head + b'x-field: '], _CROWD)


def read_peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has had, in MiB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024
    raise ValueError(f'got no peak of the memory of process {pid}')


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def _build_chunk(piece: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def _split(text: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(text), size):
        yield text[start : start + size]


def _repeat_endlessly(first: bytes, block: bytes) -> Iterator[Iterable[bytes]]:
    count = _ENDLESS_BYTES // len(block)
    for _ in range(_CROWD):
        yield chain([first], repeat(block, count))
