"""Checks the recorded events of a soak run against the system's guarantees, without a clock or calls to the system.

The checks of ``rowanshift.invariants`` that hold for every machine at any time run unchanged. Rules with a time bound
that applies only to reachable machines are left to the fleet simulation, which knows exactly which machines were
reachable; the exception is VERSION, which is checked in undisturbed intervals (``versions``). This module adds the
checks that need real processes: exit codes, logs, each request around a fault, and the configuration at the end.
"""

import re
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rowanshift.invariants import system as rules
from rowanshift.invariants.breaches import Facts, Violation, by_id, of_kind
from rowanshift.invariants.configuration_rules import SentConfigurations
from rowanshift.invariants.coordination_rules import check_coordination
from rowanshift.invariants.facts import Answered, Asked, Began, ConfigSent, Finished, Lost, Reached
from rowanshift.invariants.planned_work_rules import SERVER_ENDED, time_limit
from rowanshift.simulation.fleet_settings import CONTACT, HISTORY, RULES
from rowanshift.soak.layout import GRACE_S
from rowanshift.soak.plan import CLIENTS, PLANNED_WORK, SYSTEM, FaultKind
from rowanshift.soak.records import (
    Lagged,
    ProcessEnded,
    ProcessSignalled,
    ProcessStarted,
    ReadBack,
    Recovered,
    Stalled,
    TroubleMet,
)
from rowanshift.soak.versions import version_violations

MAX_SENT_AFTER_SIGTERM_S = 3.0  # a shutdown may cut a request only if it was sent at most this long after SIGTERM
GRACE_END_FRACTION = 1 / 6  # last part of the grace; a request that a server still processes then may be cut
CUT_AFTER_GRACE_S = 1.0  # a cut up to this long after the grace is attributed to the SIGTERM
DEADLINE_ROUNDING_S = 0.002  # a deadline is sent in whole milliseconds and may lose this much by rounding
MIN_SERVED_FRACTION = 0.25  # of the requests after the last fault that must be answered with success
EXIT_SLACK_S = 0.25  # delay with which the exit of a process may be noticed
CLOSE_TO_EXIT_S = 0.5  # from the closing of a process's sockets until its exit is noticed
SIGKILL_EXIT_CODE = -9
TRACEBACK = "Traceback (most recent call last)"
REQUEST_READ = re.compile(r"event=request_read request=(\S+)")
SELF_REPORTED = re.compile(r"event=(request_cut|call_cut)")  # violations that a process logs about itself
MAX_LINE_CHARACTERS = 200  # of a log line quoted in a violation

OWN_END, EXIT, LOG, CUT = "OWN END", "EXIT", "LOG", "CUT"
LOST_CONFIGURATION, STALLED, RECOVER = "LOST CONFIGURATION", "STALLED", "RECOVER"


@dataclass(slots=True)
class Life:
    """One life of a machine's process, from start to exit, with the signals sent to it."""

    started: ProcessStarted
    signals: list[ProcessSignalled] = field(default_factory=list)
    ended: ProcessEnded | None = None

    def first_signal_at(self, name: str) -> float | None:
        """The time at which a signal was first sent to it; ``None`` if never."""
        return next((one.at for one in self.signals if one.signal == name), None)

    def was_killed(self, since: float, until: float) -> bool:
        """Whether it was killed between the two times."""
        return any(one.signal == "SIGKILL" and since <= one.at <= until for one in self.signals)

    def was_paused(self, since: float, until: float) -> bool:
        """Whether it was stopped by SIGSTOP at any moment between the two times."""
        stopped_at = None
        for one in self.signals:
            if one.signal == "SIGSTOP" and stopped_at is None:
                stopped_at = one.at
            elif one.signal == "SIGCONT" and stopped_at is not None:
                if stopped_at <= until and one.at >= since:
                    return True
                stopped_at = None
        return stopped_at is not None and stopped_at <= until

    @property
    def until(self) -> float:
        """The time of its exit; infinite while it runs."""
        return self.ended.at if self.ended is not None else float("inf")


