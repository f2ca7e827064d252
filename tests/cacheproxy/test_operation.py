"""What staff do with a router in service: calls on the second address, figures, drained and back."""

import socket
import subprocess
import sys
from contextlib import suppress

import orjson
import pytest
import trio

from rowanshift.cacheproxy.config import ConfigError, config_of, control_of, load
from rowanshift.cacheproxy.control import CALLERS, LONGEST_LINE, Control
from rowanshift.cacheproxy.figures import Figures
from rowanshift.cacheproxy.membership import Membership
from rowanshift.cacheproxy.model import Verdict
from rowanshift.cacheproxy.service import Phase
from tests.cacheproxy.test_network import GOOD
from tests.support.cache_proxy_rig import free, played
from tests.support.helpers import RERUNNABLE, come_back, entry, invoke, router, take

# the second address -----------------------------------------


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"READY\n", "SUCCESS\n"),
        (b"READY\r\n", "SUCCESS\n"),
        (b"  READY \n", "SUCCESS\n"),
        (b"REBOOT\n", "FAILURE unknown call"),
        (b"\n", "FAILURE unknown call"),
        (b"ready\n", "FAILURE unknown call"),
        (b"READY now\n", "FAILURE READY takes no"),
        (b"\xff\xfe\n", "FAILURE the line is no text"),
        (b"READY\nDRAIN\n", "SUCCESS\n"),
    ],
)
def test_a_call_is_one_line_and_a_bad_one_changes_nothing(line, answer):
    async def script(rig):
        return await rig.call(line), rig.service.phase

    got, phase = played(script)
    assert got.startswith(answer) and got.count("\n") == 1 and phase is Phase.SERVING


@pytest.mark.parametrize("sent", [b"READY", b"x" * (LONGEST_LINE + 1)])
def test_a_line_without_its_end_is_owed_a_no(sent):
    async def script(rig):
        stream = await trio.open_tcp_stream(*rig.service.config.control)
        async with stream:
            await stream.send_all(sent)
            if len(sent) <= LONGEST_LINE:
                await stream.send_eof()
            return b"".join([piece async for piece in stream])

    assert played(script).startswith(b"FAILURE ")


def test_callers_that_say_nothing_half_a_line_or_never_read_hold_up_nobody():
    # guards against a second address that one silent caller, or a crowd of them, makes useless
    async def script(rig):
        address = rig.service.config.control
        streams = []
        for n in range(2 * CALLERS):
            streams.append(await trio.open_tcp_stream(*address))
            if n % 3 == 1:
                await streams[-1].send_all(b"REA")
            elif n % 3 == 2:
                await streams[-1].send_all(b"STATS\n")  # and never reads
        with trio.fail_after(1):
            answers = [await rig.call("READY") for _ in range(3)]
        clients = rig.service.budget.limit
        for stream in streams:
            await stream.aclose()
        return answers, clients

    answers, limit = played(script)
    assert answers == ["SUCCESS\n"] * 3
    assert limit <= 256 - CALLERS  # their descriptors are set aside


def test_a_fault_in_a_call_is_answered():
    def broken() -> str:
        raise ValueError

    assert Control({"STATS": ((), broken)}).answer(b"STATS\n").startswith("FAILURE ")


@pytest.mark.parametrize("text", ["nowhere", "127.0.0.1:0", 8080, "127.0.0.1"])
def test_a_control_that_is_no_address_is_named(text):
    with pytest.raises(ConfigError, match=r"^control: .*address"):
        control_of(text, "control")
    with pytest.raises(ConfigError, match=r"^control: "):
        config_of(GOOD | {"control": text})


# figures ----------------------------------------------------


