"""The verb `emulate`."""

from pathlib import Path

import orjson

from ..outcomes import Invalid
from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []


@register_verb(
    "emulate",
    "EXPERIMENT.toml [LOG_FOLDER] [--report=PAGE.html] [--against=RESULT.json]",
    "Play an experiment on a stand-in platform with daemons as processes; print its figures.",
)
async def emulate(context: Context, args: list[str]) -> ExitStatus:
    """Run an experiment; return CONFLICT if a promise was broken."""
    from ..emulator import Emulation, figures, page, read_experiment

    if not 1 <= len(args) <= 2:
        return finish(ExitStatus.BAD_INPUT, "emulate needs the path of an experiment")
    try:
        text = Path(args[0]).read_text()
        earlier_result = _read_result(context.flags.against)
        folder = _make_folder(args[1]) if len(args) == 2 else None
    except (OSError, ValueError) as error:
        return finish(ExitStatus.BAD_INPUT, str(error))
    experiment = read_experiment(text)
    if isinstance(experiment, Invalid):
        return finish(ExitStatus.BAD_INPUT, experiment.reason)
    result = await Emulation(experiment, folder).run()
    print(orjson.dumps(figures(result), option=orjson.OPT_INDENT_2).decode())
    if context.flags.report:
        Path(context.flags.report).write_text(page(result, earlier_result))
    if result.broken:
        return finish(ExitStatus.CONFLICT, f"{len(result.broken)} promises were broken")
    return finish(ExitStatus.DONE, "every promise held")


def _read_result(path: str) -> dict | None:
    return orjson.loads(Path(path).read_bytes()) if path else None


def _make_folder(path: str) -> Path:
    folder = Path(path)
    folder.mkdir(parents=True, exist_ok=True)
    return folder
