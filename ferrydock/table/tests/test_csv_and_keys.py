"""CSV sheets with arbitrary text, the page generated from the declaration, and keys."""

from pathlib import Path

from hypothesis import example, given
from hypothesis import strategies as st

from ...outcomes import Invalid
from .. import (
    SHEETS,
    RowKey,
    Table,
    changes_between,
    digest_key,
    is_operator_key,
    read_sheets,
    team_of_key,
    write_sheet,
)
from ..docs import table_page

ROOT = Path(__file__).resolve().parents[3]
cell_text = st.text(st.characters(codec="utf-8", exclude_characters="\x00"), max_size=30)


@given(st.sampled_from((*SHEETS, "nowhere")), st.text(max_size=200))
@example("models", 'name,version\n"a')
@example("models", "name\r\na\rb")
def test_any_text_is_read_or_refused_with_a_place(sheet, text):
    read = read_sheets({sheet: text})
    if isinstance(read, Invalid):
        assert all(fault.place.startswith(sheet) for fault in read.faults)
    else:
        assert isinstance(read.faults(), tuple)


@given(st.dictionaries(st.sampled_from(("h1", "h2", "h3")), cell_text, max_size=3))
def test_any_cells_survive_export_and_reading(regions):
    rows = {RowKey("halls", name): {"region": text.strip()} for name, text in regions.items()}
    rows = {key: {c: t for c, t in cells.items() if t} for key, cells in rows.items()}
    table = Table(rows)
    read = read_sheets({"halls": write_sheet(table, "halls")})
    assert not isinstance(read, Invalid)
    assert changes_between(table, read, {"halls"}) == ()


@given(st.sampled_from(sorted(SHEETS)), st.text(max_size=40), st.text(max_size=60))
def test_any_cell_is_accepted_or_named(sheet, row, text):
    for column in SHEETS[sheet].columns:
        table = Table({RowKey(sheet, row): {column.name: text}})
        view = table.view()
        if isinstance(view, Invalid):
            assert all(fault.place.startswith(f"{sheet}/") for fault in view.faults)


def test_every_default_is_a_permitted_value():
    for sheet in SHEETS.values():
        for column in sheet.columns:
            if column.default is not None:
                column.parse(column.default)


def test_the_operators_page_matches_the_declaration():
    assert (ROOT / "docs/operators/table.md").read_text() == table_page()


def view_with_keys():
    digests = f"{digest_key('old')} {digest_key('new')}"
    return Table(
        {
            RowKey("teams", "kelenn"): {"key_digests": digests},
            RowKey("teams", "gone"): {"key_digests": digest_key("gone"), "enabled": "false"},
            RowKey("site", "site"): {"operator_key_digests": digest_key("operator")},
        }
    ).view()


def test_both_keys_of_a_team_are_valid_and_those_of_a_disabled_team_are_not():
    view = view_with_keys()
    assert team_of_key(view, "old") == team_of_key(view, "new") == "kelenn"
    assert team_of_key(view, "gone") is None
    assert team_of_key(view, "other") is None


def test_a_callers_key_is_no_operator_key_and_the_reverse():
    view = view_with_keys()
    assert is_operator_key(view, "operator", ())
    assert not is_operator_key(view, "new", ())
    assert team_of_key(view, "operator") is None
