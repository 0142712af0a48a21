"""JSON schemas of configuration documents and settings files."""

from __future__ import annotations

from typing import Any

Schema = dict[str, Any]

_NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
_ADDRESS_PATTERN = r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$'
_STRING = {'type': 'string'}
_DIGEST_PATTERN = '^sha256:[0-9a-f]{64}$'


def _matching_string(pattern: str, description: str) -> Schema:
    return {**_STRING, 'pattern': pattern, 'description': description}


def _number(
    minimum: float, description: str, json_type: str = 'number'
) -> Schema:
    return {'type': json_type, 'minimum': minimum, 'description': description}


def _object(members: Schema, required: tuple[str, ...] = ()) -> Schema:
    return {
        'type': 'object',
        'properties': members,
        'required': list(required),
        'additionalProperties': False,
    }


def _mapping_by_name(member: Schema) -> Schema:
    return {
        'type': 'object',
        'propertyNames': _matching_string(
            _NAME_PATTERN, 'a name in lower case'
        ),
        'additionalProperties': member,
    }


_PRIORITY = {'enum': ['high', 'normal']}
_ADDRESS = _matching_string(_ADDRESS_PATTERN, 'an IP address and port')
_PORT = {'type': 'integer', 'minimum': 0, 'maximum': 65_535}
_KEY_DIGESTS = {
    'type': 'array',
    'items': _matching_string(
        _DIGEST_PATTERN, 'sha256: and 64 hexadecimal digits'
    ),
    'minItems': 1,
}

_MODEL = _object({'layers': _number(1, 'layers', 'integer')}, ('layers',))

_DESIRED_STATE = _object(
    {
        'version': _STRING,
        'adapters': {'type': 'array', 'items': _STRING},
        'role': {'enum': ['', 'prefill', 'decode', 'both']},
    }
)

_ENDPOINT = _object(
    {
        'kind': {'enum': ['engine', 'service']},
        'address': _ADDRESS,
        'data_centre': _matching_string(_NAME_PATTERN, 'a name in lower case'),
        'model': _STRING,
        'layers': {
            'type': 'array',
            'items': _number(0, 'a layer', 'integer'),
            'minItems': 2,
            'maxItems': 2,
        },
        'slots': _number(1, 'requests at once', 'integer'),
        'layer_ms': _number(0, 'milliseconds'),
        'accelerator': _STRING,
        'checks_fencing': {'type': 'boolean'},
        'desired': _DESIRED_STATE,
    },
    ('kind', 'address', 'data_centre'),
)

_ROUTE = _object(
    {
        'kind': {'enum': ['model', 'service']},
        'model': _STRING,
        'endpoints': {
            'type': 'array',
            'items': _STRING,
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
        'keys': _KEY_DIGESTS,
        'routes': {'type': 'array', 'items': _STRING},
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

CONFIGURATION_SCHEMA: Schema = _object(
    {
        'models': _mapping_by_name(_MODEL),
        'endpoints': _mapping_by_name(_ENDPOINT),
        'routes': _mapping_by_name(_ROUTE),
        'accounts': _mapping_by_name(_ACCOUNT),
        'links': {
            'type': 'object',
            'propertyNames': _matching_string(
                '^[a-z0-9._-]+/[a-z0-9._-]+$', 'two data centres, as in a/b'
            ),
            'additionalProperties': _number(0, 'milliseconds one way'),
        },
        'limits': _LIMITS,
    }
)

SETTINGS_SCHEMA: Schema = _object(
    {
        'node': _object(
            {
                'name': _matching_string(_NAME_PATTERN, 'a name in lower case'),
                'data_centre': _matching_string(
                    _NAME_PATTERN, 'a name in lower case'
                ),
            },
            ('name', 'data_centre'),
        ),
        'callers': _object(
            {
                'host': _STRING,
                'port': _PORT,
                'threads': _number(1, 'threads', 'integer'),
                'max_body_bytes': _number(1, 'bytes', 'integer'),
                'read_timeout_s': _number(0.1, 'seconds'),
                'max_connections': _number(0, 'connections', 'integer'),
            },
            ('host', 'port'),
        ),
        'operators': _object(
            {
                'host': _STRING,
                'port': _PORT,
                'key_digests': _KEY_DIGESTS,
            },
            ('host', 'port', 'key_digests'),
        ),
        'peers': _object(
            {
                'host': _STRING,
                'port': _PORT,
                'seeds': {'type': 'array', 'items': _ADDRESS},
            },
            ('host', 'port'),
        ),
        'store': _object(
            {
                'addresses': {
                    'type': 'array',
                    'items': _ADDRESS,
                    'minItems': 1,
                },
                'prefix': {'type': 'string', 'pattern': '^/.*/$'},
                'call_timeout_s': _number(0.05, 'seconds'),
                'lease_s': _number(2, 'seconds', 'integer'),
            },
            ('addresses',),
        ),
        'vm_list': _object(
            {'address': _ADDRESS, 'every_s': _number(0.05, 'seconds')},
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