def process_lives(events: Facts) -> list[Life]:
    """All lives of all processes, in order of their starts."""
    lives = {(one.machine, one.life): Life(one) for one in of_kind(events, ProcessStarted)}
    for signalled in of_kind(events, ProcessSignalled):
        lives[signalled.machine, signalled.life].signals.append(signalled)
    for ended in of_kind(events, ProcessEnded):
        lives[ended.machine, ended.life].ended = ended
    return [*lives.values()]


class UnplannedFaults:
    """The unplanned faults of a run, and the routers and servers that they affected."""

    def __init__(self, events: Facts) -> None:
        self.faults = [one for one in of_kind(events, TroubleMet) if one.trouble not in PLANNED_WORK]

    def affected_machine(self, name: str, since: float, until: float) -> bool:
        """Whether a fault affected a machine or one of its links between the two times or up to ``CONTACT`` before."""
        return any(self._affects(one, name) for one in self._within(since - CONTACT, until))

    def affected_server_link(self, name: str, since: float, until: float) -> bool:
        """Whether a fault affected the link to a model server between the two times or up to ``CONTACT`` before."""
        return any(
            link.caller == SYSTEM and link.target == name
            for one in self._within(since - CONTACT, until)
            for link in one.links
        )

    def _within(self, since: float, until: float) -> list[TroubleMet]:
        return [one for one in self.faults if one.at <= until and one.until >= since]

    @staticmethod
    def _affects(fault: TroubleMet, name: str) -> bool:
        if fault.trouble is FaultKind.WIPE:
            return True  # every process is killed
        endpoints = {end for link in fault.links for end in (link.caller, link.target)}
        return name in fault.machines or name in endpoints - {CLIENTS, SYSTEM}


# processes --------------------------------------------------


def exit_violations(events: Facts) -> list[Violation]:
    """EXIT: a process does not exit with code 0 within the grace after SIGTERM. If it was killed or paused before the
    end of the grace, the time limit does not apply, and the exit code of SIGKILL is accepted.

    OWN END: a process exits without having been sent SIGTERM or SIGKILL."""
    violations: list[Violation] = []
    for life in process_lives(events):
        name = f"{life.started.machine}.{life.started.life}"
        sigterm_at, killed = life.first_signal_at("SIGTERM"), life.first_signal_at("SIGKILL")
        if sigterm_at is not None:
            why = _bad_exit(life, sigterm_at)
            violations += [Violation(EXIT, sigterm_at, (name,), why)] if why else []
        elif life.ended is not None and not (killed is not None and life.ended.code == SIGKILL_EXIT_CODE):
            violations.append(
                Violation(OWN_END, life.ended.at, (name,), f"exited unprompted with code {life.ended.code}")
            )
    return violations


def _bad_exit(life: Life, sigterm_at: float) -> str:
    """Why the exit of a process after SIGTERM is a violation; empty if it is none or a fault explains it."""
    age = f"{sigterm_at - life.started.at:.2f} s after its start"
    killed = life.was_killed(sigterm_at, sigterm_at + GRACE_S)
    paused = life.was_paused(sigterm_at, sigterm_at + GRACE_S)
    if life.ended is None:
        return f"did not exit; SIGTERM came {age}"
    took, code = life.ended.at - sigterm_at, life.ended.code
    again = [one.at for one in life.signals if one.signal == "SIGTERM"][1:]
    if again:
        age += f", and again {again[-1] - sigterm_at:.2f} s later"
    if code == SIGKILL_EXIT_CODE and (killed or paused):
        return ""
    if code != 0:
        return f"ended with {code} after {took:.2f} s; SIGTERM came {age}"
    if took > GRACE_S + EXIT_SLACK_S and not paused:
        return f"exited {took:.2f} s after SIGTERM, the grace is {GRACE_S:g} s"
    return ""


def log_violations(events: Facts, folder: Path) -> list[Violation]:
    """LOG: a log holds a traceback, or a process that no unplanned fault affected logs a violation of its own."""
    faults, violations = UnplannedFaults(events), []
    for life in process_lives(events):
        path = folder / life.started.log
        text = path.read_text(errors="replace") if path.exists() else ""
        undisturbed = not faults.affected_machine(life.started.machine, life.started.at, life.until)
        found = [
            line for line in text.splitlines() if TRACEBACK in line or (undisturbed and SELF_REPORTED.search(line))
        ]
        if found:
            why = f"{len(found)} matching lines, the first: {found[0].strip()[:MAX_LINE_CHARACTERS]}"
            violations.append(Violation(LOG, life.started.at, (life.started.log,), why))
    return violations


