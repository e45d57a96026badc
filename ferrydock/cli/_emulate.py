"""The verb `emulate`."""

from pathlib import Path

import orjson

from ..outcomes import Invalid
from ._verbs import Context, ExitStatus, register_verb, say

__all__ = []


@register_verb(
    "emulate",
    "EXPERIMENT.toml [LOG_FOLDER] [--report=PAGE.html] [--against=RESULT.json]",
    "Play an experiment on a stand-in platform with daemons as processes; print its figures.",
)
async def emulate(context: Context, args: list[str]) -> ExitStatus:
    """Play an experiment; a broken promise makes it fail."""
    from ..emulator import Emulation, figures, page, read_experiment

    if not 1 <= len(args) <= 2:
        return say(ExitStatus.BAD_INPUT, "emulate needs the path of an experiment")
    try:
        text = Path(args[0]).read_text()
        against = _read_result(context.flags.against)
        folder = _folder(args[1]) if len(args) == 2 else None
    except (OSError, ValueError) as error:
        return say(ExitStatus.BAD_INPUT, str(error))
    experiment = read_experiment(text)
    if isinstance(experiment, Invalid):
        return say(ExitStatus.BAD_INPUT, experiment.reason)
    result = await Emulation(experiment, folder).run()
    print(orjson.dumps(figures(result), option=orjson.OPT_INDENT_2).decode())
    if context.flags.report:
        Path(context.flags.report).write_text(page(result, against))
    if result.broken:
        return say(ExitStatus.CONFLICT, f"{len(result.broken)} promises were broken")
    return say(ExitStatus.DONE, "every promise held")


def _read_result(path: str) -> dict | None:
    return orjson.loads(Path(path).read_bytes()) if path else None


def _folder(path: str) -> Path:
    folder = Path(path)
    folder.mkdir(parents=True, exist_ok=True)
    return folder
