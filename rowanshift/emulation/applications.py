"""Emulated applications that use locks, numbers and keys as real services do, including crashed and stalled lock
holders."""

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

WATCHER_MAX_PAUSES_SECONDS = (0.0, 2.0)  # each group has one watcher for each of these longest pauses between polls


@dataclass(frozen=True, slots=True)
class Names:
    """How many locks, numbers, groups and keys the applications of a run use."""

    locks: int = 4
    numbers: int = 2
    groups: int = 2
    keys: int = 4  # in each group

    def all_keys(self) -> list[str]:
        """The keys of all groups."""
        return [f"g{group}.k{key}" for group in range(self.groups) for key in range(self.keys)]


class LockUser:
    """Takes locks and renews and releases them; sometimes it abandons a lock or sleeps beyond the hold time."""

    HOLD_MS = (300, 1000, 2500)
    SLEEP_SHARE = 0.1  # share of holds in which the holder sleeps beyond the hold time
    ABANDON_SHARE = 0.1  # share of holds that are neither renewed nor released, as after a crash of the holder

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names

    async def run(self) -> None:
        """Take locks in a loop, one at a time."""
        application, random_source = self.application, self.application.random_source
        while True:
            lock, hold_ms = f"l{random_source.randrange(self.names.locks)}", random_source.choice(self.HOLD_MS)
            answer = await application.ask(TakeLock(lock, application.name, hold_ms))
            if isinstance(answer, LockTaken):
                await self._hold(lock, answer.token, hold_ms)
            await application.host.pause(0.3 * random_source.random())

    async def _hold(self, lock: str, token: int, hold_ms: int) -> None:
        application, random_source = self.application, self.application.random_source
        draw = random_source.random()
        if draw < self.ABANDON_SHARE:
            return
        if draw < self.ABANDON_SHARE + self.SLEEP_SHARE:
            await application.host.pause(1.5 * hold_ms / 1000)
        for _ in range(random_source.choice((0, 0, 1, 4))):
            await application.host.pause(hold_ms / 3000)
            renewed = await application.ask(RenewLock(lock, application.name, token, hold_ms))
            if not isinstance(renewed, LockRenewed):
                break
        await application.ask(ReleaseLock(lock, application.name, token))


class NumberUser:
    """Draws numbers from the sequences of the coordination API."""

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names

    async def run(self) -> None:
        """Draw numbers in a loop."""
        random_source = self.application.random_source
        while True:
            await self.application.ask(NextNumber(f"n{random_source.randrange(self.names.numbers)}"))
            await self.application.host.pause(0.3 * random_source.random())


class KeyUser:
    """Reads keys and puts them, mostly on condition of the last known revision."""

    UNCONDITIONAL_SHARE = 0.1  # share of puts without an expected revision

    def __init__(self, application: Application, names: Names) -> None:
        self.application = application
        self.names = names
        self.puts = 0
        self.known_revisions: dict[str, int] = {}  # by key; 0 for a missing key

    async def run(self) -> None:
        """Read or put random keys in a loop."""
        application, random_source = self.application, self.application.random_source
        while True:
            key = random_source.choice(self.names.all_keys())
            if random_source.random() < 0.5 or key not in self.known_revisions:
                self._record_revision(key, await application.ask(ReadKey(key)))
            else:
                await self._put(key)
            await application.host.pause(0.2 * random_source.random())

    async def _put(self, key: str) -> None:
        application = self.application
        self.puts += 1
        unconditional = application.random_source.random() < self.UNCONDITIONAL_SHARE
        expected = None if unconditional else self.known_revisions[key]
        self._record_revision(key, await application.ask(PutKey(key, f"{application.name}/{self.puts}", expected)))

    def _record_revision(self, key: str, answer: Answer | None) -> None:
        match answer:
            case KeyFound(_, revision) | KeyPut(revision) | RevisionConflict(revision):
                self.known_revisions[key] = revision
            case KeyMissing():
                self.known_revisions[key] = 0


class Watcher:
    """Watches a group from its current revision on; pauses up to ``max_pause_seconds`` between polls."""

    def __init__(self, application: Application, group: str, max_pause_seconds: float = 0.0) -> None:
        self.application = application
        self.group = group
        self.max_pause_seconds = max_pause_seconds
        self.after = 0

    async def run(self) -> None:
        """Poll in a loop until cancelled."""
        application = self.application
        while True:
            await self.poll_once()
            pause = self.max_pause_seconds * application.random_source.random()
            await application.host.pause(pause if self.after else RETRY_SECONDS)

    async def poll_once(self) -> Answer | None:
        """Poll once for events after the last known revision."""
        answer = await self.application.ask(ReadEvents(self.group, self.after))
        if isinstance(answer, Events):
            self.after = answer.revision
        elif isinstance(answer, HistoryDropped):
            self.after = 0
        return answer


MakeApplication = Callable[[str], Application]


class Applications:
    """The applications of a run, and the reads that check the state at its end."""

    def __init__(self, make: MakeApplication, names: Names, users: int = 2) -> None:
        """``users`` is the number of lock, number and key users each."""
        self.names = names
        self.final_reader = make("app-last")
        self.watchers = [
            Watcher(make(f"app-watch-{group}{pause:g}"), group, pause)
            for group in sorted({*map(group_of, names.all_keys())})
            for pause in WATCHER_MAX_PAUSES_SECONDS
        ]
        self.users: list[LockUser | NumberUser | KeyUser | Watcher] = [*self.watchers]
        for number in range(users):
            self.users.append(LockUser(make(f"app-lock-{number}"), names))
            self.users.append(NumberUser(make(f"app-number-{number}"), names))
            self.users.append(KeyUser(make(f"app-key-{number}"), names))

    def start(self, start_soon: Callable[[Callable[[], Awaitable[None]]], None]) -> None:
        """Start all applications."""
        for user in self.users:
            start_soon(user.run)

    def unanswered_calls(self) -> list[Call]:
        """The calls of all applications that got no conclusive answer in time."""
        return [
            call for user in self.users for call in user.application.unanswered_calls
        ] + self.final_reader.unanswered_calls

    async def read_back(self) -> list[Call]:
        """Read all keys, draw from all numbers, take all locks and poll all watched groups once more.

        Returns the calls that got no conclusive answer."""
        application = self.final_reader
        for key in self.names.all_keys():
            await application.ask(ReadKey(key))
        for number in range(self.names.numbers):
            await application.ask(NextNumber(f"n{number}"))
        for lock in range(self.names.locks):
            await application.ask(TakeLock(f"l{lock}", application.name, LockUser.HOLD_MS[0]))
        for watcher in self.watchers:
            if watcher.after:
                await application.ask(ReadEvents(watcher.group, watcher.after))
        return application.unanswered_calls
