"""Files, commands and names mentioned in pages, examples and docstrings exist.

Historical pages (measurements, incidents) may name what has been removed; their links must work.
"""

import re

import pytest

from .processes import ROOT

PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
HISTORICAL = {"MEASUREMENTS.md", "CHANGELOG.md"} | {
    path.name for path in ROOT.glob("docs/incidents/*.md")
}
MAINTAINED = [page for page in PAGES if page.name not in HISTORICAL] + sorted(
    path for path in ROOT.glob("examples/*") if path.is_file()
)
SOURCES = sorted([*ROOT.glob("ferrydock/**/*.py"), *ROOT.glob("benchmarks/*.py")])
CODE = "\n".join(path.read_text() for path in [*SOURCES, *ROOT.glob("tests/*.py")])
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[\w./-]+\.(?:py|md|toml|proto|sh)")
MODULE = re.compile(r"python -m ([A-Za-z_.]+[A-Za-z_])")
FLAG = re.compile(r"--([a-z_]{3,})")
MAKE = re.compile(r"`make ([a-z-]+)`")
NAME = re.compile(r"_?[a-z]+(?:_[a-z0-9]+)+|[A-Z][a-z]+\w*[a-z]|[A-Z]+_[A-Z_]+")
EVENT = re.compile(r"^ *(?:->)? *\d\d:\d\d:\d\d\.\d+ \S+ (\w+) ", re.MULTILINE)
BENCHMARK = re.compile(r"\bbenchmarks\.([a-z_]+)")
GIT_OPTIONS = {"grep", "oneline"}
GENERATED_FILES = {"KNOWN-RED.txt"}


def name_of(path):
    return str(path.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_links_lead_somewhere(page):
    missing = [link for link in LINK.findall(page.read_text()) if not _link_exists(page, link)]
    assert missing == []


def _link_exists(page, link):
    return link.startswith("http") or (page.parent / link).exists()


@pytest.mark.parametrize("page", MAINTAINED, ids=name_of)
def test_named_files_exist(page):
    missing = [
        span
        for span in CODE_SPAN.findall(page.read_text())
        if FILE.fullmatch(span) and span not in GENERATED_FILES and not _file_exists(page, span)
    ]
    assert missing == []


def _file_exists(page, name):
    folders = (ROOT, ROOT / "ferrydock", ROOT / "docs", page.parent)
    return any((folder / name).exists() for folder in folders) or any(
        ROOT.glob(f"ferrydock/**/{name}")
    )


@pytest.mark.parametrize("page", MAINTAINED, ids=name_of)
def test_named_commands_exist(page):
    text = page.read_text()
    makefile = (ROOT / "Makefile").read_text()
    assert [target for target in MAKE.findall(text) if f"\n{target}:" not in makefile] == []
    modules = [name for name in MODULE.findall(text) if not _is_module(name)]
    assert modules == []
    flags = {flag for flag in FLAG.findall(text) if f'"{flag}"' not in CODE}
    assert flags - GIT_OPTIONS - set(re.findall(r'"--([a-z_]+)', CODE)) == set()


def _is_module(name):
    if name == "benchmarks.NAME":
        return True  # a placeholder for any benchmark
    path = ROOT / name.replace(".", "/")
    return path.with_suffix(".py").exists() or (path / "__main__.py").exists()


@pytest.mark.parametrize("page", MAINTAINED, ids=name_of)
def test_named_parts_of_the_code_exist(page):
    missing = [
        span
        for span in CODE_SPAN.findall(page.read_text())
        if NAME.fullmatch(span) and span not in CODE
    ]
    assert missing == []


def test_log_events_of_the_operators_page_are_logged():
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    events = set(EVENT.findall(text))
    assert len(events) > 5
    assert {event for event in events if f'"{event}"' not in CODE} == set()


@pytest.mark.parametrize("path", [*MAINTAINED, *SOURCES], ids=name_of)
def test_named_benchmarks_and_pages_exist(path):
    text = path.read_text()
    names = set(BENCHMARK.findall(text))
    assert {name for name in names if not (ROOT / f"benchmarks/{name}.py").exists()} == set()
    pages = set(re.findall(r"docs/[\w/.-]+\.md", text))
    assert {page for page in pages if not (ROOT / page).exists()} == set()
