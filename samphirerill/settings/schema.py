"""What a configuration and a settings file may hold, as JSON Schema."""

from __future__ import annotations

from typing import Any

Schema = dict[str, Any]

_NAME = '^[a-z0-9][a-z0-9._-]{0,62}$'
_ADDRESS = r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$'
_ANY_TEXT = {'type': 'string'}
_DIGEST = '^sha256:[0-9a-f]{64}$'


def _text(pattern: str, meaning: str) -> Schema:
    return {**_ANY_TEXT, 'pattern': pattern, 'description': meaning}


def _number(least: float, meaning: str, kind: str = 'number') -> Schema:
    return {'type': kind, 'minimum': least, 'description': meaning}


def _object(members: Schema, required: tuple[str, ...] = ()) -> Schema:
    return {
        'type': 'object',
        'properties': members,
        'required': list(required),
        'additionalProperties': False,
    }


def _by_name(member: Schema) -> Schema:
    return {
        'type': 'object',
        'propertyNames': _text(_NAME, 'a name in lower case'),
        'additionalProperties': member,
    }


_PRIORITY = {'enum': ['high', 'normal']}
_ADDRESS_TEXT = _text(_ADDRESS, 'an IP address and port')
_PORT = {'type': 'integer', 'minimum': 0, 'maximum': 65_535}
_DIGESTS = {
    'type': 'array',
    'items': _text(_DIGEST, 'sha256: and 64 hexadecimal digits'),
    'minItems': 1,
}

_MODEL = _object({'layers': _number(1, 'layers', 'integer')}, ('layers',))

_DESIRED = _object(
    {
        'version': _ANY_TEXT,
        'adapters': {'type': 'array', 'items': _ANY_TEXT},
        'role': {'enum': ['', 'prefill', 'decode', 'both']},
    }
)

_ENDPOINT = _object(
    {
        'kind': {'enum': ['engine', 'service']},
        'address': _ADDRESS_TEXT,
        'data_centre': _text(_NAME, 'a name in lower case'),
        'model': _ANY_TEXT,
        'layers': {
            'type': 'array',
            'items': _number(0, 'a layer', 'integer'),
            'minItems': 2,
            'maxItems': 2,
        },
        'slots': _number(1, 'requests at once', 'integer'),
        'layer_ms': _number(0, 'milliseconds'),
        'accelerator': _ANY_TEXT,
        'checks_fencing': {'type': 'boolean'},
        'desired': _DESIRED,
    },
    ('kind', 'address', 'data_centre'),
)

_ROUTE = _object(
    {
        'kind': {'enum': ['model', 'service']},
        'model': _ANY_TEXT,
        'endpoints': {
            'type': 'array',
            'items': _ANY_TEXT,
            'minItems': 1,
        },
        'priority': _PRIORITY,
        'idempotent': {'type': 'boolean'},
        'timeout_s': _number(0.001, 'seconds'),
        'queue_timeout_s': _number(0, 'seconds'),
    },
    ('kind',),
)

_ACCOUNT = _object(
    {
        'keys': _DIGESTS,
        'routes': {'type': 'array', 'items': _ANY_TEXT},
        'weight': {'type': 'number', 'exclusiveMinimum': 0},
        'max_concurrent': _number(0, 'requests at once', 'integer'),
        'priority': _PRIORITY,
    },
    ('keys', 'routes'),
)

_LIMITS = _object(
    {
        'progress_timeout_s': _number(0.01, 'seconds'),
        'answer_timeout_s': _number(0.01, 'seconds'),
        'first_token_timeout_s': _number(0.01, 'seconds'),
        'service_timeout_s': _number(0.01, 'seconds'),
        'max_attempts': _number(1, 'attempts', 'integer'),
        'retry_ratio': _number(0, 'retries for each request'),
        'retry_burst': _number(0, 'retries'),
        'max_queue': _number(1, 'requests', 'integer'),
        'loads_at_once': _number(1, 'engines', 'integer'),
    }
)

CONFIGURATION: Schema = _object(
    {
        'models': _by_name(_MODEL),
        'endpoints': _by_name(_ENDPOINT),
        'routes': _by_name(_ROUTE),
        'accounts': _by_name(_ACCOUNT),
        'links': {
            'type': 'object',
            'propertyNames': _text(
                '^[a-z0-9._-]+/[a-z0-9._-]+$', 'two data centres, as in a/b'
            ),
            'additionalProperties': _number(0, 'milliseconds one way'),
        },
        'limits': _LIMITS,
    }
)

SETTINGS: Schema = _object(
    {
        'node': _object(
            {
                'name': _text(_NAME, 'a name in lower case'),
                'data_centre': _text(_NAME, 'a name in lower case'),
            },
            ('name', 'data_centre'),
        ),
        'callers': _object(
            {
                'host': _ANY_TEXT,
                'port': _PORT,
                'threads': _number(1, 'threads', 'integer'),
                'max_body_bytes': _number(1, 'bytes', 'integer'),
                'read_timeout_s': _number(0.1, 'seconds'),
            },
            ('host', 'port'),
        ),
        'operators': _object(
            {
                'host': _ANY_TEXT,
                'port': _PORT,
                'key_digests': _DIGESTS,
            },
            ('host', 'port', 'key_digests'),
        ),
        'peers': _object(
            {
                'host': _ANY_TEXT,
                'port': _PORT,
                'seeds': {'type': 'array', 'items': _ADDRESS_TEXT},
            },
            ('host', 'port'),
        ),
        'store': _object(
            {
                'addresses': {
                    'type': 'array',
                    'items': _ADDRESS_TEXT,
                    'minItems': 1,
                },
                'prefix': {'type': 'string', 'pattern': '^/.*/$'},
                'call_timeout_s': _number(0.05, 'seconds'),
                'lease_s': _number(2, 'seconds', 'integer'),
            },
            ('addresses',),
        ),
        'vm_list': _object(
            {'address': _ADDRESS_TEXT, 'every_s': _number(0.05, 'seconds')},
            ('address',),
        ),
        'log': _object(
            {
                'level': {'enum': ['debug', 'info', 'warning', 'error']},
                'form': {'enum': ['text', 'json']},
            }
        ),
        'shutdown': _object(
            {
                'notice_s': _number(0, 'seconds'),
                'finish_s': _number(0, 'seconds'),
            }
        ),
    },
    ('node', 'callers', 'operators', 'store'),
)
