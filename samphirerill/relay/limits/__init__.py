"""Request rates that replicas name, and the permits that keep them."""

from samphirerill.relay.limits.exchange import PermitExchange
from samphirerill.relay.limits.known_limits import RequestLimits

__all__ = ('PermitExchange', 'RequestLimits')
