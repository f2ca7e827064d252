"""Checks that routers lose no requests: LOST during planned maintenance, and on reused connections at any time."""

from collections import defaultdict
from dataclasses import dataclass, field

from rowanshift.invariants.breaches import NO_FAULTS, Bounds, Facts, KnownFaults, Violation, by_id, of_kind
from rowanshift.invariants.configuration_rules import SentConfigurations, route_of
from rowanshift.invariants.facts import (
    Answered,
    Asked,
    Began,
    ConfigAnswered,
    Finished,
    Lost,
    Reached,
    Signalled,
)

SIGTERM_MARGIN_SECONDS = 1.0  # beyond the grace period, in which a cut counts as caused by SIGTERM
LONG_REQUEST_SENT_SECONDS = 3.0  # after SIGTERM, until which a request must be sent to be exempt as a long one
LONG_REQUEST_GRACE_PART = 5 / 6  # of the grace, until which a server must be at work for that exemption
MAX_KEPT_CONNECTION_CUTS = 3  # requests on reused connections that a machine may leave unanswered
CONFIG_MARGIN_SECONDS = 1.0  # beyond the time limit for applying a configuration, in which cuts count as caused by it
MAX_CUT_RATE_RATIO = 3.0  # of the share of requests cut around configurations to that at other times
USED_TIME_PART = 0.7  # of a request's time limit, after which a cut around a configuration does not count
SERVER_ENDED = frozenset(["crash", "failed", "reset", "answer lost", "deadline"])  # ends of runs that the server caused

Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection the router closed without a complete answer."""

    at: float
    asked: Asked
    processing: tuple[Span, ...]  # time spans in which servers processed it, up to the cut
    accepted: bool = False  # a server accepted it
    answered: bool = False  # part of an answer had been received

    def within(self, spans: list[Span]) -> bool:
        """Whether the cut lies in any of the time spans."""
        return any(since <= self.at <= until for since, until in spans)

    def was_processed(self, since: float, until: float) -> bool:
        """Whether a server processed it at any time between ``since`` and ``until``."""
        return any(began <= until and ended >= since for began, ended in self.processing)


@dataclass(slots=True)
class RouterHistory:
    """The signals and request ends of the router at one address."""

    sigterms: list[float] = field(default_factory=list)
    sighups: list[float] = field(default_factory=list)
    ends: list[tuple[float, CutRequest | None]] = field(default_factory=list)  # time and, if it was cut, the request


def time_limit(configs: SentConfigurations, asked: Asked) -> float:
    """The time limit of a request in seconds: the lesser of its client's deadline and its route's timeout."""
    limits = [asked.within]
    for sent in configs.possibly_in_force(asked.at, asked.at):
        found = route_of(sent.config, asked.host, asked.target)
        if found is not None and "timeoutMs" in found:
            limits.append(found["timeoutMs"] / 1000)
    return min(limits)


def router_histories(facts: Facts, configs: SentConfigurations, slack: float) -> dict[str, RouterHistory]:
    """Collect the routers by the address at which they serve clients, with the ends of all their requests."""
    routers: dict[str, RouterHistory] = defaultdict(RouterHistory)
    for fact in of_kind(facts, Signalled):
        router = routers[fact.front]
        (router.sigterms if fact.signal == "SIGTERM" else router.sighups).append(fact.at)
    asked, reached = by_id(facts, Asked), by_id(facts, Reached)
    began, finished = by_id(facts, Began), by_id(facts, Finished)
    ends: list[Lost | Answered] = [*of_kind(facts, Lost), *of_kind(facts, Answered)]
    for end in ends:
        if end.id not in asked:
            continue
        request = asked[end.id][0]
        cut = None
        arrivals = reached.get(end.id, [])
        if _was_cut(end, request, bool(arrivals), slack) and end.at < request.at + time_limit(configs, request):
            accepted = any(not arrival.refused for arrival in arrivals)
            cut = _cut_request(end, request, began.get(end.id, []), finished.get(end.id, []), accepted)
        routers[request.front].ends.append((end.at, cut))
    return routers


def _was_cut(end: Lost | Answered, asked: Asked, passed_on: bool, slack: float) -> bool:
    """Whether the router closed the connection without a complete answer after it had read the request."""
    if isinstance(end, Answered):
        return not end.whole and not end.left
    return end.how == "closed" and (passed_on or end.at > asked.at + slack)


def _cut_request(
    end: Lost | Answered, asked: Asked, runs: list[Began], finished_runs: list[Finished], accepted: bool
) -> CutRequest | None:
    """Create the record of a cut request; None if the server caused the cut."""
    if any(one.how in SERVER_ENDED and one.at <= end.at for one in finished_runs):
        return None
    finished = {one.run: one.at for one in finished_runs}
    processing = tuple((run.at, min(end.at, finished.get(run.run, end.at))) for run in runs if run.at <= end.at)
    return CutRequest(end.at, asked, processing, accepted or bool(runs), isinstance(end, Answered))


def lost(facts: Facts, bounds: Bounds) -> list[Violation]:
    """LOST: during planned maintenance a router closes the connection of a request that it has read, without a complete
    answer. A request counts as read once it was passed on to a server, or ``loss_slack`` seconds after it was sent.
    The caller must exclude requests affected by unplanned faults."""
    configs = SentConfigurations.among(facts)
    broken: list[Violation] = []
    for front, router in router_histories(facts, configs, bounds.loss_slack).items():
        cuts = [cut for _, cut in router.ends if cut is not None]
        broken += [
            Violation("LOST", cut.at, (cut.asked.id,), f"{front} cut it, {why}")
            for cut in cuts
            if (why := _signal_cause(cut, router, bounds))
        ]
        broken += _around_configurations(front, router, configs, facts, bounds)
    return broken


def lost_on_kept_connections(facts: Facts, bounds: Bounds, troubles: KnownFaults = NO_FAULTS) -> list[Violation]:
    """LOST: a connected machine closes more than ``MAX_KEPT_CONNECTION_CUTS`` reused connections without an answer
    after a healthy server accepted the request. Each further one is a violation."""
    broken: list[Violation] = []
    for front, router in router_histories(facts, SentConfigurations.among(facts), bounds.loss_slack).items():
        cuts = [
            cut
            for _, cut in sorted(router.ends, key=lambda end: end[0])
            if cut is not None
            and cut.asked.kept
            and cut.accepted
            and not cut.answered
            and not troubles.out_of_touch(front, cut.asked.at, cut.at)
        ]
        broken += [
            Violation(
                "LOST", cut.at, (cut.asked.id,), f"{front} closed its kept connection without an answer, cut number {n}"
            )
            for n, cut in enumerate(cuts, 1)
            if n > MAX_KEPT_CONNECTION_CUTS
        ]
    return broken


def _signal_cause(cut: CutRequest, router: RouterHistory, bounds: Bounds) -> str:
    """Describe the signal that caused the cut of a request; "" if there is none."""
    for at in router.sigterms:
        is_sent_early = cut.asked.at <= at + LONG_REQUEST_SENT_SECONDS
        is_long = cut.was_processed(at + bounds.grace * LONG_REQUEST_GRACE_PART, at + bounds.grace)
        if at <= cut.at <= at + bounds.grace + SIGTERM_MARGIN_SECONDS and not (is_sent_early and is_long):
            return f"after SIGTERM at {at:.3f} s"
    for at in router.sighups:
        if cut.asked.at <= at + bounds.config_apply and cut.at >= at:
            return f"after SIGHUP at {at:.3f} s"
    return ""


def _around_configurations(
    front: str, router: RouterHistory, configs: SentConfigurations, facts: Facts, bounds: Bounds
) -> list[Violation]:
    """Cuts around configurations, if their rate is over ``MAX_CUT_RATE_RATIO`` times the rate at other times."""
    spans = configuration_spans(configs, facts, bounds.config_apply)
    counts = {True: [0, 0], False: [0, 0]}  # numbers of ends and cuts, by whether in such a span
    cuts: list[CutRequest] = []
    for at, cut in router.ends:
        within = any(since <= at <= until for since, until in spans)
        counts[within][0] += 1
        is_nearly_expired = cut is not None and cut.at > cut.asked.at + USED_TIME_PART * time_limit(configs, cut.asked)
        if cut is None or is_nearly_expired:
            continue
        counts[within][1] += 1
        if within and not _signal_cause(cut, router, bounds):
            cuts.append(cut)
    share = {within: cut / total if total else 0.0 for within, (total, cut) in counts.items()}
    if share[True] <= MAX_CUT_RATE_RATIO * share[False]:
        return []
    return [
        Violation("LOST", cut.at, (cut.asked.id,), f"{front} cut it while a configuration was being applied")
        for cut in cuts
    ]


def configuration_spans(configs: SentConfigurations, facts: Facts, apply: float) -> list[Span]:
    """Time spans from the sending of each accepted configuration until it must have been applied."""
    answered = {end.call: end.at for end in of_kind(facts, ConfigAnswered)}
    return [
        (sent.at, answered.get(sent.call, float("inf")) + apply + CONFIG_MARGIN_SECONDS)
        for sent in configs.sent
        if sent.call not in configs.refused
    ]