# configuration ----------------------------------------------


def configuration_violations(events: Facts) -> list[Violation]:
    """LOST CONFIGURATION: at the end of the run the configuration is older than the newest acknowledged one, can not be
    read, or differs from what was sent under its revision."""
    configs, reads = SentConfigurations.among(events), of_kind(events, ReadBack)
    if not reads:
        return []  # the run ended before the configuration was read back, which is a violation of its own
    read = reads[-1]
    newest = configs.newest_acked(read.at)
    if read.config is None:
        return [
            Violation(LOST_CONFIGURATION, read.at, (), f"not readable, although revision {newest} was acknowledged")
        ]
    revision = read.config.get("revision", 0)
    if revision < newest:
        return [
            Violation(LOST_CONFIGURATION, read.at, (str(revision),), f"older than the acknowledged revision {newest}")
        ]
    if read.config not in [one.config for one in of_kind(events, ConfigSent) if one.revision == revision]:
        return [Violation(LOST_CONFIGURATION, read.at, (str(revision),), "differs from what was sent as this revision")]
    return []


# requests ---------------------------------------------------


def requests_read(events: Facts, folder: Path) -> set[str] | None:
    """The ids of the requests that a router logged as fully read; ``None`` if there is no router log."""
    names = [folder / life.started.log for life in process_lives(events) if life.started.front]
    texts = [name.read_text(errors="replace") for name in names if name.exists()]
    return {id for text in texts for id in REQUEST_READ.findall(text)} if texts else None


class RequestHistory:
    """The recorded events of each request, by its id. ``read`` holds the ids of the requests that a router has fully
    read; ``None`` if that is unknown."""

    def __init__(self, events: Facts, read: set[str] | None = None) -> None:
        self.read = read
        self.events, self.configs, self.faults = events, SentConfigurations.among(events), UnplannedFaults(events)
        self.asked, self.reached = by_id(events, Asked), by_id(events, Reached)
        self.began, self.finished = by_id(events, Began), by_id(events, Finished)
        self.routers = {one.front: one.machine for one in of_kind(events, ProcessStarted) if one.front}
        self.lags = of_kind(events, Lagged)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        # Only the first SIGTERM of each life counts, as a second one does not extend the grace.
        self.sigterms: dict[str, list[float]] = defaultdict(list)
        for life in process_lives(events):
            self.lives[life.started.machine].append(life)
            if (sigterm_at := life.first_signal_at("SIGTERM")) is not None:
                self.sigterms[life.started.machine].append(sigterm_at)

    def cut_violations(self) -> list[Violation]:
        """CUT: a router that no unplanned fault affected closes the connection of a request that it has read before the
        answer is complete, and neither the server nor the request's deadline is the cause."""
        violations = []
        for end in [*of_kind(self.events, Lost), *of_kind(self.events, Answered)]:
            if (request := self.asked.get(end.id, [None])[0]) is None or not self._ended_early(end, request):
                continue
            router = self.routers[request.front]
            if self._is_allowed(end, request, router):
                continue
            violations.append(Violation(CUT, end.at, (end.id,), self._describe(end, request, router)))
        return violations

    def _ended_early(self, end: Lost | Answered, request: Asked) -> bool:
        """Whether the router closed the connection before a complete answer, although it had read the request."""
        if isinstance(end, Answered):
            return not end.whole and not end.left
        slack = RULES.loss_slack + sum(one.seconds for one in self.lags if request.at <= one.at <= end.at + one.seconds)
        if end.how != "closed":
            return False
        if self.reached.get(end.id):
            return True
        if self.read is not None and end.id not in self.read:
            return False
        return self._readable_seconds(end, request) > slack

    def _readable_seconds(self, end: Lost, request: Asked) -> float:
        """The longest time, between the sending of a request and the end of its connection, in which one life of the
        router could have read it. A process reads nothing once it has closed its sockets."""
        lives = self.lives[self.routers[request.front]]
        spans = [min(end.at, life.until - CLOSE_TO_EXIT_S) - max(request.at, life.started.at) for life in lives]
        return max([0.0, *spans])

    def _is_allowed(self, end: Lost | Answered, request: Asked, router: str) -> bool:
        if end.at + DEADLINE_ROUNDING_S >= request.at + time_limit(self.configs, request):
            return True
        if self.faults.affected_machine(router, request.at, end.at):
            return True
        return self._server_broke_off(end, request) or self._worked_until_grace_end(end, request, router)

    def _server_broke_off(self, end: Lost | Answered, request: Asked) -> bool:
        if any(finish.how in SERVER_ENDED and finish.at <= end.at for finish in self.finished.get(end.id, ())):
            return True
        servers = {reached.instance for reached in self.reached.get(end.id, ())}
        return any(self.faults.affected_server_link(server, request.at, end.at) for server in servers)

    def _worked_until_grace_end(self, end: Lost | Answered, request: Asked, router: str) -> bool:
        """Whether a server still processed the request in the last part of the grace, and the request was sent early
        enough: at most ``MAX_SENT_AFTER_SIGTERM_S`` after SIGTERM."""
        finish_times = [one.at for one in self.finished.get(end.id, ())]
        work_until = min([end.at, *finish_times]) if self.began.get(end.id) else float("-inf")
        return any(
            sigterm_at + GRACE_S * (1 - GRACE_END_FRACTION) <= work_until <= sigterm_at + GRACE_S + CUT_AFTER_GRACE_S
            and request.at <= sigterm_at + MAX_SENT_AFTER_SIGTERM_S
            for sigterm_at in self.sigterms[router]
        )

    def _describe(self, end: Lost | Answered, request: Asked, router: str) -> str:
        outcome = f"status {end.status}, broken off" if isinstance(end, Answered) else end.how
        destination = f"reached {self.reached[end.id][0].instance}" if self.reached.get(end.id) else "not passed on"
        before = [sigterm_at for sigterm_at in self.sigterms[router] if sigterm_at <= end.at]
        signalled = (
            f"sent {request.at - before[-1]:.2f} s and cut {end.at - before[-1]:.2f} s after SIGTERM"
            if before
            else "no SIGTERM before"
        )
        return f"{router}: {outcome}, {destination}, {signalled}"


