"""Decides over the records of a soak run whether the system kept its promises. No clock and no question to the system.

The checks of ``rowanshift.invariants`` that hold for every machine at any time run as they are. Rules with a time
bound for machines in touch are left to the simulated fleets, which know exactly who was in touch, but for VERSION in
calm stretches (``versions``). What real processes add is checked here: their ends, their logs, each request around
troubles, and the configuration at the end.
"""

import re
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rowanshift.invariants import system as rules
from rowanshift.invariants.breaches import Breach, Facts, by_id, of_kind
from rowanshift.invariants.configuration_rules import Configs
from rowanshift.invariants.coordination_rules import coordination
from rowanshift.invariants.facts import Answered, Asked, Began, ConfigSent, Finished, Lost, Reached
from rowanshift.invariants.planned_work_rules import SERVER_ENDED, time_limit
from rowanshift.simulation.fleet_settings import CONTACT, HISTORY, RULES
from rowanshift.soak.layout import GRACE
from rowanshift.soak.plan import CLIENTS, PLANNED, SYSTEM, TroubleKind
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
from rowanshift.soak.versions import versions

SENT_SOON = 3.0  # seconds after a SIGTERM within which a request must be sent whose cut may be excused
LAST_PART = 1 / 6  # of the grace, in which a server that is still at work excuses a cut
TERM_AFTER = 1.0  # seconds after the grace until which a cut belongs to a SIGTERM
ROUNDED = 0.002  # seconds that a deadline loses as it is told in whole milliseconds
SERVED_LEAST = 0.25  # part of the requests after the last trouble that is served
EXIT_SLACK = 0.25  # seconds by which an end may be noticed late
EXIT_TAKES = 0.5  # seconds from the close of a process's sockets until its end is noticed
KILLED = -9
TRACEBACK = "Traceback (most recent call last)"
READ = re.compile(r"event=request_read request=(\S+)")
REPORTED = re.compile(r"event=(request_cut|call_cut)")  # what a process says of its own breaches
LONGEST_SHOWN = 200  # characters of a log line

OWN_END, EXIT, LOG, CUT = "OWN END", "EXIT", "LOG", "CUT"
LOST_CONFIGURATION, STALLED, RECOVER = "LOST CONFIGURATION", "STALLED", "RECOVER"


@dataclass(slots=True)
class Life:
    """One life of a process, with the signals that it got."""

    started: ProcessStarted
    signals: list[ProcessSignalled] = field(default_factory=list)
    ended: ProcessEnded | None = None

    def first(self, name: str) -> float | None:
        """When it first got a signal; none: never."""
        return next((one.at for one in self.signals if one.signal == name), None)

    def killed(self, since: float, until: float) -> bool:
        """Whether it was killed within this."""
        return any(one.signal == "SIGKILL" and since <= one.at <= until for one in self.signals)

    def paused(self, since: float, until: float) -> bool:
        """Whether it stood still at any time within this."""
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
        """When it ended."""
        return self.ended.at if self.ended is not None else float("inf")


def lives_of(facts: Facts) -> list[Life]:
    """All lives of all processes, in the order of their starts."""
    lives = {(one.machine, one.life): Life(one) for one in of_kind(facts, ProcessStarted)}
    for signalled in of_kind(facts, ProcessSignalled):
        lives[signalled.machine, signalled.life].signals.append(signalled)
    for ended in of_kind(facts, ProcessEnded):
        lives[ended.machine, ended.life].ended = ended
    return [*lives.values()]


class Troubles:
    """The unplanned troubles of a run, and which routers and servers they befell."""

    def __init__(self, facts: Facts) -> None:
        self.met = [one for one in of_kind(facts, TroubleMet) if one.trouble not in PLANNED]

    def of_machine(self, name: str, since: float, until: float) -> bool:
        """Whether any befell a machine or a link of its within this or ``CONTACT`` before."""
        return any(self._befell(one, name) for one in self._within(since - CONTACT, until))

    def of_server(self, name: str, since: float, until: float) -> bool:
        """Whether the link to a model server was harmed within this or ``CONTACT`` before."""
        return any(
            link.caller == SYSTEM and link.target == name
            for one in self._within(since - CONTACT, until)
            for link in one.links
        )

    def _within(self, since: float, until: float) -> list[TroubleMet]:
        return [one for one in self.met if one.at <= until and one.until >= since]

    @staticmethod
    def _befell(trouble: TroubleMet, name: str) -> bool:
        if trouble.trouble is TroubleKind.WIPE:
            return True  # every process is killed
        ends = {end for link in trouble.links for end in (link.caller, link.target)}
        return name in trouble.machines or name in ends - {CLIENTS, SYSTEM}


# processes --------------------------------------------------


