"""Tests of the command line and of the validation of settings."""

from __future__ import annotations

import contextlib
import io
import json
import os
import sys
import unittest
from pathlib import Path
from subprocess import run
from tempfile import TemporaryDirectory
from unittest.mock import patch

import samphirerill
from samphirerill.cli.main import main
from samphirerill.settings.errors import InvalidDocumentError
from samphirerill.settings.jsonc import parse_jsonc
from samphirerill.settings.model import load_settings
from samphirerill.testing.layout import OPERATOR_KEY
from samphirerill.tests.support import ClusterCase

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_INVALID_SETTINGS = """{
  // a comment, and "quotes // in it"
  "node": {"name": "Bad Name", "data_centre": "a"},
  "callers": {"host": "127.0.0.1", "port": "8080"},
  "operators": {"host": "127.0.0.1", "port": 1,
                "key_digests": ["plain"]},
  "store": {"addresses": ["somewhere:1"], "prefx": "/x/"}
}
"""


def _run_command(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(arguments)
    return code, out.getvalue(), err.getvalue()


class TestCheck(unittest.TestCase):
    """``check`` reports every error with its line."""

    def test_examples_are_valid(self) -> None:
        """All example files pass validation."""
        for path in sorted(_EXAMPLES.glob('*.json')):
            with self.subTest(path.name):
                self.assertEqual(_run_command('check', str(path))[0], 0)
        settings = load_settings(str(_EXAMPLES / 'settings.json'))
        self.assertEqual(settings.callers.port, 8080)

    def test_all_errors_are_reported_with_lines_and_values(self) -> None:
        """One run reports all errors, with actual and expected values."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.json'
            path.write_text(_INVALID_SETTINGS, encoding='utf-8')
            code, _, err = _run_command('check', str(path))
        self.assertEqual(code, 2)
        lines = sorted(int(line.split(':')[1]) for line in err.splitlines())
        self.assertEqual(lines, [3, 4, 6, 7, 7])
        for line in err.splitlines():
            self.assertRegex(line, 'got .*, expected')

    def test_syntax_error_is_reported_with_its_line(self) -> None:
        """The finding has the line of the syntax error."""
        with self.assertRaises(InvalidDocumentError) as caught:
            parse_jsonc('{\n "a": 1,\n "b" 2}', 'f')
        self.assertEqual(caught.exception.findings[0].line, 3)

    def test_duplicate_keys_are_rejected(self) -> None:
        """``json`` alone would silently keep the last value."""
        with self.assertRaises(InvalidDocumentError) as caught:
            parse_jsonc('{"a": 1,\n "a": 2}', 'f')
        self.assertEqual(caught.exception.findings[0].line, 2)

    def test_comments_and_trailing_commas_are_removed(self) -> None:
        """Strings that look like comments and line numbers are preserved."""
        text = '{"a": "x // y", /* z\n */ "b": [1, 2,], // end\n}'
        parsed = parse_jsonc(text, 'f')
        self.assertEqual(parsed.document, {'a': 'x // y', 'b': [1, 2]})
        self.assertEqual(parsed.find_line('/b'), 2)

    def test_missing_file_is_reported(self) -> None:
        """The exit code is 2, as for an invalid file."""
        code, _, err = _run_command('check', '/nowhere/settings.json')
        self.assertEqual(code, 2)
        self.assertIn('No such file', err)


class TestRemoteCommands(ClusterCase):
    """Commands that call the operator API of a running node."""

    def setUp(self) -> None:
        """Set the node's address and the operator key."""
        variables = {
            'SAMPHIRERILL_OPERATOR_KEY': OPERATOR_KEY,
            'SAMPHIRERILL_OPERATORS': self.cluster.nodes[0].operators,
        }
        patcher = patch.dict(os.environ, variables)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_patch_then_stale_patch(self) -> None:
        """A patch to an outdated version is rejected with the current one."""
        operation = {
            'op': 'add',
            'path': '/accounts/viti/weight',
            'value': 2,
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'patch.json'
            path.write_text(json.dumps([operation]), encoding='utf-8')
            arguments = ('config', 'patch', '--base', '1', str(path))
            dry_run = _run_command(*arguments, '--dry-run')
            self.assertEqual(dry_run, (0, 'version 2 would be accepted\n', ''))
            self.assertEqual(
                _run_command(*arguments), (0, 'version 2 accepted\n', '')
            )
            code, _, err = _run_command(*arguments)
        self.assertEqual(code, 1)
        self.assertIn('expected version 2', err)
        history = _run_command('config', 'history')[1].splitlines()
        self.assertEqual(len(history), 2)

    def test_state_and_configuration_are_printed(self) -> None:
        """Both as a summary in text and in full as JSON."""
        self.assertIn('endpoint stage0-0 live', _run_command('state')[1])
        state = json.loads(_run_command('state', '--json')[1])
        self.assertEqual(state['core']['draining'], False)
        configuration = json.loads(_run_command('config', 'show')[1])
        self.assertIn('strength', configuration['document']['models'])
        self.assertIn(': version', _run_command('config', 'show', '--nodes')[1])

    def test_state_and_logs_contain_no_secrets(self) -> None:
        """Neither contains the keys of callers or operators."""
        state_json = _run_command('state', '--json')[1]
        log = self.cluster.nodes[0].log_path.read_text(encoding='utf-8')
        self.assertNotIn('coach-key', state_json + log)
        self.assertNotIn(OPERATOR_KEY, state_json + log)

    def test_caller_key_is_rejected_by_operator_api(self) -> None:
        """A caller's key does not grant access to the operator API."""
        with patch.dict(os.environ, {'SAMPHIRERILL_OPERATOR_KEY': 'coach-key'}):
            code, _, err = _run_command('config', 'show')
        self.assertEqual(code, 1)
        self.assertIn('unknown key', err)


if __name__ == '__main__':
    unittest.main()


class TestPublicNames(unittest.TestCase):
    """The public names of the package."""

    def test_public_names_are_imported_lazily(self) -> None:
        """Importing one module must not load the other public modules.

        Loading all of them with their libraries delays the start of nodes.
        """
        names = samphirerill.__all__
        self.assertTrue(all(hasattr(samphirerill, name) for name in names))
        code = (
            'import sys, samphirerill.platform.start\n'
            'sys.exit("jsonschema" in sys.modules)'
        )
        process = run((sys.executable, '-c', code), check=False)
        self.assertEqual(process.returncode, 0)