# the whole run ---------------------------------------------


def stall_violations(events: Facts) -> list[Violation]:
    """STALLED: the system did not reach a required state in time, for example ready after its start or after faults."""
    return [Violation(STALLED, one.at, (), one.what) for one in of_kind(events, Stalled)]


def recovery_violations(events: Facts) -> list[Violation]:
    """RECOVER: in the last stretch of load less than ``MIN_SERVED_FRACTION`` of the requests are served. After all
    routers are ready again, that is the first stretch which reaches this fraction, or the one in which the recovery
    timeout expires."""
    ready, read_back = of_kind(events, Recovered), of_kind(events, ReadBack)
    if not ready or not read_back:
        return []
    served = served_fraction(events, ready[0].at, read_back[0].at)
    if served >= MIN_SERVED_FRACTION:
        return []
    return [Violation(RECOVER, read_back[0].at, (), f"{served:.2f} of the requests were served")]


def served_fraction(events: Facts, since: float, until: float) -> float:
    """The fraction of the requests sent between the two times that got a complete, successful answer; 0 if none was
    sent."""
    sent = {one.id for one in of_kind(events, Asked) if since <= one.at < until}
    complete_ids = {end.id for end in of_kind(events, Answered) if end.whole and 200 <= end.status < 300}
    return len(complete_ids & sent) / len(sent) if sent else 0.0


def shared_rule_violations(events: Facts) -> list[Violation]:
    """Violations of the rules of ``rowanshift.invariants`` that apply whether or not a machine was reachable."""
    return [found for found in rules.check(events, RULES) if not found.bounded and found.rule != "LOST"]


def check(events: Facts, log_folder: Path) -> list[Violation]:
    """Runs every check over a run's recorded events and logs; the violations in order of time."""
    found = [
        *exit_violations(events),
        *log_violations(events, log_folder),
        *configuration_violations(events),
        *RequestHistory(events, requests_read(events, log_folder)).cut_violations(),
        *stall_violations(events),
        *recovery_violations(events),
        *version_violations(events),
        *check_coordination(events, HISTORY),
        *shared_rule_violations(events),
    ]
    return sorted(found, key=lambda violation: violation.at)
