"""The protocol of the external test bench: translates its events to calls of ``Router``, and ``Results`` to replies."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from rowanshift.cacheproxy.decision.router import Router
from rowanshift.cacheproxy.model import Entry, Results
from rowanshift.cacheproxy.settings import SettingsError, settings_of

WRITE_BIT = 4  # in the state bits of an order


class WireError(Exception):
    """Invalid input; the message says what was wrong and where."""


class Instance:
    """A router under one name, over all its restarts."""

    def __init__(self, name: str, banks: dict[int, list[Entry]]) -> None:
        self.name, self.banks = name, banks
        self.router: Router | None = None
        self.calls: dict[str, Callable[..., None]] = {
            "start": self.start,
            "order": self.order,
            "result": self.result,
            "timer": self.timer,
            "directory_update": self.directory_update,
            "heard": self.heard,
            "streaming": self.streaming,
            "cancelled_by_client": self.cancelled_by_client,
            "probe_done": self.probe_done,
            "down": self.down,
        }

    def start(self, now: float, seed: int, data: dict[str, Any], *_: Any) -> None:
        try:
            self.router = Router(settings_of(data), seed, now)
        except SettingsError as error:
            raise WireError(f"start: {error}") from error

    def order(
        self,
        now: float,
        work_item: int,
        category: int,
        customer: int | None,
        key: str | None,
        left_us: int,
        _cost: Any = None,
        _size: Any = None,
        state_bits: int | None = 0,
        *_: Any,
    ) -> None:
        self.router.take(
            now, work_item, category, customer or 0, key, left_us / 1e6, bool((state_bits or 0) & WRITE_BIT)
        )

    def result(
        self,
        now: float,
        work_item: int,
        number: int,
        server: str,
        verdict: int,
        spent_us: int,
        final: bool,
        remark: int | None = None,
        *_: Any,
    ) -> None:
        self.router.answered(now, work_item, number, server, verdict, spent_us / 1e6, bool(final), remark)

    def timer(self, now: float, *_: Any) -> None:
        self.router.timer_expired(now)

    def directory_update(self, now: float, bank: int | None, scope: str, *_: Any) -> None:
        if scope != "failed" and bank not in self.banks:
            raise WireError(f"directory_update: no page was received for bank {bank!r}")
        self.router.list_changed(now, scope, [] if scope == "failed" else self.banks[bank])

    def heard(self, now: float, author: int, payload: str, *_: Any) -> None:
        self.router.tally_received(now, author, b64decode(payload))

    def streaming(self, now: float, work_item: int, *_: Any) -> None:
        self.router.streaming(now, work_item)

    def cancelled_by_client(self, now: float, work_item: int, *_: Any) -> None:
        self.router.client_left(now, work_item)

    def probe_done(self, now: float, *_: Any) -> None:
        """Ignored: the router sends no probes."""

    def down(self, now: float, *_: Any) -> None:
        self.router = None


def encode(results: Results) -> list[list[Any]]:
    out: list[list[Any]] = [
        ["try", work_item, round(timeout * 1e6), server] for work_item, timeout, server in results.hand_offs
    ]
    out += [["withdraw", work_item, number] for work_item, number in results.withdrawals]
    out += [
        [answer.value, work_item, round(delay * 1e6)] if answer.value == "bounce" else [answer.value, work_item]
        for work_item, answer, delay in results.answers
    ]
    out += [
        ["notify", "*" if peer is None else peer, b64encode(payload).decode()] for peer, payload in results.messages
    ]
    out += [["ping", server] for server in results.probes]
    out += [["emit", line] for line in results.log]
    if results.subscribe:
        out.append(["stream_changes", True])
    if results.wake is not None:
        out.append(
            ["wake_at", "w", 1 + int(results.wake * 1e6)]
        )  # rounded up: at an early wake-up no timer would be due
    return out


class Wire:
    """All router instances of this process, and the server lists (pages) that they share."""

    def __init__(self) -> None:
        self.banks: dict[int, list[Entry]] = {}
        self.instances: dict[str, Instance] = {}

    def page(self, bank: int, entries: list[list[Any]], *_: Any) -> None:
        self.banks[bank] = [
            Entry(
                server,
                cell or 0,
                1.0 if heft is None else float(heft),
                zone or 0,
                health,
                kind or 0,
                (came_up or 0) / 1e6,
            )
            for cell, server, heft, zone, health, kind, came_up, *_ in entries
        ]

    def answer(self, batch: dict[str, Any]) -> dict[str, Any]:
        now = batch["wall_us"] / 1e6
        parts = []
        for part in batch["parts"]:
            name = part["i"]
            instance = self.instances.get(name)
            if instance is None:
                instance = self.instances[name] = Instance(name, self.banks)
            calls = instance.calls
            for item in part["items"]:
                event = item[0]
                if event == "page":
                    self.page(*item[1:])
                    continue
                call = calls.get(event)
                if call is None:
                    raise WireError(f"{name}: unknown event {event!r}")
                if instance.router is None and event != "start":
                    raise WireError(f"{name}: {event} event before start")
                try:
                    call(now, *item[1:])
                except (TypeError, ValueError, LookupError, AttributeError) as error:
                    raise WireError(f"{name}: invalid {event} event: {error!r}") from error
            if instance.router is not None and (results := instance.router.drain()):
                parts.append({"i": name, "output": encode(results)})
        return {"parts": parts}


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    wire = Wire()
    for number, line in enumerate(source, 1):
        try:
            batch = orjson.loads(line)
            reply = wire.answer(batch)
        except orjson.JSONDecodeError as error:
            raise WireError(f"line {number}: not JSON: {error}") from error
        except (KeyError, TypeError) as error:
            raise WireError(f"line {number}: not a batch: {error!r}") from error
        except WireError as error:
            raise WireError(f"line {number}: {error}") from error
        sink.write(orjson.dumps(reply) + b"\n")
        sink.flush()
