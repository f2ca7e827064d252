"""Applications put keys at a steady rate; the core machine that leads is killed once; then locks are asked for."""

import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    BOUNDS,
    CONTRACTS,
    NETWORK_ERRORS,
    CannotRun,
    Deployment,
    Record,
    call,
    configuration,
    route,
    run_case,
)

BOUNDS_WITH_LOCKS = BOUNDS | {"historyS": 20, "releaseMs": 1500}
KEYS, GROUPS, LOCKS = 300, 8, 80  # as on the locks site
PUTS_PER_S, LOCKS_PER_S, NUMBERS_PER_S, READS_PER_S = (
    20,
    4,
    2,
    6,
)  # together 32 calls a second; the sites have 35.5 and 44.5
VALUE_CHARACTERS = 1400
STEADY_SECONDS = 46.0  # of load before the kill; what is kept no longer grows after 40 s
DOWN_SECONDS = 3.5  # of the killed machine, as on the sites
AFTER_SECONDS = 24.0  # of load from the kill to the end of the day
ASK_SECONDS = 12.0  # for which each lock is asked for at the end; the pages say 3 s at least
HOLD_MS = 2000


class Applications:
    """Callers as locks/LATER.md describes them: after a failure, a 5xx, a 429 or a second they try another machine."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.random = deployment, random.Random(6)
        self.ends: Counter[str] = Counter()
        self.acknowledged = 0
        self.number = 0

    async def ask(self, method: str, target: str, body=None, within: float = 5.0) -> tuple[int, bytes]:
        """One call, repeated for some seconds until it has a clear answer: its status and body, 0 without one."""
        until = time.monotonic() + within
        last = "silence"
        while True:
            address = (self.deployment.ips[self.random.choice(self.deployment.cores)], self.deployment.control)
            try:
                for _ in range(3):
                    status, fields, data = await call(address, method, target, body)
                    if status != 307:
                        break
                    ip, _, port = fields["location"].removeprefix("http://").partition("/")[0].rpartition(":")
                    address = (ip, int(port))
                if status < 500 and status not in (307, 429):
                    self.ends[f"{method} {target.split('/')[1]} {status}"] += 1
                    return status, data
                last = f"{status} {data.decode()[:60]}"
            except (*NETWORK_ERRORS, KeyError):
                last = "silence"
            if time.monotonic() >= until:
                self.ends[f"{method} {target.split('/')[1]} unanswered, at last {last}"] += 1
                return 0, last.encode()
            await asyncio.sleep(0.05 + 0.2 * self.random.random())

    async def put(self) -> None:
        """Put a key: a new value that is put nowhere else."""
        self.number += 1
        key = self.random.randrange(KEYS)
        value = f"{self.number:08d}" + "".join(self.random.choices("0123456789abcdef", k=VALUE_CHARACTERS - 8))
        status, _ = await self.ask("PUT", f"/cells/g{key % GROUPS}.{key:x}", {"value": value})
        self.acknowledged += status == 200

    async def hold(self) -> None:
        """Take a lock for a moment and give it back."""
        target, holder = f"/locks/l{self.random.randrange(LOCKS)}", f"a{self.random.randrange(11)}"
        status, data = await self.ask("POST", target, {"leaseHolder": holder, "holdMs": HOLD_MS})
        if status == 200:
            await asyncio.sleep(0.1)
            await self.ask("DELETE", target, {"leaseHolder": holder, "fenceToken": json.loads(data)["fenceToken"]})

    async def count(self) -> None:
        """Ask for a number."""
        await self.ask("POST", f"/numbers/n{self.random.randrange(2)}", {})

    async def read(self) -> None:
        """Read a key."""
        key = self.random.randrange(KEYS)
        await self.ask("GET", f"/cells/g{key % GROUPS}.{key:x}")

    async def work(self, seconds: float) -> None:
        """Make calls at their rates for some seconds, and wait for their ends."""
        until = time.monotonic() + seconds
        rates = [
            (self.put, PUTS_PER_S),
            (self.hold, LOCKS_PER_S),
            (self.count, NUMBERS_PER_S),
            (self.read, READS_PER_S),
        ]

        async def repeat(make, per_s: float) -> None:
            due = time.monotonic()
            while (due := due + 1 / per_s) < until:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(make())

        async with asyncio.TaskGroup() as group:
            for make, per_s in rates:
                group.create_task(repeat(make, per_s))


async def describe(deployment: Deployment) -> str:
    """What the leader of the coordination state keeps, for the record only."""
    for name in deployment.cores:
        status = await deployment.status(name)
        if status and status["coordination"] and status["coordination"]["primary"]:
            found = status["coordination"]
            return (
                f"{name} leads: state {found['stateBytes']} bytes, {found['putsKept']} puts kept, {found['keys']} keys"
            )
    return "nobody leads"


async def case(say: Record, trouble: bool) -> bool:
    """Whether locks can be taken at the end of the day."""
    deployment = Deployment(say, contracts=[*CONTRACTS, "coord"], bounds=BOUNDS_WITH_LOCKS)
    try:
        await deployment.serve_platform()
        for name in deployment.cores + deployment.routers:
            deployment.start(name)
        first = configuration(1, [route("a", "/a/", "idempotent", "svc")], ["svc"])
        say("PUT /config:", await deployment.operator("PUT", "/config", first, [("If-Match", "0")]))
        await deployment.primary()
        deployment.bootstrap = False
        applications = Applications(deployment)
        await applications.work(STEADY_SECONDS)
        say(await describe(deployment))
        say("ends so far:", dict(applications.ends))
        if any("unanswered" in end for end in applications.ends):
            raise CannotRun("calls stayed without an answer before any disruption")
        applications.ends.clear()
        leader = (await describe(deployment)).split()[0]

        async def kill() -> None:
            if trouble:
                deployment.send(leader, signal.SIGKILL)
                await deployment.ended(leader)
                await asyncio.sleep(DOWN_SECONDS)
                deployment.start(leader)
                say("started", leader)

        await asyncio.gather(kill(), applications.work(AFTER_SECONDS))
        say(await describe(deployment))
        say("ends since:", dict(applications.ends))
        say("the day ends: locks are asked for, for", ASK_SECONDS, "s each")
        targets = [f"/locks/l{number}" for number in range(0, LOCKS, 8)]
        body = {"leaseHolder": "at-the-end", "holdMs": HOLD_MS}
        answers = await asyncio.gather(*(applications.ask("POST", target, body, ASK_SECONDS) for target in targets))
        for target, (status, data) in zip(targets, answers, strict=True):
            say("POST", target, status or "no answer, at last", data.decode())
        return all(status in (200, 409) for status, _ in answers)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
