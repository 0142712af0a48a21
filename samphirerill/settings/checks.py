"""Validate documents and report all errors together, with their lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.schema import (
    CONFIGURATION_SCHEMA,
    SETTINGS_SCHEMA,
    Schema,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jsonschema.exceptions import ValidationError

    from samphirerill.settings.jsonc import ParsedDocument

_MAX_VALUE_CHARACTERS = 60


def check_configuration(document: Any) -> list[Finding]:
    """Return all errors in a configuration document.

    A document that matches the schema is also checked for references to
    undefined names, for models with layers that no endpoint serves, for
    routes without endpoints and for keys shared between accounts.
    """
    findings = _check_schema(document, CONFIGURATION_SCHEMA)
    if findings:
        return findings
    return [
        *_check_endpoints(document),
        *_check_routes(document),
        *_check_accounts(document),
    ]


def check_settings(document: Any) -> list[Finding]:
    """Return all errors in a settings document."""
    return _check_schema(document, SETTINGS_SCHEMA)


def check_document(parsed: ParsedDocument) -> None:
    """Check a settings or configuration file.

    A document with ``node`` or ``store`` is checked as settings.

    Raises
    ------
    InvalidDocumentError
        The document has errors; the exception lists all of them.
    """
    is_settings = isinstance(parsed.document, dict) and (
        'node' in parsed.document or 'store' in parsed.document
    )
    check = check_settings if is_settings else check_configuration
    findings = [
        Finding(
            finding.pointer, parsed.find_line(finding.pointer), finding.message
        )
        for finding in check(parsed.document)
    ]
    if findings:
        raise InvalidDocumentError(parsed.source, findings)


def _check_schema(document: Any, schema: Schema) -> list[Finding]:
    # Imported lazily: platform nodes do not validate files, and importing
    # jsonschema would delay their start.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(document)
    findings = [_build_finding(error) for error in errors]
    return sorted(findings, key=lambda finding: finding.pointer)


def _build_finding(error: ValidationError) -> Finding:
    pointer = ''.join(
        f'/{_escape_pointer_part(part)}' for part in error.absolute_path
    )
    return Finding(pointer, 0, _format_message(error))


def _format_message(error: Any) -> str:
    """Describe a schema violation by the actual and expected values."""
    got = _truncate(repr(error.instance))
    rule, rule_value = error.validator, error.validator_value
    if rule == 'additionalProperties' and rule_value is False:
        return _format_unknown_keys(error)
    if rule == 'required':
        return f'{error.message}; add it'
    description = error.schema.get('description', '')
    expected = {
        'type': f'{description or "a value"} of type {rule_value}',
        'enum': f'one of {rule_value}',
        'pattern': description or rule_value,
    }.get(rule, f'{rule} {rule_value} {description}'.rstrip())
    return f'got {got}, expected {expected}'


def _format_unknown_keys(error: Any) -> str:
    properties = set(error.schema['properties'])
    known_keys = ', '.join(sorted(properties))
    unknown_keys = ', '.join(sorted(set(error.instance) - properties))
    return f'got unknown {unknown_keys}, expected only {known_keys}'


def _truncate(text: str) -> str:
    return (
        f'{text[:_MAX_VALUE_CHARACTERS]}…'
        if len(text) > _MAX_VALUE_CHARACTERS
        else text
    )


def _check_endpoints(document: Any) -> Iterator[Finding]:
    models = document.get('models', {})
    for name, endpoint in document.get('endpoints', {}).items():
        pointer = f'/endpoints/{_escape_pointer_part(name)}'
        if endpoint['kind'] != 'engine':
            continue
        if endpoint.get('model') not in models:
            got = endpoint.get('model')
            message = f'got model {got!r}, expected one of {sorted(models)}'
            yield Finding(pointer, 0, message)
            continue
        layer_count = models[endpoint['model']]['layers']
        first, last = endpoint.get('layers', (0, -1))
        if not first <= last < layer_count:
            message = (
                f'got layers {[first, last]}, expected a range inside '
                f'[0, {layer_count - 1}]'
            )
            yield Finding(f'{pointer}/layers', 0, message)


def _check_routes(document: Any) -> Iterator[Finding]:
    endpoints = document.get('endpoints', {})
    for name, route in document.get('routes', {}).items():
        pointer = f'/routes/{_escape_pointer_part(name)}'
        if route['kind'] == 'model':
            yield from _check_model_route(document, pointer, route)
            continue
        if not route.get('endpoints'):
            yield Finding(pointer, 0, 'got no endpoints, expected at least one')
        for target in route.get('endpoints', ()):
            kind = endpoints.get(target, {}).get('kind')
            if kind != 'service':
                message = f'got endpoint {target!r}, expected a plain service'
                yield Finding(f'{pointer}/endpoints', 0, message)


def _check_model_route(
    document: Any, pointer: str, route: Any
) -> Iterator[Finding]:
    models = document.get('models', {})
    model = route.get('model')
    if model not in models:
        message = f'got model {model!r}, expected one of {sorted(models)}'
        yield Finding(pointer, 0, message)
        return
    layer_ranges = [
        endpoint.get('layers', (0, -1))
        for endpoint in document.get('endpoints', {}).values()
        if endpoint.get('model') == model
    ]
    missing = _find_uncovered_layer(layer_ranges, models[model]['layers'])
    if missing >= 0:
        message = (
            f'got no endpoint that holds layer {missing} of {model!r}, '
            'expected every layer to be held'
        )
        yield Finding(pointer, 0, message)


def _find_uncovered_layer(layer_ranges: list[Any], layer_count: int) -> int:
    """Return the first layer that no range covers, or -1."""
    next_layer = 0
    for first, last in sorted(layer_ranges):
        if first > next_layer:
            break
        next_layer = max(next_layer, last + 1)
    return next_layer if next_layer < layer_count else -1


def _check_accounts(document: Any) -> Iterator[Finding]:
    routes = document.get('routes', {})
    owners: dict[str, str] = {}
    for name, account in document.get('accounts', {}).items():
        pointer = f'/accounts/{_escape_pointer_part(name)}'
        for target in account['routes']:
            if target not in routes:
                message = f'got route {target!r}, expected one of the routes'
                yield Finding(f'{pointer}/routes', 0, message)
        for digest in account['keys']:
            if owners.setdefault(digest, name) != name:
                message = (
                    f'got a key that {owners[digest]!r} has too, expected '
                    'each key in one account'
                )
                yield Finding(f'{pointer}/keys', 0, message)


def _escape_pointer_part(part: Any) -> str:
    return str(part).replace('~', '~0').replace('/', '~1')