def ends(facts: Facts) -> list[Breach]:
    """EXIT: a process that got SIGTERM does not end with exit code 0 within the grace; a kill or a pause before the
    grace is over excuses the time, and a kill excuses its own code.

    OWN END: a process ends that got neither SIGTERM nor SIGKILL."""
    broken: list[Breach] = []
    for life in lives_of(facts):
        name = f"{life.started.machine}.{life.started.life}"
        told_at, killed = life.first("SIGTERM"), life.first("SIGKILL")
        if told_at is not None:
            why = _bad_exit(life, told_at)
            broken += [Breach(EXIT, told_at, (name,), why)] if why else []
        elif life.ended is not None and not (killed is not None and life.ended.code == KILLED):
            broken.append(Breach(OWN_END, life.ended.at, (name,), f"it ended by itself with {life.ended.code}"))
    return broken


def _bad_exit(life: Life, told_at: float) -> str:
    """What is wrong with the end of a process that was told to stop; empty: nothing, or trouble excuses it."""
    age = f"{told_at - life.started.at:.2f} s after its start"
    killed = life.killed(told_at, told_at + GRACE)
    paused = life.paused(told_at, told_at + GRACE)
    if life.ended is None:
        return f"it did not end; SIGTERM came {age}"
    took, code = life.ended.at - told_at, life.ended.code
    again = [one.at for one in life.signals if one.signal == "SIGTERM"][1:]
    if again:
        age += f", and again {again[-1] - told_at:.2f} s later"
    if code == KILLED and (killed or paused):
        return ""
    if code != 0:
        return f"ended with {code} after {took:.2f} s; SIGTERM came {age}"
    if took > GRACE + EXIT_SLACK and not paused:
        return f"ended after {took:.2f} s, the grace is {GRACE:g} s"
    return ""


def logs(facts: Facts, folder: Path) -> list[Breach]:
    """LOG: a traceback in any log, or a breach that a process without unplanned trouble reports of itself."""
    troubles, broken = Troubles(facts), []
    for life in lives_of(facts):
        path = folder / life.started.log
        text = path.read_text(errors="replace") if path.exists() else ""
        calm = not troubles.of_machine(life.started.machine, life.started.at, life.until)
        found = [line for line in text.splitlines() if TRACEBACK in line or (calm and REPORTED.search(line))]
        if found:
            why = f"{len(found)} lines, the first: {found[0].strip()[:LONGEST_SHOWN]}"
            broken.append(Breach(LOG, life.started.at, (life.started.log,), why))
    return broken


# configuration ----------------------------------------------


def configuration(facts: Facts) -> list[Breach]:
    """LOST CONFIGURATION: at the end the newest acknowledged configuration or a newer one is not there, or it is
    not as it was sent."""
    configs, reads = Configs.among(facts), of_kind(facts, ReadBack)
    if not reads:
        return []  # the run did not come so far, which is a breach of its own
    read = reads[-1]
    newest = configs.newest_acked(read.at)
    if read.config is None:
        return [Breach(LOST_CONFIGURATION, read.at, (), f"it could not be read; {newest} was acknowledged")]
    revision = read.config.get("revision", 0)
    if revision < newest:
        return [Breach(LOST_CONFIGURATION, read.at, (str(revision),), f"{newest} was acknowledged")]
    if read.config not in [one.config for one in of_kind(facts, ConfigSent) if one.revision == revision]:
        return [Breach(LOST_CONFIGURATION, read.at, (str(revision),), "it is not as it was sent")]
    return []


# requests ---------------------------------------------------


def read_requests(facts: Facts, folder: Path) -> set[str] | None:
    """The requests that any router says it has read whole; None without the log of a router."""
    names = [folder / life.started.log for life in lives_of(facts) if life.started.front]
    logs = [name.read_text(errors="replace") for name in names if name.exists()]
    return {id for log in logs for id in READ.findall(log)} if logs else None


