"""Checks of requests, their runs and their answers: TWICE, REFUSED, MIXED, UNASKED, ORDER."""

from rowanshift.invariants.breaches import Breach, Facts, by_id, of_kind
from rowanshift.invariants.facts import Answered, Asked, Began, Lost, Piece, Surplus, digest_of

PROMISES = frozenset([408, 421, 429, 503])  # the request has not run and never will


def twice(facts: Facts) -> list[Breach]:
    """TWICE: a request that is not idempotent runs more than once."""
    asked = by_id(facts, Asked)
    return [
        Breach("TWICE", runs[1].at, (id,), f"ran as {', '.join(run.run for run in runs)}")
        for id, runs in by_id(facts, Began).items()
        if len(runs) > 1 and id in asked and not asked[id][0].repeatable
    ]


def refused(facts: Facts) -> list[Breach]:
    """REFUSED: a promise that a request never runs, which ran or runs later and may not be repeated."""
    asked, began = by_id(facts, Asked), by_id(facts, Began)
    return [
        Breach("REFUSED", end.at, (end.id,), f"{end.status}, yet it ran at {began[end.id][0].at:.3f} s")
        for end in of_kind(facts, Answered)
        if end.status in PROMISES and end.id in began and end.id in asked and not asked[end.id][0].repeatable
    ]


def mixed(facts: Facts) -> list[Breach]:
    """MIXED: a success without the stamp of a run of this request, with another's body or id, or unasked."""
    asked, began, pieces = by_id(facts, Asked), by_id(facts, Began), by_id(facts, Piece)
    broken = [
        Breach("MIXED", fact.at, (fact.id,), f"unasked-for bytes {fact.data[:40]!r}")
        for fact in of_kind(facts, Surplus)
    ]
    broken += [
        Breach("MIXED", fact.at, (fact.id,), "bytes that are no answer")
        for fact in of_kind(facts, Lost)
        if fact.how == "garbled"
    ]
    for id, ends in by_id(facts, Answered).items():
        ours = asked[id][0] if id in asked else None
        for n, end in enumerate(ends):
            if n:
                broken.append(Breach("MIXED", end.at, (id,), "a second answer"))
            if end.echoed not in ("", id):
                broken.append(Breach("MIXED", end.at, (id, end.echoed), "the answer to another request"))
            if not 200 <= end.status < 300:
                continue
            if end.stamp not in {run.stamp for run in began.get(id, ())}:
                broken.append(Breach("MIXED", end.at, (id,), f"stamp {end.stamp!r} is of no run of it"))
            if end.echoed == "":
                broken.append(Breach("MIXED", end.at, (id,), "a success without the id"))
        if ours is None:
            broken.append(Breach("MIXED", ends[0].at, (id,), "an answer to nothing"))
            continue
        expected = digest_of(ours.method, ours.target, ours.body)
        runs = {run.run for run in began.get(id, ())}
        for piece in pieces.get(id, ()):
            if piece.of != expected or piece.run not in runs:
                broken.append(Breach("MIXED", piece.at, (id,), f"a piece of {piece.run}, made of {piece.of}"))
    return broken


def unasked(facts: Facts) -> list[Breach]:
    """UNASKED: a run with an id, method, target, body or tenant that no client sent, or with its key."""
    asked, broken = by_id(facts, Asked), []
    for run in of_kind(facts, Began):
        if run.id not in asked:
            broken.append(Breach("UNASKED", run.at, (run.id, run.instance), "an id that no client sent"))
            continue
        ours = asked[run.id][0]
        wrong = [name for name in ("method", "target", "body", "host") if getattr(run, name) != getattr(ours, name)]
        if run.tenant != ours.tenant:
            wrong.append(f"tenant {run.tenant!r} for {ours.tenant!r}")
        if run.key:
            wrong.append("the key was passed on")
        if wrong:
            broken.append(Breach("UNASKED", run.at, (run.id, run.instance), ", ".join(wrong)))
    return broken


def order(facts: Facts) -> list[Breach]:
    """ORDER: a piece absent or twice, runs spliced where that isn't allowed, an end before the last piece."""
    asked, pieces, broken = by_id(facts, Asked), by_id(facts, Piece), []
    ends = {end.id: end for end in of_kind(facts, Answered)}
    for id, got in pieces.items():
        ours = asked.get(id, [None])[0]
        at = ours.since if ours else got[0].first
        for before, piece in zip([None, *got], got, strict=False):
            if piece.first != at:
                how = "twice" if piece.first < at else "absent"
                broken.append(Breach("ORDER", piece.at, (id,), f"tokens {at} to {piece.first} are {how}"))
            if before and before.run != piece.run and not (ours and ours.repeatable):
                broken.append(Breach("ORDER", piece.at, (id,), f"{piece.run} behind {before.run}"))
            at = piece.last
        end = ends.get(id)
        if end and end.whole and not got[-1].final:
            broken.append(Breach("ORDER", end.at, (id,), f"ended as complete after token {at}"))
    return broken
