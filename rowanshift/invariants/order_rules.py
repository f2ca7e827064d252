"""Checks of the operator's orders at the core: an order that was taken is never refused afterwards, and only the
primary of the newest epoch acknowledges one (both CONFIG)."""

from collections import defaultdict

from rowanshift.invariants.breaches import Breach, Facts, by, of_kind
from rowanshift.invariants.facts import ConfigAnswered, ConfigSent, OrderReplied, PrimaryBecame, Resumed, digest_of

ANSWER_TRAVELS = 0.05  # seconds that an answer may be under way to the operator


def refused_again(facts: Facts) -> list[Breach]:
    """CONFIG: a configuration that was acknowledged is sent again as it was, and refused, whether the operator
    got the first acknowledgement or not."""
    order_of = {
        sent.call: (sent.base, digest_of(repr((sent.config, sent.patch)))) for sent in of_kind(facts, ConfigSent)
    }
    sent_at = {sent.call: sent.at for sent in of_kind(facts, ConfigSent)}
    answers: dict[tuple[int, str], list[tuple[float, float, str, int]]] = defaultdict(list)
    for reply in of_kind(facts, OrderReplied):
        if reply.call in order_of:
            answers[order_of[reply.call]].append((reply.at, reply.sent_at, reply.call, reply.status))
    for end in of_kind(facts, ConfigAnswered):
        if end.call in order_of:
            answers[order_of[end.call]].append((end.at, sent_at[end.call], end.call, end.status))
    broken: list[Breach] = []
    for rows in answers.values():
        taken = min((at for at, _, _, status in rows if status == 200), default=float("inf"))
        refusals = [row for row in sorted(rows) if 400 <= row[3] < 500 and row[1] >= taken]
        broken += [
            Breach("CONFIG", at, (call,), f"sent again and answered {status}, acknowledged at {taken:.3f} s")
            for at, _, call, status in refusals[:1]
        ]
    return broken


def acknowledged_by_deposed(facts: Facts, thaw: float) -> list[Breach]:
    """CONFIG: an order is acknowledged by a machine that is not the primary of the newest epoch. What a machine
    sends within ``thaw`` seconds after it goes on, or a link of its is mended, may have been on its way before."""
    became = of_kind(facts, PrimaryBecame)
    resumed = by(of_kind(facts, Resumed), lambda fact: fact.control)
    configs = {sent.call for sent in of_kind(facts, ConfigSent)}
    broken: list[Breach] = []
    for reply in of_kind(facts, OrderReplied):
        if reply.status != 200 or reply.call not in configs:
            continue
        before = [one for one in became if one.at <= reply.at - ANSWER_TRAVELS]
        newest = max(before, key=lambda one: one.epoch, default=None)
        since = [one for one in became if one.at <= reply.at and newest and one.epoch >= newest.epoch]
        late = any(one.at <= reply.at <= one.at + thaw for one in resumed.get(reply.control, ()))
        if newest is None or late or reply.control in {one.control for one in since}:
            continue
        why = f"{reply.control} acknowledged it; {newest.control} is primary of epoch {newest.epoch}"
        broken.append(Breach("CONFIG", reply.at, (reply.call,), why))
    return broken