class Requests:
    """What is known of each request, by its id; ``read``: those that a router has read whole, if that is known."""

    def __init__(self, facts: Facts, read: set[str] | None = None) -> None:
        self.read = read
        self.facts, self.configs, self.troubles = facts, Configs.among(facts), Troubles(facts)
        self.asked, self.reached = by_id(facts, Asked), by_id(facts, Reached)
        self.began, self.finished = by_id(facts, Began), by_id(facts, Finished)
        self.routers = {one.front: one.machine for one in of_kind(facts, ProcessStarted) if one.front}
        self.lags = of_kind(facts, Lagged)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.terms: dict[str, list[float]] = defaultdict(list)  # the first of each life: a second gives no more grace
        for life in lives_of(facts):
            self.lives[life.started.machine].append(life)
            if (told_at := life.first("SIGTERM")) is not None:
                self.terms[life.started.machine].append(told_at)

    def cuts(self) -> list[Breach]:
        """CUT: a router without unplanned trouble ends the connection of a request that it has read with no
        complete answer, and neither the server nor the request's time is the reason."""
        broken = []
        for end in [*of_kind(self.facts, Lost), *of_kind(self.facts, Answered)]:
            if (ours := self.asked.get(end.id, [None])[0]) is None or not self._cut(end, ours):
                continue
            router = self.routers[ours.front]
            if self._excused(end, ours, router):
                continue
            broken.append(Breach(CUT, end.at, (end.id,), self._told(end, ours, router)))
        return broken

    def _cut(self, end: Lost | Answered, ours: Asked) -> bool:
        """Whether the router ended the connection too early, after it had read the request."""
        if isinstance(end, Answered):
            return not end.whole and not end.left
        slack = RULES.loss_slack + sum(one.seconds for one in self.lags if ours.at <= one.at <= end.at + one.seconds)
        if end.how != "closed":
            return False
        if self.reached.get(end.id):
            return True
        if self.read is not None and end.id not in self.read:
            return False
        return self._readable_for(end, ours) > slack

    def _readable_for(self, end: Lost, ours: Asked) -> float:
        """Seconds from its sending to its end in which a process was there to read it: none reads after its end."""
        lives = self.lives[self.routers[ours.front]]
        spans = [min(end.at, life.until - EXIT_TAKES) - max(ours.at, life.started.at) for life in lives]
        return max([0.0, *spans])

    def _excused(self, end: Lost | Answered, ours: Asked, router: str) -> bool:
        if end.at + ROUNDED >= ours.at + time_limit(self.configs, ours):
            return True
        if self.troubles.of_machine(router, ours.at, end.at):
            return True
        return self._server_broke_off(end, ours) or self._long_at_work(end, ours, router)

    def _server_broke_off(self, end: Lost | Answered, ours: Asked) -> bool:
        if any(over.how in SERVER_ENDED and over.at <= end.at for over in self.finished.get(end.id, ())):
            return True
        servers = {reached.instance for reached in self.reached.get(end.id, ())}
        return any(self.troubles.of_server(server, ours.at, end.at) for server in servers)

    def _long_at_work(self, end: Lost | Answered, ours: Asked, router: str) -> bool:
        """Whether a server was at work on it in the last part of the grace, and it was sent soon after SIGTERM."""
        over = [one.at for one in self.finished.get(end.id, ())]
        work_until = min([end.at, *over]) if self.began.get(end.id) else float("-inf")
        return any(
            told_at + GRACE * (1 - LAST_PART) <= work_until <= told_at + GRACE + TERM_AFTER
            and ours.at <= told_at + SENT_SOON
            for told_at in self.terms[router]
        )

    def _told(self, end: Lost | Answered, ours: Asked, router: str) -> str:
        how = f"status {end.status}, broken off" if isinstance(end, Answered) else end.how
        passed_on = f"reached {self.reached[end.id][0].instance}" if self.reached.get(end.id) else "not passed on"
        before = [told_at for told_at in self.terms[router] if told_at <= end.at]
        signalled = (
            f"sent {ours.at - before[-1]:.2f} s and cut {end.at - before[-1]:.2f} s after SIGTERM"
            if before
            else "no SIGTERM before"
        )
        return f"{router}: {how}, {passed_on}, {signalled}"


# all --------------------------------------------------------


def stalled(facts: Facts) -> list[Breach]:
    """STALLED: the system did not come up, or did not come back after its troubles."""
    return [Breach(STALLED, one.at, (), one.what) for one in of_kind(facts, Stalled)]


def recovered(facts: Facts) -> list[Breach]:
    """RECOVER: less than a quarter of the requests is served in the last stretch of load, the first that begins once
    all is ready again in which so much was served, or that in which the time to recover is up."""
    ready, told = of_kind(facts, Recovered), of_kind(facts, ReadBack)
    if not ready or not told:
        return []
    served = served_part(facts, ready[0].at, told[0].at)
    if served >= SERVED_LEAST:
        return []
    return [Breach(RECOVER, told[0].at, (), f"{served:.2f} of the requests were served")]


def served_part(facts: Facts, since: float, until: float) -> float:
    """The part of the requests sent within this that were answered whole, with success; 0 if none was sent."""
    sent = {one.id for one in of_kind(facts, Asked) if since <= one.at < until}
    whole = {end.id for end in of_kind(facts, Answered) if end.whole and 200 <= end.status < 300}
    return len(whole & sent) / len(sent) if sent else 0.0


def shared_rules(facts: Facts) -> list[Breach]:
    """The rules of ``rowanshift.invariants`` that need no knowledge of who was in touch."""
    return [found for found in rules.check(facts, RULES) if not found.bounded and found.rule != "LOST"]


def check(facts: Facts, log_folder: Path) -> list[Breach]:
    """Every check over a run's records and logs, in the order of the times."""
    found = [
        *ends(facts),
        *logs(facts, log_folder),
        *configuration(facts),
        *Requests(facts, read_requests(facts, log_folder)).cuts(),
        *stalled(facts),
        *recovered(facts),
        *versions(facts),
        *coordination(facts, HISTORY),
        *shared_rules(facts),
    ]
    return sorted(found, key=lambda breach: breach.at)
