"""Applications that use locks, numbers and keys as services do: they hold, die, sleep, put, read and watch."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rowanshift.controlplane.coordination.calls import (
    Answer,
    Call,
    Events,
    HistoryDropped,
    KeyFound,
    KeyMissing,
    KeyPut,
    LockRenewed,
    LockTaken,
    NextNumber,
    PutKey,
    ReadEvents,
    ReadKey,
    ReleaseLock,
    RenewLock,
    RevisionConflict,
    TakeLock,
    group_of,
)
from rowanshift.emulation.application_client import RETRY_SECONDS, Application

WATCHER_PAUSES_SECONDS = (0.0, 2.0)  # at most, between two answers, of the watchers of each group


@dataclass(frozen=True, slots=True)
class Names:
    """What the applications of a run call for."""

    locks: int = 4
    numbers: int = 2
    groups: int = 2
    keys: int = 4  # of a group

    def all_keys(self) -> list[str]:
        """The keys of all groups."""
        return [f"g{group}.k{key}" for group in range(self.groups) for key in range(self.keys)]


class LockUser:
    """Takes locks, holds them for a moment or for long, gives them back, or dies or sleeps holding."""

    HOLD_MS = (300, 1000, 2500)
    SLEEP_SHARE = 0.1  # of the holds, in which it sleeps past its time
    DEATH_SHARE = 0.1  # in which it never comes back to the hold

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names

    async def run(self) -> None:
        """Take one lock after another."""
        application, random_source = self.application, self.application.random_source
        while True:
            lock, hold_ms = f"l{random_source.randrange(self.names.locks)}", random_source.choice(self.HOLD_MS)
            answer = await application.ask(TakeLock(lock, application.name, hold_ms))
            if isinstance(answer, LockTaken):
                await self._hold(lock, answer.token, hold_ms)
            await application.host.pause(0.3 * random_source.random())

    async def _hold(self, lock: str, token: int, hold_ms: int) -> None:
        application, random_source = self.application, self.application.random_source
        kind = random_source.random()
        if kind < self.DEATH_SHARE:
            return
        if kind < self.DEATH_SHARE + self.SLEEP_SHARE:
            await application.host.pause(1.5 * hold_ms / 1000)
        for _ in range(random_source.choice((0, 0, 1, 4))):
            await application.host.pause(hold_ms / 3000)
            renewed = await application.ask(RenewLock(lock, application.name, token, hold_ms))
            if not isinstance(renewed, LockRenewed):
                break
        await application.ask(ReleaseLock(lock, application.name, token))


class NumberUser:
    """Asks for numbers."""

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names

    async def run(self) -> None:
        """Ask for one number after another."""
        random_source = self.application.random_source
        while True:
            await self.application.ask(NextNumber(f"n{random_source.randrange(self.names.numbers)}"))
            await self.application.host.pause(0.3 * random_source.random())


class KeyUser:
    """Reads keys, and puts them by the revision that it knows."""

    UNCONDITIONAL_SHARE = 0.1  # of its puts

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names
        self.puts = 0
        self.known: dict[str, int] = {}  # revisions

    async def run(self) -> None:
        """Put or read one key after another."""
        application, random_source = self.application, self.application.random_source
        while True:
            key = random_source.choice(self.names.all_keys())
            if random_source.random() < 0.5 or key not in self.known:
                self._learn(key, await application.ask(ReadKey(key)))
            else:
                await self._put(key)
            await application.host.pause(0.2 * random_source.random())

    async def _put(self, key: str) -> None:
        application = self.application
        self.puts += 1
        unconditional = application.random_source.random() < self.UNCONDITIONAL_SHARE
        expected = None if unconditional else self.known[key]
        self._learn(key, await application.ask(PutKey(key, f"{application.name}/{self.puts}", expected)))

    def _learn(self, key: str, answer: Answer | None) -> None:
        match answer:
            case KeyFound(_, revision) | KeyPut(revision) | RevisionConflict(revision):
                self.known[key] = revision
            case KeyMissing():
                self.known[key] = 0


class Watcher:
    """Watches a group from its present revision on, without an end; pauses up to ``pause_seconds`` between answers."""

    def __init__(self, application: Application, group: str, pause_seconds: float = 0.0) -> None:
        self.application = application
        self.group = group
        self.pause_seconds = pause_seconds
        self.after = 0

    async def run(self) -> None:
        """Watch until the end of the run."""
        application = self.application
        while True:
            await self.look()
            pause = self.pause_seconds * application.random_source.random()
            await application.host.pause(pause if self.after else RETRY_SECONDS)

    async def look(self) -> Answer | None:
        """Watch once, from the last revision that was told."""
        answer = await self.application.ask(ReadEvents(self.group, self.after))
        if isinstance(answer, Events):
            self.after = answer.revision
        elif isinstance(answer, HistoryDropped):
            self.after = 0
        return answer


MakeApplication = Callable[[str], Application]


class Applications:
    """The applications of a run, and what they ask for at its end."""

    def __init__(self, make: MakeApplication, names: Names, users: int = 2) -> None:
        """``users``: how many there are of each kind."""
        self.names = names
        self.last = make("app-last")
        self.watchers = [
            Watcher(make(f"app-watch-{group}{pause:g}"), group, pause)
            for group in sorted({*map(group_of, names.all_keys())})
            for pause in WATCHER_PAUSES_SECONDS
        ]
        self.users: list[LockUser | NumberUser | KeyUser | Watcher] = [*self.watchers]
        for number in range(users):
            self.users.append(LockUser(make(f"app-lock-{number}"), names))
            self.users.append(NumberUser(make(f"app-number-{number}"), names))
            self.users.append(KeyUser(make(f"app-key-{number}"), names))

    def start(self, start_soon: Callable[[Callable[[], Awaitable[None]]], None]) -> None:
        """Start all of them."""
        for user in self.users:
            start_soon(user.run)

    def given_up(self) -> list[Call]:
        """The calls that got no clear answer in time."""
        return [asked for user in self.users for asked in user.application.given_up] + self.last.given_up

    async def read_back(self) -> list[Call]:
        """Ask for everything once more: keys, numbers, locks, watches from their last revisions. Returns the calls that
        got no answer."""
        application = self.last
        for key in self.names.all_keys():
            await application.ask(ReadKey(key))
        for number in range(self.names.numbers):
            await application.ask(NextNumber(f"n{number}"))
        for lock in range(self.names.locks):
            await application.ask(TakeLock(f"l{lock}", application.name, LockUser.HOLD_MS[0]))
        for watcher in self.watchers:
            if watcher.after:
                await application.ask(ReadEvents(watcher.group, watcher.after))
        return application.given_up
