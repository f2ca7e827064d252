"""Checks of the operator's orders at the core: an accepted order is never refused afterwards, and only the primary of
the newest epoch acknowledges orders (both CONFIG)."""

from collections import defaultdict

from rowanshift.invariants.breaches import Facts, Violation, by, of_kind
from rowanshift.invariants.facts import ConfigAnswered, ConfigSent, OrderReplied, PrimaryBecame, Resumed, digest_of

ANSWER_TRANSIT_SECONDS = 0.05  # maximum delay of an answer to the operator


def refused_again(facts: Facts) -> list[Violation]:
    """CONFIG: an acknowledged configuration is sent again unchanged and refused, whether or not the operator received
    the first acknowledgement."""
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
    broken: list[Violation] = []
    for rows in answers.values():
        acknowledged_at = min((at for at, _, _, status in rows if status == 200), default=float("inf"))
        refusals = [row for row in sorted(rows) if 400 <= row[3] < 500 and row[1] >= acknowledged_at]
        broken += [
            Violation(
                "CONFIG",
                at,
                (call,),
                f"sent again and answered {status}, although acknowledged at {acknowledged_at:.3f} s",
            )
            for at, _, call, status in refusals[:1]
        ]
    return broken


def acknowledged_by_deposed(facts: Facts, thaw: float) -> list[Violation]:
    """CONFIG: an order is acknowledged by a machine that is not the primary of the newest epoch. An answer within
    ``thaw`` seconds after a pause or a link cut of the machine is exempt, since it may have been sent before."""
    primary_changes = of_kind(facts, PrimaryBecame)
    resumed = by(of_kind(facts, Resumed), lambda fact: fact.control)
    configs = {sent.call for sent in of_kind(facts, ConfigSent)}
    broken: list[Violation] = []
    for reply in of_kind(facts, OrderReplied):
        if reply.status != 200 or reply.call not in configs:
            continue
        before = [event for event in primary_changes if event.at <= reply.at - ANSWER_TRANSIT_SECONDS]
        newest = max(before, key=lambda event: event.epoch, default=None)
        primaries_since = [
            event for event in primary_changes if event.at <= reply.at and newest and event.epoch >= newest.epoch
        ]
        may_be_delayed = any(event.at <= reply.at <= event.at + thaw for event in resumed.get(reply.control, ()))
        if newest is None or may_be_delayed or reply.control in {event.control for event in primaries_since}:
            continue
        why = f"{reply.control} acknowledged it, but {newest.control} is primary of epoch {newest.epoch}"
        broken.append(Violation("CONFIG", reply.at, (reply.call,), why))
    return broken
