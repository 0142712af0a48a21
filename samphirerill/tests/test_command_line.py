"""The command line and the settings it checks."""

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
_BAD = """{
  // a comment, and "quotes // in it"
  "node": {"name": "Bad Name", "data_centre": "a"},
  "callers": {"host": "127.0.0.1", "port": "8080"},
  "operators": {"host": "127.0.0.1", "port": 1,
                "key_digests": ["plain"]},
  "store": {"addresses": ["somewhere:1"], "prefx": "/x/"}
}
"""


def _run(*words: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(words)
    return code, out.getvalue(), err.getvalue()


class TestCheck(unittest.TestCase):
    """``check`` names every error with its line."""

    def test_examples_are_right(self) -> None:
        """What the documentation shows can be used."""
        for path in sorted(_EXAMPLES.glob('*.json')):
            with self.subTest(path.name):
                self.assertEqual(_run('check', str(path))[0], 0)
        settings = load_settings(str(_EXAMPLES / 'settings.json'))
        self.assertEqual(settings.callers.port, 8080)

    def test_every_error_with_line_got_and_expected(self) -> None:
        """All at once, so that nobody mends them one by one."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.json'
            path.write_text(_BAD, encoding='utf-8')
            code, _, err = _run('check', str(path))
        self.assertEqual(code, 2)
        lines = sorted(int(line.split(':')[1]) for line in err.splitlines())
        self.assertEqual(lines, [3, 4, 6, 7, 7])
        for line in err.splitlines():
            self.assertRegex(line, 'got .*, expected')

    def test_files_that_are_no_json(self) -> None:
        """The line of the mistake is named."""
        with self.assertRaises(InvalidDocumentError) as caught:
            parse_jsonc('{\n "a": 1,\n "b" 2}', 'f')
        self.assertEqual(caught.exception.findings[0].line, 3)

    def test_repeated_keys_are_refused(self) -> None:
        """A parser would keep the last one without a word."""
        with self.assertRaises(InvalidDocumentError) as caught:
            parse_jsonc('{"a": 1,\n "a": 2}', 'f')
        self.assertEqual(caught.exception.findings[0].line, 2)

    def test_comments_change_nothing_else(self) -> None:
        """Not even inside strings, and trailing commas are allowed."""
        text = '{"a": "x // y", /* z\n */ "b": [1, 2,], // end\n}'
        parsed = parse_jsonc(text, 'f')
        self.assertEqual(parsed.document, {'a': 'x // y', 'b': [1, 2]})
        self.assertEqual(parsed.find_line('/b'), 2)

    def test_missing_file_is_said(self) -> None:
        """With exit code 2, as for any other unusable file."""
        code, _, err = _run('check', '/nowhere/settings.json')
        self.assertEqual(code, 2)
        self.assertIn('No such file', err)


class TestRemoteCommands(ClusterCase):
    """Commands that ask a running node."""

    def setUp(self) -> None:
        """Name the node and the key."""
        variables = {
            'SAMPHIRERILL_OPERATOR_KEY': OPERATOR_KEY,
            'SAMPHIRERILL_OPERATORS': self.cluster.nodes[0].operators,
        }
        patched = patch.dict(os.environ, variables)
        patched.start()
        self.addCleanup(patched.stop)

    def test_patch_then_stale_patch(self) -> None:
        """The second one is told which version to look at."""
        operation = {
            'op': 'add',
            'path': '/accounts/viti/weight',
            'value': 2,
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'patch.json'
            path.write_text(json.dumps([operation]), encoding='utf-8')
            words = ('config', 'patch', '--base', '1', str(path))
            dry = _run(*words, '--dry-run')
            self.assertEqual(dry, (0, 'version 2 would be accepted\n', ''))
            self.assertEqual(_run(*words), (0, 'version 2 accepted\n', ''))
            code, _, err = _run(*words)
        self.assertEqual(code, 1)
        self.assertIn('expected version 2', err)
        history = _run('config', 'history')[1].splitlines()
        self.assertEqual(len(history), 2)

    def test_state_and_configuration_are_shown(self) -> None:
        """As lines for people, and whole as JSON."""
        self.assertIn('endpoint stage0-0 live', _run('state')[1])
        state = json.loads(_run('state', '--json')[1])
        self.assertEqual(state['core']['draining'], False)
        shown = json.loads(_run('config', 'show')[1])
        self.assertIn('strength', shown['document']['models'])
        self.assertIn(': version', _run('config', 'show', '--nodes')[1])

    def test_dump_and_logs_hold_no_secret(self) -> None:
        """No key, prompt or answer is in them."""
        dump = _run('state', '--json')[1]
        log = self.cluster.nodes[0].log_path.read_text(encoding='utf-8')
        self.assertNotIn('coach-key', dump + log)
        self.assertNotIn(OPERATOR_KEY, dump + log)

    def test_wrong_operator_key_is_refused(self) -> None:
        """Callers' keys are no operators' keys."""
        with patch.dict(os.environ, {'SAMPHIRERILL_OPERATOR_KEY': 'coach-key'}):
            code, _, err = _run('config', 'show')
        self.assertEqual(code, 1)
        self.assertIn('unknown key', err)


if __name__ == '__main__':
    unittest.main()


class TestPublicNames(unittest.TestCase):
    """What the package offers to others."""

    def test_each_is_there_and_comes_when_asked_for(self) -> None:
        """Symptom: a node on the platform starts 0.1 s later than it could.

        Sequence: it imports one module of the package. Cause: the package
        loaded all its public parts and their libraries.
        """
        names = samphirerill.__all__
        self.assertTrue(all(hasattr(samphirerill, name) for name in names))
        code = (
            'import sys, samphirerill.platform.start\n'
            'sys.exit("jsonschema" in sys.modules)'
        )
        done = run((sys.executable, '-c', code), check=False)
        self.assertEqual(done.returncode, 0)
