"""The ``samphirerill`` command line."""

from __future__ import annotations

import argparse
import json
import os
import sys
from typing import TYPE_CHECKING, Any

from samphirerill.cli.operator_client import (
    RemoteError,
    add_remote_options,
    call_operator_api,
)
from samphirerill.settings.checks import check_document
from samphirerill.settings.errors import InvalidDocumentError
from samphirerill.settings.jsonc import read_jsonc
from samphirerill.settings.model import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        The arguments after the program name; by default those of the process.
    """
    options = build_parser().parse_args(arguments)
    command: Callable[[argparse.Namespace], int] = options.command
    try:
        return command(options)
    except InvalidDocumentError as exc:
        _print_error(str(exc))
        return EXIT_INVALID
    except BrokenPipeError:
        return EXIT_FAILED
    except (RemoteError, OSError) as exc:
        _print_error(str(exc))
        return EXIT_FAILED


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='samphirerill',
        description='Route language-model requests through pipelines of '
        'replicas on heterogeneous accelerators.',
        epilog='Commands that call a node read the operator key from the '
        'environment variable SAMPHIRERILL_OPERATOR_KEY.',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_serve(commands)
    _add_edge(commands)
    _add_check(commands)
    _add_config(commands)
    _add_state(commands)
    _add_drain(commands)
    _add_hash_key(commands)
    _add_bench(commands)
    _add_soak(commands)
    _add_lab(commands)
    _add_explain(commands)
    return parser


def _add_serve(commands: Any) -> None:
    serve = commands.add_parser('serve', help='run a node until it is drained')
    serve.add_argument(
        '--config', required=True, metavar='FILE', help='the settings file'
    )
    serve.set_defaults(command=_serve)


def _add_edge(commands: Any) -> None:
    edge = commands.add_parser(
        'edge',
        help="run an edge node on the users' platform until it is drained",
    )
    edge.add_argument(
        '--config',
        default='',
        metavar='FILE',
        help='the settings file (default: taken from the environment)',
    )
    edge.set_defaults(command=_run_edge)


def _add_check(commands: Any) -> None:
    check = commands.add_parser(
        'check',
        help='validate a settings, configuration or scenario file',
        description='Exit 0 if the file is valid; else print every error '
        'with its line, the actual and the expected value, and exit 2.',
    )
    check.add_argument('file', metavar='FILE')
    check.set_defaults(command=_check)


def _add_config(commands: Any) -> None:
    config = commands.add_parser(
        'config', help='show or change the configuration'
    )
    actions = config.add_subparsers(required=True, metavar='ACTION')
    show = actions.add_parser('show', help='print the active configuration')
    show.add_argument(
        '--nodes',
        action='store_true',
        help='print the active version on each node',
    )
    add_remote_options(show)
    show.set_defaults(command=_show_config)
    history = actions.add_parser('history', help='print the retained changes')
    add_remote_options(history)
    history.set_defaults(command=_show_history)
    patch = actions.add_parser(
        'patch',
        help='apply a JSON patch (RFC 6902) to a version',
        description='The patch is rejected if --base is not the current '
        'version.',
    )
    patch.add_argument(
        'file', metavar='FILE', help='a JSON list of patch operations'
    )
    patch.add_argument('--base', required=True, type=int, metavar='N')
    patch.add_argument('--dry-run', action='store_true')
    patch.add_argument('--author', default=os.environ.get('USER', 'operator'))
    add_remote_options(patch)
    patch.set_defaults(command=_patch_config)


def _add_state(commands: Any) -> None:
    state = commands.add_parser('state', help="print a node's state")
    state.add_argument(
        '--json', action='store_true', help='print the full state as JSON'
    )
    add_remote_options(state)
    state.set_defaults(command=_show_state)


def _add_drain(commands: Any) -> None:
    drain = commands.add_parser('drain', help='shut one node down gracefully')
    add_remote_options(drain)
    drain.set_defaults(command=_drain)


def _add_hash_key(commands: Any) -> None:
    hash_key = commands.add_parser(
        'hash-key', help='print the digest of a key read from standard input'
    )
    hash_key.set_defaults(command=_hash_key)


def _add_bench(commands: Any) -> None:
    from samphirerill.bench.command import add_bench_options

    bench = commands.add_parser('bench', help='run benchmarks on loopback')
    add_bench_options(bench)


def _add_soak(commands: Any) -> None:
    from samphirerill.testing.soak.command import add_soak_options

    soak = commands.add_parser(
        'soak', help='run nodes under injected faults and check invariants'
    )
    add_soak_options(soak)


def _add_lab(commands: Any) -> None:
    from samphirerill.emulator.lab import add_lab_options

    lab = commands.add_parser(
        'lab', help='simulate fleets and placement plans in an emulator'
    )
    add_lab_options(lab)


def _add_explain(commands: Any) -> None:
    from samphirerill.reports.explain import add_explain_options

    explain = commands.add_parser(
        'explain',
        help="find the causes of late streams in nodes' logs",
        description='Print the causes of late streams with the time that each '
        'phase took, or with --request the log records of one request.',
    )
    add_explain_options(explain)


def _serve(options: argparse.Namespace) -> int:
    settings = load_settings(options.config)
    # Imported lazily: the server's libraries would slow down other commands.
    from samphirerill.edges.http_server import ListenError
    from samphirerill.node.logs import start_logging
    from samphirerill.node.process import serve

    start_logging(settings.log)
    try:
        return serve(settings)
    except ListenError as exc:
        _print_error(str(exc))
        return EXIT_FAILED


def _run_edge(options: argparse.Namespace) -> int:
    from samphirerill.platform.start import run_edge

    return run_edge(options.config)


def _check(options: argparse.Namespace) -> int:
    parsed = read_jsonc(options.file)
    if isinstance(parsed.document, dict) and 'traffic' in parsed.document:
        from samphirerill.emulator.scenario import load_scenario

        load_scenario(options.file)
    else:
        check_document(parsed)
    _print_line(f'{options.file}: valid')
    return EXIT_OK


def _show_config(options: argparse.Namespace) -> int:
    if not options.nodes:
        _print_json(call_operator_api(options, '/config'))
        return EXIT_OK
    for node in call_operator_api(options, '/nodes'):
        version = node['version']
        status = 'no answer' if version is None else f'version {version}'
        _print_line(f'{node["node"]}: {status}')
    return EXIT_OK


def _show_history(options: argparse.Namespace) -> int:
    for change in call_operator_api(options, '/history'):
        _print_line(json.dumps(change))
    return EXIT_OK


def _patch_config(options: argparse.Namespace) -> int:
    submission = {
        'base': options.base,
        'patch': read_jsonc(options.file).document,
        'author': options.author,
        'dry_run': options.dry_run,
    }
    response = call_operator_api(options, '/patch', submission)
    result = 'would be accepted' if response['dry_run'] else 'accepted'
    _print_line(f'version {response["version"]} {result}')
    return EXIT_OK


def _show_state(options: argparse.Namespace) -> int:
    state = call_operator_api(options, '/state')
    if options.json:
        _print_json(state)
        return EXIT_OK
    core = state['core']
    _print_line(f'node {state["node"]} healthy={state["healthy"]}')
    _print_line(f'configuration version {core["configuration_version"]}')
    _print_line(f'open requests {core["requests"]} waiting {core["waiting"]}')
    for name, endpoint in core['endpoints'].items():
        _print_line(
            f'endpoint {name} {endpoint["health"]} '
            f'in_flight={endpoint["in_flight"]} free={endpoint["free"]}'
        )
    return EXIT_OK


def _drain(options: argparse.Namespace) -> int:
    call_operator_api(options, '/drain', {})
    _print_line('draining')
    return EXIT_OK


def _hash_key(options: argparse.Namespace) -> int:
    from samphirerill.edges.operator_api import hash_api_key

    _print_line(hash_api_key(sys.stdin.readline().strip()))
    return EXIT_OK


def _print_json(document: Any) -> None:
    _print_line(json.dumps(document, indent=1))


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _print_error(line: str) -> None:
    sys.stderr.write(f'{line}\n')
