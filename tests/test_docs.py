"""Tests that the documents agree with the code."""

import importlib
import pathlib
import re
from typing import Any
import unittest

import pydantic
from pydantic import fields
from pydantic_core import PydanticUndefined
import typer

from goldcresthaven import cli
from goldcresthaven import cli_session
from goldcresthaven import operator_views as views
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import settings

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / 'docs'
MODELS: tuple[type[presets.Model], ...] = (
    settings.ProcessSettings,
    settings.Limits,
    presets.Document,
    presets.Pool,
    presets.Route,
    presets.Preset,
    presets.RankPolicy,
)
SYMPTOMS = (
    'A key is refused',
    'The store is down',
    'A zone is cut off',
    'Two operators collide',
    'An upstream is slow or leaving',
    'Overload',
    'A VM is replaced',
    'A claim does not renew',
    'No preset in force',
    'Memory',
)
PARTS = ['Seen.', 'Means.', 'Run.', 'Do.', 'Do not.']


def read(name: str) -> str:
    return (DOCS / name).read_text()


def sections(text: str, mark: str) -> dict[str, str]:
    """Return the text under each heading that starts with ``mark``."""
    parts = re.split(rf'^{mark} (.+)$', text, flags=re.MULTILINE)
    bodies = (re.split(r'^#', p, flags=re.MULTILINE)[0] for p in parts[2::2])
    return dict(zip(parts[1::2], bodies))


def rows(text: str) -> list[list[str]]:
    """Return the cells of a table's rows, without the header row."""
    lines = [x for x in text.splitlines() if x.startswith('| ')]
    return [[c.strip() for c in x.strip('|').split('|')] for x in lines[1:]]


def default_of(model: type[presets.Model], name: str) -> str:
    """Return a field's default in the notation of the documents."""
    field: fields.FieldInfo = model.model_fields[name]
    value = field.default
    if value is PydanticUndefined:
        return 'required'
    if isinstance(value, presets.Model):
        return f'see {type(value).__name__}'
    partial = model.model_construct(**{name: value})
    dumped = partial.model_dump(mode='json', include={name})[name]
    text = 'none' if dumped is None else str(dumped)
    return text.lower() if isinstance(dumped, bool) else text


def same_value(documented: str, actual: str) -> bool:
    if documented == actual:
        return True
    try:
        return presets.parse_size(documented) == presets.parse_size(actual)
    except ValueError:
        pass
    try:
        one = presets.parse_duration(documented)
        return one == presets.parse_duration(actual)
    except ValueError:
        return False


def commands() -> dict[str, set[str]]:
    """Return the options of each command, such as ``preset set``."""
    found: dict[str, set[str]] = {}

    def walk(command: Any, path: str) -> None:
        if hasattr(command, 'commands'):
            for name, child in command.commands.items():
                walk(child, f'{path} {name}'.strip())
            return
        found[path] = {
            option
            for param in command.params
            for option in param.opts
            if option.startswith('--') and option != '--help'
        }

    walk(typer.main.get_command(cli.app), '')
    return found


class SettingsDocTest(unittest.TestCase):
    def test_every_field_with_its_default_and_nothing_else(self) -> None:
        """Guards against a settings reference that is out of date."""
        documented = sections(read('settings.md'), '###')
        self.assertEqual(list(documented), [m.__name__ for m in MODELS])
        for model in MODELS:
            table = rows(documented[model.__name__])
            names = [row[0].strip('`') for row in table]
            self.assertEqual(names, list(model.model_fields))
            for name, (_, default, meaning) in zip(names, table):
                with self.subTest(model=model.__name__, field=name):
                    actual = default_of(model, name)
                    self.assertTrue(same_value(default, actual), actual)
                    self.assertTrue(meaning.endswith('.'))

    def test_limits_of_the_file_are_documented(self) -> None:
        """Guards against a changed limit that the reference does not show."""
        text = read('settings.md')
        self.assertIn(f'{settings.MAX_BYTES >> 10} KiB', text)

    def test_models_are_all_listed(self) -> None:
        """Guards against a new model that these tests do not cover."""
        used: set[type[pydantic.BaseModel]] = set()

        def collect(kind: Any) -> None:
            for inner in getattr(kind, '__args__', ()):
                collect(inner)
            is_model = isinstance(kind, type) and issubclass(
                kind, presets.Model
            )
            if is_model and kind not in used:
                used.add(kind)
                for field in kind.model_fields.values():
                    collect(field.annotation)

        collect(settings.ProcessSettings)
        collect(presets.Document)
        self.assertEqual(used, set(MODELS))


