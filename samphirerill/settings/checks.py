"""Check documents and name every error at once, each with its line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.schema import CONFIGURATION, SETTINGS, Schema

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jsonschema.exceptions import ValidationError

    from samphirerill.settings.jsonc import Parsed

_SHOWN = 60


def check_configuration(document: Any) -> list[Finding]:
    """Return everything that is wrong with a configuration document.

    Beside the schema, references have to lead somewhere, every model has to
    be covered layer by layer, and no route may be without endpoints.
    """
    findings = _check_schema(document, CONFIGURATION)
    if findings:
        return findings
    return [
        *_check_endpoints(document),
        *_check_routes(document),
        *_check_accounts(document),
    ]


def check_settings(document: Any) -> list[Finding]:
    """Return everything that is wrong with a settings document."""
    return _check_schema(document, SETTINGS)


def check_parsed(parsed: Parsed) -> None:
    """Check a file: settings if it has a ``node``, else a configuration.

    Raises
    ------
    InvalidDocumentError
        The document has errors; it lists every one with its line.
    """
    is_settings = isinstance(parsed.document, dict) and (
        'node' in parsed.document or 'store' in parsed.document
    )
    check = check_settings if is_settings else check_configuration
    findings = [
        Finding(found.place, parsed.find_line(found.place), found.message)
        for found in check(parsed.document)
    ]
    if findings:
        raise InvalidDocumentError(parsed.source, findings)


def _check_schema(document: Any, schema: Schema) -> list[Finding]:
    # Nodes on the platform check no such file, and start without it.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(document)
    findings = [_explain(error) for error in errors]
    return sorted(findings, key=lambda found: found.place)


def _explain(error: ValidationError) -> Finding:
    place = ''.join(f'/{_escape(part)}' for part in error.absolute_path)
    return Finding(place, 0, _phrase(error))


def _phrase(error: Any) -> str:
    """Say what was got and what was expected, whatever the rule."""
    got = _shorten(repr(error.instance))
    rule, wanted = error.validator, error.validator_value
    if rule == 'additionalProperties' and wanted is False:
        return _phrase_unknown(error)
    if rule == 'required':
        return f'{error.message}; add it'
    meaning = error.schema.get('description', '')
    expected = {
        'type': f'{meaning or "a value"} of type {wanted}',
        'enum': f'one of {wanted}',
        'pattern': meaning or wanted,
    }.get(rule, f'{rule} {wanted} {meaning}'.rstrip())
    return f'got {got}, expected {expected}'


def _phrase_unknown(error: Any) -> str:
    properties = set(error.schema['properties'])
    known = ', '.join(sorted(properties))
    extra = ', '.join(sorted(set(error.instance) - properties))
    return f'got unknown {extra}, expected only {known}'


def _shorten(text: str) -> str:
    return f'{text[:_SHOWN]}…' if len(text) > _SHOWN else text


def _check_endpoints(document: Any) -> Iterator[Finding]:
    models = document.get('models', {})
    for name, endpoint in document.get('endpoints', {}).items():
        place = f'/endpoints/{_escape(name)}'
        if endpoint['kind'] != 'engine':
            continue
        if endpoint.get('model') not in models:
            got = endpoint.get('model')
            message = f'got model {got!r}, expected one of {sorted(models)}'
            yield Finding(place, 0, message)
            continue
        layers = models[endpoint['model']]['layers']
        first, last = endpoint.get('layers', (0, -1))
        if not first <= last < layers:
            message = (
                f'got layers {[first, last]}, expected a range inside '
                f'[0, {layers - 1}]'
            )
            yield Finding(f'{place}/layers', 0, message)


def _check_routes(document: Any) -> Iterator[Finding]:
    endpoints = document.get('endpoints', {})
    for name, route in document.get('routes', {}).items():
        place = f'/routes/{_escape(name)}'
        if route['kind'] == 'model':
            yield from _check_model_route(document, place, route)
            continue
        if not route.get('endpoints'):
            yield Finding(place, 0, 'got no endpoints, expected at least one')
        for target in route.get('endpoints', ()):
            kind = endpoints.get(target, {}).get('kind')
            if kind != 'service':
                message = f'got endpoint {target!r}, expected a plain service'
                yield Finding(f'{place}/endpoints', 0, message)


def _check_model_route(
    document: Any, place: str, route: Any
) -> Iterator[Finding]:
    models = document.get('models', {})
    wanted = route.get('model')
    if wanted not in models:
        message = f'got model {wanted!r}, expected one of {sorted(models)}'
        yield Finding(place, 0, message)
        return
    held = [
        endpoint.get('layers', (0, -1))
        for endpoint in document.get('endpoints', {}).values()
        if endpoint.get('model') == wanted
    ]
    missing = _find_uncovered(held, models[wanted]['layers'])
    if missing >= 0:
        message = (
            f'got no endpoint that holds layer {missing} of {wanted!r}, '
            'expected every layer to be held'
        )
        yield Finding(place, 0, message)


def _find_uncovered(held: list[Any], layers: int) -> int:
    """Return the first layer nobody holds, or -1."""
    position = 0
    for first, last in sorted(held):
        if first > position:
            break
        position = max(position, last + 1)
    return position if position < layers else -1


def _check_accounts(document: Any) -> Iterator[Finding]:
    routes = document.get('routes', {})
    owners: dict[str, str] = {}
    for name, account in document.get('accounts', {}).items():
        place = f'/accounts/{_escape(name)}'
        for target in account['routes']:
            if target not in routes:
                message = f'got route {target!r}, expected one of the routes'
                yield Finding(f'{place}/routes', 0, message)
        for digest in account['keys']:
            if owners.setdefault(digest, name) != name:
                message = (
                    f'got a key that {owners[digest]!r} has too, expected '
                    'each key in one account'
                )
                yield Finding(f'{place}/keys', 0, message)


def _escape(part: Any) -> str:
    return str(part).replace('~', '~0').replace('/', '~1')
