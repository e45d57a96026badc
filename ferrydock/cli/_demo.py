"""The verb `demo`."""

from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []


@register_verb(
    "demo",
    "[routes]",
    "Run three halls on this machine and show the main job; with `routes`: the whole path of "
    "routes on the stand-in platform, daemons as processes.",
)
async def demo(context: Context, args: list[str]) -> ExitStatus:
    """Run the demonstration; return CONFLICT if one of its claims fails."""
    if args == ["routes"]:
        return await _demo_routes()
    if args:
        return finish(
            ExitStatus.BAD_INPUT, f"{args[0]!r} is not allowed; allowed: routes, or nothing"
        )
    from ..demo import run_demo

    failed = await run_demo()
    if failed:
        return finish(ExitStatus.CONFLICT, f"{failed} of the demonstration's claims failed")
    return finish(ExitStatus.DONE, "every claim held")


async def _demo_routes() -> ExitStatus:
    from ..emulator import PROMISES, Emulation, demo_experiment, figures

    result = await Emulation(demo_experiment()).run()
    summary = figures(result)
    print(f"requests={summary['requests']} served={summary['served_part']:.3f}")
    for line in result.troubles:
        print(f"trouble: {line}")
    for line in result.broken:
        print(f"broken: {line}")
    for promise in PROMISES:
        print(f"promise: {promise}")
    if result.broken:
        return finish(ExitStatus.CONFLICT, f"{len(result.broken)} promises were broken")
    return finish(ExitStatus.DONE, "every promise held")