def test_figures_count_each_work_item_once_and_in_flight_comes_back_to_0():
    async def script(rig):
        first = await rig.figures()
        for key in "aab":
            assert (await rig.get(key)).status == 200
        bad = await trio.open_tcp_stream(*rig.service.config.listen)
        async with bad:  # its category is known, but what it says can't be followed
            await bad.send_all(b"GET /read/k HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await bad.receive_some(12)) == b"HTTP/1.1 400"
        rig.origin.kind.works["read"] = 0.3
        gone = await trio.open_tcp_stream(*rig.service.config.listen)
        await gone.send_all(
            b"GET /read/slow HTTP/1.1\r\nHost: a\r\nX-Txn: g\r\nX-Org: demo\r\nX-Remaining-Ms: 900\r\n\r\n"
        )
        await trio.sleep(0.05)
        during = (await rig.figures())["router_in_flight"]
        await gone.aclose()
        await trio.sleep(0.05)
        return first, during, await rig.figures()

    first, during, last = played(script)
    assert first == {
        f'router_requests{{class="{c}",outcome="{o}"}}': 0
        for c in ("read", "write")
        for o in ("served", "refused", "failed")
    } | {
        "router_attempts": 0,
        "router_in_flight": 0,
        "router_cache_servers_known": 4,
        "router_cache_servers_excluded": 0,
    }
    assert during == 1 and last["router_in_flight"] == 0
    assert last['router_requests{class="read",outcome="served"}'] == 3
    assert last['router_requests{class="read",outcome="failed"}'] == 2
    assert last["router_attempts"] == 7  # misses and fetches of a, b and slow, and a hit


def test_label_values_are_escaped():
    assert r'class="a\"b\\c"' in Figures(['a"b\\c']).text()


@pytest.mark.parametrize(
    ("status", "outcome"),
    [(200, "served"), (503, "refused"), (429, "refused"), (502, "failed"), (504, "failed"), (0, "failed")],
)
def test_an_answer_counts_by_its_status(status, outcome):
    figures = Figures(["read"])
    figures.in_flight = 1
    figures.end(0, status)
    assert f'outcome="{outcome}"}} 1\n' in figures.text() and figures.in_flight == 0


# drained and back -------------------------------------------


def test_a_drained_router_is_empty_soon_and_comes_back_with_the_same_listener():
    # guards against a drain that nothing can take back, and against idle connections held while drained
    async def script(rig):
        address = rig.service.config.listen
        idle = await trio.open_tcp_stream(*address)
        await idle.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        got = [(await idle.receive_some(200))[:12]]
        silent = await trio.open_tcp_stream(*address)
        calls = [await rig.call("DRAIN"), await rig.call("DRAIN"), await rig.call("READY")]
        asks = await trio.open_tcp_stream(*address)
        await asks.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = b"".join([piece async for piece in asks])
        got.append(answer[:12])
        closed = b"Connection: close" in answer
        served = (await rig.get("k")).status  # what still comes is served
        with trio.fail_after(1.9):
            ends = [await idle.receive_some(1), await silent.receive_some(1)]
        calls += [await rig.call("UNDRAIN"), await rig.call("UNDRAIN"), await rig.call("READY")]
        back = await trio.open_tcp_stream(*address)
        for _ in range(2):  # its connections are kept again
            await back.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            got.append((await back.receive_some(200))[:12])
        return got, closed, served, ends, calls

    got, closed, served, ends, calls = played(script)
    assert got == [b"HTTP/1.1 200", b"HTTP/1.1 503", b"HTTP/1.1 200", b"HTTP/1.1 200"]
    assert closed and served == 200 and ends == [b"", b""]
    assert calls == ["SUCCESS\n"] * 2 + ["FAILURE drained\n"] + ["SUCCESS\n"] * 3


def test_a_drained_router_ends_well_and_can_not_be_called_back_then():
    async def script(rig):
        await rig.call("DRAIN")
        rig.service.shutdown_requested.set()
        await trio.sleep(0.05)
        late = await rig.call("UNDRAIN"), await rig.call("READY")
        with trio.fail_after(3):
            while rig.service.phase is not Phase.STOPPED:
                await trio.sleep(0.02)
        return late

    assert played(script) == ("FAILURE leaving\n", "FAILURE leaving\n")


@pytest.mark.parametrize("call", ["drain", "leave"])
def test_a_request_half_read_is_not_cut_by_a_drain_or_the_end(call):
    # guards against a 408 for a client that takes its time, only since the router is about to end
    async def script(rig):
        client = await trio.open_tcp_stream(*rig.service.config.listen)
        await client.send_all(b"GET /read/k HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Org: demo\r\n")
        await trio.sleep(0.05)
        getattr(rig.service.clients, call)()
        await trio.sleep(0.1)
        await client.send_all(b"X-Remaining-Ms: 900\r\n\r\n")
        return b"".join([piece async for piece in client])

    answer = played(script)
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer


def test_without_control_nothing_more_listens():
    async def script(rig):
        return rig.service.budget.limit, rig.service.config.control

    limit, control = played(script, control=None)
    assert control is None and limit > 256 - 24 - CALLERS


def test_check_says_where_calls_are_taken_and_an_address_that_is_taken_is_named(tmp_path):
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        text = "{}:{}".format(*taken.getsockname())
        path.write_bytes(orjson.dumps(GOOD | {"control": text, "listen": f"127.0.0.1:{free()[0][1]}"}))
        status, output = invoke("check", "-c", path)
        assert status == 0 and f"calls on {text}" in output
        served = subprocess.run(
            [sys.executable, "-m", "rowanshift", "serve", "-c", str(path)], capture_output=True, text=True, timeout=20
        )
        assert served.returncode == 1 and text in served.stderr and "Traceback" not in served.stderr
    path.write_bytes(orjson.dumps(GOOD | {"control": "nowhere"}))
    status, output = invoke("check", "-c", path)
    assert status == 2 and "control" in output


def test_the_environment_goes_before_the_files_control(tmp_path, monkeypatch):
    # guards against a new process that takes the second address of the old one from their common file
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(GOOD | {"control": "127.0.0.1:7"}))
    monkeypatch.setenv("BALANCER_CONTROL", "127.0.0.1:8")
    assert load(path).control == ("127.0.0.1", 8)
    monkeypatch.setenv("BALANCER_CONTROL", "x")
    with pytest.raises(ConfigError, match=r"^\$BALANCER_CONTROL: "):
        load(path)


