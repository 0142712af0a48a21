"""Errors of calls to endpoints and to other nodes."""

from __future__ import annotations


class EndpointError(Exception):
    """Base class: a call returned no complete response.

    `may_have_run` is false only if the called process certainly did not get the
    request.
    """

    may_have_run = True


class ConnectError(EndpointError):
    """No connection could be established; nothing was sent."""

    may_have_run = False


class ConnectRefusedError(ConnectError):
    """The connection was refused: the process at that address has ended."""


class ConnectTimeoutError(ConnectError):
    """The connection timed out: the VM is down or cannot be reached."""


class PeerUnavailableError(ConnectError):
    """No other node could be asked to connect to the endpoint."""


class PeerPartitionedError(PeerUnavailableError):
    """The node that was asked reaches no endpoint itself."""


class UnconfirmedConnectError(ConnectError):
    """This node did not connect, and no other one could tell why.

    The endpoint may work, and the path to it may be broken.
    """


class ConnectionLimitError(ConnectError):
    """All connections that this node may open to the endpoint are in use."""


class SendWithheldError(ConnectError):
    """The endpoint wants no new work, as it said while connecting to it."""


class QuarantinedError(ConnectError):
    """The request was quarantined before it was sent."""


class BrokenResponseError(EndpointError):
    """The connection ended early or carried no valid response to the call."""


class ResponseTooLargeError(BrokenResponseError):
    """The response exceeds the memory that it may take up."""


class EndpointTimeoutError(EndpointError):
    """No response came before the deadline."""


class ChangeTooLargeError(EndpointError):
    """A watcher refuses to forward changes of this size."""


class WatchLostError(EndpointError):
    """A watcher is not connected to the store."""
