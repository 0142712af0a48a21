"""Requests that end the endpoints that run them: found, and not run any more."""

from samphirerill.quarantine.book import News, Quarantine
from samphirerill.quarantine.identity import digest_request
from samphirerill.quarantine.records import Death, Record

__all__ = ('Death', 'News', 'Quarantine', 'Record', 'digest_request')
