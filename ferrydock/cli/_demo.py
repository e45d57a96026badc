"""The verb `demo`."""

from ._verbs import Context, ExitStatus, register_verb, say

__all__ = []


@register_verb(
    "demo",
    "[routes]",
    "Run three halls on this machine and show the main job; with `routes`: the whole path of "
    "routes on the stand-in platform, daemons as processes.",
)
async def demo(context: Context, args: list[str]) -> ExitStatus:
    """Run the demonstration; a claim that fails makes it fail."""
    if args == ["routes"]:
        return await _demo_routes()
    if args:
        return say(ExitStatus.BAD_INPUT, f"{args[0]!r} is not allowed; allowed: routes, or nothing")
    from ..demo import run_demo

    failed = await run_demo()
    if failed:
        return say(ExitStatus.CONFLICT, f"{failed} of the demonstration's claims failed")
    return say(ExitStatus.DONE, "every claim held")


async def _demo_routes() -> ExitStatus:
    from ..emulator import PROMISES, Emulation, demo_experiment, figures

    result = await Emulation(demo_experiment()).run()
    found = figures(result)
    print(f"requests={found['requests']} served={found['served_part']:.3f}")
    for line in result.troubles:
        print(f"trouble: {line}")
    for line in result.broken:
        print(f"broken: {line}")
    for promise in PROMISES:
        print(f"promise: {promise}")
    if result.broken:
        return say(ExitStatus.CONFLICT, f"{len(result.broken)} promises were broken")
    return say(ExitStatus.DONE, "every promise held")
