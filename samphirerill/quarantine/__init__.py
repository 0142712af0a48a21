"""Detection and quarantine of requests that crash the endpoints running them."""

from samphirerill.quarantine.book import News, Quarantine
from samphirerill.quarantine.identity import digest_request
from samphirerill.quarantine.records import Death, Record

__all__ = ('Death', 'News', 'Quarantine', 'Record', 'digest_request')
