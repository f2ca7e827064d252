"""Checks of requests, their runs and their answers: TWICE, REFUSED, MIXED, UNASKED, ORDER."""

from rowanshift.invariants.breaches import Facts, Violation, by_id, of_kind
from rowanshift.invariants.facts import Answered, Asked, Began, Lost, Piece, Surplus, digest_of

PROMISES = frozenset([408, 421, 429, 503])  # the status guarantees that the request has not run and never will


def twice(facts: Facts) -> list[Violation]:
    """TWICE: a request that is not idempotent runs more than once."""
    asked = by_id(facts, Asked)
    return [
        Violation("TWICE", runs[1].at, (id,), f"ran as {', '.join(run.run for run in runs)}")
        for id, runs in by_id(facts, Began).items()
        if len(runs) > 1 and id in asked and not asked[id][0].repeatable
    ]


def refused(facts: Facts) -> list[Violation]:
    """REFUSED: a non-repeatable request runs although its answer guarantees that it never does."""
    asked, began = by_id(facts, Asked), by_id(facts, Began)
    return [
        Violation("REFUSED", end.at, (end.id,), f"answered {end.status}, but it ran at {began[end.id][0].at:.3f} s")
        for end in of_kind(facts, Answered)
        if end.status in PROMISES and end.id in began and end.id in asked and not asked[end.id][0].repeatable
    ]


def mixed(facts: Facts) -> list[Violation]:
    """MIXED: a success lacks the stamp of a run of its request, has another's body or id, or has no request."""
    asked, began, pieces = by_id(facts, Asked), by_id(facts, Began), by_id(facts, Piece)
    broken = [
        Violation("MIXED", fact.at, (fact.id,), f"received bytes without a request: {fact.data[:40]!r}")
        for fact in of_kind(facts, Surplus)
    ]
    broken += [
        Violation("MIXED", fact.at, (fact.id,), "received bytes that are not a valid answer")
        for fact in of_kind(facts, Lost)
        if fact.how == "garbled"
    ]
    for id, ends in by_id(facts, Answered).items():
        request = asked[id][0] if id in asked else None
        for n, end in enumerate(ends):
            if n:
                broken.append(Violation("MIXED", end.at, (id,), "received a second answer"))
            if end.echoed not in ("", id):
                broken.append(Violation("MIXED", end.at, (id, end.echoed), "received the answer to another request"))
            if not 200 <= end.status < 300:
                continue
            if end.stamp not in {run.stamp for run in began.get(id, ())}:
                broken.append(
                    Violation("MIXED", end.at, (id,), f"no run of the request has the answer's stamp {end.stamp!r}")
                )
            if end.echoed == "":
                broken.append(Violation("MIXED", end.at, (id,), "a success without the request id"))
        if request is None:
            broken.append(
                Violation("MIXED", ends[0].at, (id,), "received an answer, but no request with this id was sent")
            )
            continue
        expected = digest_of(request.method, request.target, request.body)
        runs = {run.run for run in began.get(id, ())}
        for piece in pieces.get(id, ()):
            if piece.of != expected or piece.run not in runs:
                broken.append(
                    Violation(
                        "MIXED", piece.at, (id,), f"received a piece of run {piece.run} for request digest {piece.of}"
                    )
                )
    return broken


def unasked(facts: Facts) -> list[Violation]:
    """UNASKED: a run has an id, method, target, body, host or tenant that no client sent, or has its key."""
    asked, broken = by_id(facts, Asked), []
    for run in of_kind(facts, Began):
        if run.id not in asked:
            broken.append(Violation("UNASKED", run.at, (run.id, run.instance), "no client sent a request with this id"))
            continue
        request = asked[run.id][0]
        differences = [
            name for name in ("method", "target", "body", "host") if getattr(run, name) != getattr(request, name)
        ]
        if run.tenant != request.tenant:
            differences.append(f"tenant {run.tenant!r} instead of {request.tenant!r}")
        if run.key:
            differences.append("the key was passed on")
        if differences:
            broken.append(Violation("UNASKED", run.at, (run.id, run.instance), ", ".join(differences)))
    return broken


def order(facts: Facts) -> list[Violation]:
    """ORDER: tokens are missing or duplicated, runs are spliced where that isn't allowed, or a stream ends early."""
    asked, pieces, broken = by_id(facts, Asked), by_id(facts, Piece), []
    ends = {end.id: end for end in of_kind(facts, Answered)}
    for id, received in pieces.items():
        request = asked.get(id, [None])[0]
        at = request.since if request else received[0].first
        for before, piece in zip([None, *received], received, strict=False):
            if piece.first != at:
                how = "duplicated" if piece.first < at else "missing"
                broken.append(Violation("ORDER", piece.at, (id,), f"tokens {at} to {piece.first} are {how}"))
            if before and before.run != piece.run and not (request and request.repeatable):
                broken.append(
                    Violation(
                        "ORDER",
                        piece.at,
                        (id,),
                        f"a piece of run {piece.run} follows one of {before.run}, but the request is not repeatable",
                    )
                )
            at = piece.last
        end = ends.get(id)
        if end and end.whole and not received[-1].final:
            broken.append(
                Violation("ORDER", end.at, (id,), f"ended as complete after token {at}, before the final piece")
            )
    return broken