class CliDocTest(unittest.TestCase):
    def test_every_command_with_its_options(self) -> None:
        """Guards against a command or option that is not documented."""
        documented = sections(read('cli.md'), '###')
        actual = commands()
        self.assertEqual({f'`{name}`' for name in actual}, set(documented))
        for name, options in actual.items():
            with self.subTest(command=name):
                listed = re.findall(r'`(--[a-z-]+)`', documented[f'`{name}`'])
                self.assertEqual(set(listed), options)

    def test_exit_codes(self) -> None:
        """Guards against a script that relies on a wrong exit code."""
        table = rows(sections(read('cli.md'), '##')['Exit codes'])
        documented = {int(code): meaning for code, meaning in table}
        self.assertEqual(documented, cli_session.EXIT_MEANINGS)

    def test_quoted_commands_exist(self) -> None:
        """Guards against a quoted command that does not exist."""
        known = commands()
        names = sorted(known, key=len, reverse=True)
        checked = 0
        for file in (ROOT / 'README.md', *DOCS.glob('*.md')):
            if file.name == 'design.md':
                continue
            for line in quoted_commands(file.read_text()):
                with self.subTest(file=file.name, command=line):
                    name = next(
                        (n for n in names if f'{line} '.startswith(f'{n} ')),
                        None,
                    )
                    assert name is not None
                    used = set(re.findall(r'--[a-z-]+', line))
                    self.assertLessEqual(used, known[name])
                    checked += 1
        self.assertGreater(checked, 40)


def quoted_commands(text: str) -> list[str]:
    """Return the arguments of goldcresthaven commands in code.

    Both code spans and indented code blocks are searched.
    """
    code = re.findall(r'`([^`\n]+)`', text)
    code += re.findall(r'^ {4}(.+)$', text, re.MULTILINE)
    found = [
        re.match(r'(?:\S*/)?goldcresthaven ([a-z].*)', part) for part in code
    ]
    return [match[1] for match in found if match is not None]


class HandbookTest(unittest.TestCase):
    def test_symptoms_have_all_parts(self) -> None:
        """Guards against a symptom that lacks one of the five parts."""
        found = sections(read('handbook.md'), '##')
        self.assertEqual(tuple(found), SYMPTOMS)
        for symptom, body in found.items():
            with self.subTest(symptom):
                parts = re.findall(r'^\*\*(.+?)\*\*', body, re.MULTILINE)
                self.assertEqual(parts, PARTS)

    def test_reasons_exist(self) -> None:
        """Guards against a documented reason that does not exist."""
        known = {reason.value for reason in outcomes.Reason}
        text = read('handbook.md')
        sentences = re.findall(r'X-Reason: [^;.]*', text)
        self.assertTrue(sentences)
        for sentence in sentences:
            found = re.findall(r'[a-z]+(?:-[a-z]+)+|shed', sentence)
            self.assertLessEqual(set(found), known)
            self.assertTrue(found)


class GlossaryTest(unittest.TestCase):
    def test_one_sentence_each_in_order(self) -> None:
        """Guards against missing, unsorted, repeated or overlong entries."""
        entries = re.findall(
            r'^- \*\*(.+?)\*\*: (.+)$', read('glossary.md'), re.MULTILINE
        )
        terms = [term for term, _ in entries]
        self.assertEqual(terms, sorted(set(terms), key=str.lower))
        for term, sentence in entries:
            with self.subTest(term):
                self.assertTrue(sentence.endswith('.'))
                self.assertNotRegex(sentence[:-1], r'\. ')
        words = {e.value for e in (*outcomes.Rank, *presets.Dedup)}
        words |= {e.value for e in views.ChangeState} - {'dry-run'}
        words |= {'VM', 'availability zone', 'caller', 'upstream'}
        self.assertLessEqual(words, set(terms))

    def test_italic_terms_have_entries(self) -> None:
        """Guards against italic terms that have no entry of their own."""
        text = read('glossary.md')
        terms = set(re.findall(r'^- \*\*(.+?)\*\*', text, re.MULTILINE))
        for word in re.findall(r'(?<!\*)\*([^*]+)\*(?!\*)', text):
            singular = word.removesuffix("'s").removesuffix('s')
            self.assertTrue(
                {word, singular, 'italics'} & terms or word == 'italics', word
            )


class LinkTest(unittest.TestCase):
    def test_link_targets_exist(self) -> None:
        """Guards against broken links."""
        for file in (ROOT / 'README.md', *DOCS.glob('*.md')):
            text = file.read_text()
            for link in re.findall(r'\]\(([^)]+)\)', text):
                with self.subTest(file=file.name, link=link):
                    path, _, anchor = link.partition('#')
                    target = file.parent / path if path else file
                    self.assertTrue(target.exists())
                    if anchor:
                        self.assertIn(anchor, anchors(target))


def anchors(file: pathlib.Path) -> set[str]:
    headings = re.findall(r'^#+ (.+)$', file.read_text(), re.MULTILINE)
    return {h.lower().replace('`', '').replace(' ', '-') for h in headings}


class ProofsTest(unittest.TestCase):
    def test_named_tests_exist(self) -> None:
        """Guards against a table that names tests that no longer exist."""
        text = (DOCS / 'proofs.md').read_text()
        names = set(re.findall(r'`((?:tests|proofs)\.[\w.]+)`', text))
        self.assertGreater(len(names), 20)
        for name in sorted(names):
            with self.subTest(name):
                self.assertTrue(_exists(name), 'no such test or proof')


def _exists(name: str) -> bool:
    package, module, *rest = name.split('.')
    found: Any = importlib.import_module(f'{package}.{module}')
    for part in rest:
        found = getattr(found, part, None)
    return found is not None
