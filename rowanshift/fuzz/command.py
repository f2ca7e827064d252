"""``rowanshift fuzz``: plays seeds against one system each, and prints what a failing one is cut down to."""

import random
import tempfile
from pathlib import Path

import trio
from loguru import logger

from rowanshift.fuzz.system import FuzzedSystem
from rowanshift.process.error_groups import first_of

EXAMPLES = 40  # lists of messages of one seed
SHORT_SEEDS, SHORT_EXAMPLES = range(1, 4), 20
MAX_MESSAGES = 4  # sent at the same time


class FoundBreach(Exception):
    """A list of messages after which the system broke a rule; the text names both."""


def draw_and_play(fuzzed: FuzzedSystem, seed: int, examples: int) -> None:
    """Draw lists of messages from a seed and play each; runs in a thread. Raises ``FoundBreach`` after shrinking."""
    from hypothesis import HealthCheck, Phase, given, settings
    from hypothesis import seed as seeded
    from hypothesis import strategies as st

    from rowanshift.fuzz.messages import Message, messages

    @seeded(seed)
    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=tuple(HealthCheck),
        print_blob=False,
    )
    @given(st.lists(messages(), min_size=1, max_size=MAX_MESSAGES))
    def play(drawn: list[Message]) -> None:
        if breaches := trio.from_thread.run(fuzzed.play, drawn):
            raise FoundBreach(f"{breaches}; messages: {drawn!r}")

    play()


async def play_seed(seed: int, examples: int) -> str | None:
    """Play one seed against a system of its own; returns the breach that was found, if any."""
    net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."  # a free one, not a part of the seed
    with tempfile.TemporaryDirectory() as folder:
        fuzzed = FuzzedSystem(Path(folder), net)
        try:
            with fuzzed.errors_collected():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fuzzed.system.run)
                    await fuzzed.start()
                    await trio.to_thread.run_sync(draw_and_play, fuzzed, seed, examples)
                    nursery.cancel_scope.cancel()
        except Exception as error:
            cause = first_of(error)
            return str(cause) if isinstance(cause, FoundBreach) else f"a role ended: {cause!r}"
    return None


def fuzz(seeds: range, examples: int) -> int:
    """Play seeds one after the other and print what they found; returns the exit status."""
    logger.remove()
    failed = 0
    for seed in seeds:
        breach = trio.run(play_seed, seed, examples)
        failed += breach is not None
        if breach is not None:
            print(f"seed {seed}: {breach}\n  again: rowanshift fuzz --seeds {seed}:{seed + 1}", flush=True)
    print(f"{len(seeds)} seeds of {examples} examples, {failed} with a breach", flush=True)
    return 1 if failed else 0