def test_the_control_of_a_configuration_is_optional():
    assert config_of(GOOD).control is None
    assert config_of(GOOD | {"control": "127.0.0.1:7"}).control == ("127.0.0.1", 7)


# cache servers by hand --------------------------------------


class Told:
    """Stands for pools and module: what they were told last of each server."""

    def __init__(self) -> None:
        self.pools, self.module = {}, {}
        self.members = Membership(self, self.list_changed)

    def locate(self, server, address):
        self.pools[server] = address

    def leave(self, server):
        self.pools[server] = "left"

    def join(self, server):
        self.pools[server] = "back"

    def forget(self, server):
        self.pools.pop(server, None)

    def forget_others(self, servers):
        named = set(servers)
        for server in [s for s in self.pools if s not in named]:
            self.forget(server)

    def list_changed(self, scope, entries):
        self.module.update({e.server: e for e in entries})


A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)


@pytest.mark.parametrize(
    "told",
    [
        [("full", [(entry(1), A), (entry(2), A)])],
        [("delta", [(entry(1), A)])],
        [("delta", [(entry(1), B)])],
        [("delta", [(entry(1, "dead"), None)]), ("delta", [(entry(1, came_up=50.0), A)])],
        [("full", [(entry(2), A)]), ("full", [(entry(1), A), (entry(2), A)])],
        [("delta", [(entry(1, "quiescing"), A)]), ("delta", [(entry(1), A)])],
    ],
)
def test_a_call_out_outlives_whatever_the_list_says(told):
    # guards against sending a server something new after its ban, since the list calls it active
    t = Told()
    t.members.learn("cached", [(entry(1), A), (entry(2), A)])
    assert t.members.call_out("cache:1") and not t.members.call_out("cache:1")
    assert t.pools["cache:1"] == "left" and t.module["cache:1"].health == "quiescing"
    for scope, rows in told:
        t.members.learn(scope, rows)
    assert t.pools["cache:1"] == "left" and t.module["cache:1"].health == "quiescing"
    assert t.module["cache:2"].health == "live"
    assert t.members.call_back("cache:1", 70.0) and not t.members.call_back("cache:1", 80.0)
    assert t.module["cache:1"]._replace(zone=0) == entry(1, came_up=70.0) and t.pools["cache:1"] == "back"


@pytest.mark.parametrize(("came_up", "believed"), [(0.0, 70.0), (60.0, 70.0), (75.0, 75.0)])
def test_a_server_that_is_back_counts_as_just_started_until_the_list_tells_a_later_start(came_up, believed):
    # guards against a full load on a cache that is cold, while the list still tells of its old life
    t = Told()
    t.members.learn("cached", [(entry(1), A)])
    t.members.call_out("cache:1")
    t.members.call_back("cache:1", 70.0)
    t.members.learn("full", [(entry(1, came_up=came_up), A)])
    assert t.module["cache:1"].came_up == believed


