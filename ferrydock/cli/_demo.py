"""The verb `demo`."""

from ._verbs import Context, ExitStatus, register_verb, say

__all__ = []


@register_verb("demo", "", "Run three halls on this machine and show the main job.")
async def demo(context: Context, args: list[str]) -> ExitStatus:
    """Run the demonstration; a claim that fails makes it fail."""
    from ..demo import run_demo

    failed = await run_demo()
    if failed:
        return say(ExitStatus.CONFLICT, f"{failed} of the demonstration's claims failed")
    return say(ExitStatus.DONE, "every claim held")
