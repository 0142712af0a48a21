"""Errors of calls to endpoints and of answers that are not whole."""

from __future__ import annotations


class EndpointError(Exception):
    """Base: a call to an endpoint did not bring a whole answer.

    `may_have_run` is false only if the endpoint surely never got the call.
    """

    may_have_run = True


class ConnectError(EndpointError):
    """No connection came about; nothing was sent."""

    may_have_run = False


class NobodyListensError(ConnectError):
    """The connection was refused: the process at that address has ended."""


class UnreachableError(ConnectError):
    """No answer to the connection came: the VM is gone, or the way to it."""


class NoConnectionLeftError(ConnectError):
    """This node has its share of the endpoint's connections in use."""


class HeldBackError(ConnectError):
    """The request was found to end endpoints before it was sent."""


class BrokenAnswerError(EndpointError):
    """The connection ended, or its bytes were no answer to this call."""


class SilentEndpointError(EndpointError):
    """No answer came before the deadline."""


class TooLargeError(EndpointError):
    """Another node does not pass on a change of this size."""


class DeafWatcherError(EndpointError):
    """A node that watches the store for others does not hear it now."""