def test_a_leaving_server_that_is_called_back_stays_left():
    t = Told()
    t.members.learn("cached", [(entry(1, "quiescing"), A)])
    t.members.call_out("cache:1")
    t.members.call_back("cache:1", 70.0)
    assert t.pools["cache:1"] == "left" and t.module["cache:1"].health == "quiescing"


def test_a_server_out_by_hand_gets_nothing_new_and_is_used_again_after_the_call_back():
    async def script(rig):
        keys = [f"k{n}" for n in range(60)]

        async def handed() -> dict[str, int]:
            before = {name: cache.seen for name, cache in counts.items()}
            for key in keys:
                assert (await rig.get(key)).status == 200
            return {name: cache.seen - before[name] for name, cache in counts.items()}

        counts = {name: Counting(cache) for name, cache in rig.caches.items()}
        first = await handed()
        no = await rig.call("DISABLE nobody"), await rig.call("ENABLE nobody"), await rig.call("DISABLE")
        yes = [await rig.call(f"DISABLE cache:{n}") for n in (1, 1, 2)]
        during = await handed()
        excluded = (await rig.figures())["router_cache_servers_excluded"]
        rig.agent.change(rig.rows[1])  # the list calls it active once more
        await trio.sleep(0.05)
        still = await handed()
        yes += [await rig.call(f"ENABLE cache:{n}") for n in (0, 1, 1, 2)]
        await trio.sleep(2)  # warm_within
        return first, no, yes, during, excluded, still, await handed()

    first, no, yes, during, excluded, still, after = played(script)
    assert min(first.values()) > 0 and min(after.values()) > 0
    assert all(text.startswith("FAILURE ") for text in no) and yes == ["SUCCESS\n"] * 7
    assert during["cache:1"] == during["cache:2"] == still["cache:1"] == 0 and excluded == 2


class Counting:
    """Counts what a stand-in is asked."""

    def __init__(self, cache) -> None:
        self.seen, self.handle = 0, cache.handle
        cache.handle = self

    async def __call__(self, *args):
        self.seen += 1
        return await self.handle(*args)


def test_work_that_failed_elsewhere_goes_not_to_a_server_that_is_out():
    # guards against retries that look past the ban
    r = router(2)
    t = Membership(Told(), lambda scope, entries: r.list_changed(r.now, scope, entries))
    t.learn("full", [(entry(0), A), (entry(1), A), (entry("origin"), A)])
    ((_, _, first),) = take(r, 1, "k", RERUNNABLE).hand_offs
    other = "cache:0" if first == "cache:1" else "cache:1"
    t.call_out(other)
    assert other not in [server for *_, server in come_back(r, 1, first, Verdict.RESET).hand_offs]
    assert r.seen(r.now)[1] == 2  # the one out by hand, and the one that fell silent


# limits -----------------------------------------------------


def test_a_byte_at_a_time_is_a_call_and_a_line_that_takes_too_long_ends(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.control.LINE_WITHIN", 0.3)

    async def script(rig):
        got = []
        for pause in (0.0, 0.1):
            stream = await trio.open_tcp_stream(*rig.service.config.control)
            async with stream:
                with suppress(trio.BrokenResourceError):
                    for byte in b"READY\n":
                        await stream.send_all(bytes([byte]))
                        await trio.sleep(pause)
                with suppress(trio.BrokenResourceError):
                    got.append(await stream.receive_some(100))
        return got

    got = played(script)
    assert got[0] == b"SUCCESS\n" and b"SUCCESS" not in b"".join(got[1:])


def test_a_call_out_outlives_a_reload():
    async def script(rig):
        await rig.call("DISABLE cache:1")
        rig.service.discovery.move(rig.service.config.discovery)  # as SIGHUP does: the whole list
        await trio.sleep(0.1)
        return [c.entry.server for c in rig.service.driver.router.ready]

    assert sorted(played(script)) == ["cache:0", "cache:2"]


def test_so_many_may_be_out_by_hand_and_no_more(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.membership.MOST_OUT", 1)

    async def script(rig):
        return [await rig.call(f"DISABLE cache:{n}") for n in (0, 1, 0)]

    assert [text.split()[0] for text in played(script)] == ["SUCCESS", "FAILURE", "SUCCESS"]
