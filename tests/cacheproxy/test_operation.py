"""Operation of a router in service: control port, metrics, drains, and disabled servers."""

import socket
import subprocess
import sys
from contextlib import suppress

import orjson
import pytest
import trio

from rowanshift.cacheproxy.config import ConfigError, config_of, load, parse_control_address
from rowanshift.cacheproxy.control import MAX_CALLERS, MAX_LINE_BYTES, ControlPort
from rowanshift.cacheproxy.figures import Metrics
from rowanshift.cacheproxy.membership import Membership
from rowanshift.cacheproxy.model import Verdict
from rowanshift.cacheproxy.service import Phase
from tests.cacheproxy.test_network import GOOD
from tests.support.cache_proxy_rig import free_addresses, run_with_rig
from tests.support.helpers import RERUNNABLE, invoke, make_entry, make_router, report_response, request_decision

# the control port


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
def test_a_command_is_one_line_and_an_invalid_one_changes_nothing(line, answer):
    async def script(rig):
        return await rig.command(line), rig.service.phase

    got, phase = run_with_rig(script)
    assert got.startswith(answer) and got.count("\n") == 1 and phase is Phase.SERVING


@pytest.mark.parametrize("sent", [b"READY", b"x" * (MAX_LINE_BYTES + 1)])
def test_a_line_without_its_newline_is_refused(sent):
    async def script(rig):
        stream = await trio.open_tcp_stream(*rig.service.config.control)
        async with stream:
            await stream.send_all(sent)
            if len(sent) <= MAX_LINE_BYTES:
                await stream.send_eof()
            return b"".join([piece async for piece in stream])

    assert run_with_rig(script).startswith(b"FAILURE ")


def test_silent_or_stalled_callers_do_not_block_others():
    # Guards against a control port that silent callers can block.
    async def script(rig):
        address = rig.service.config.control
        streams = []
        for n in range(2 * MAX_CALLERS):
            streams.append(await trio.open_tcp_stream(*address))
            if n % 3 == 1:
                await streams[-1].send_all(b"REA")
            elif n % 3 == 2:
                await streams[-1].send_all(b"STATS\n")  # and never reads
        with trio.fail_after(1):
            answers = [await rig.command("READY") for _ in range(3)]
        clients = rig.service.budget.limit
        for stream in streams:
            await stream.aclose()
        return answers, clients

    answers, limit = run_with_rig(script)
    assert answers == ["SUCCESS\n"] * 3
    assert limit <= 256 - MAX_CALLERS  # their descriptors are reserved


def test_an_exception_in_a_command_is_answered_with_failure():
    def broken() -> str:
        raise ValueError

    assert ControlPort({"STATS": ((), broken)}).answer(b"STATS\n").startswith("FAILURE ")


@pytest.mark.parametrize("text", ["nowhere", "127.0.0.1:0", 8080, "127.0.0.1"])
def test_an_invalid_control_address_is_reported_with_its_source(text):
    with pytest.raises(ConfigError, match=r"^control: .*address"):
        parse_control_address(text, "control")
    with pytest.raises(ConfigError, match=r"^control: "):
        config_of(GOOD | {"control": text})


# metrics


def test_metrics_count_each_request_once_and_in_flight_returns_to_0():
    async def script(rig):
        first = await rig.metrics()
        for key in "aab":
            assert (await rig.get(key)).status == 200
        bad = await trio.open_tcp_stream(*rig.service.config.listen)
        async with bad:  # the category is known, but required fields are missing
            await bad.send_all(b"GET /read/k HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await bad.receive_some(12)) == b"HTTP/1.1 400"
        rig.origin.kind.works["read"] = 0.3
        gone = await trio.open_tcp_stream(*rig.service.config.listen)
        await gone.send_all(
            b"GET /read/slow HTTP/1.1\r\nHost: a\r\nX-Txn: g\r\nX-Org: demo\r\nX-Remaining-Ms: 900\r\n\r\n"
        )
        await trio.sleep(0.05)
        during = (await rig.metrics())["router_in_flight"]
        await gone.aclose()
        await trio.sleep(0.05)
        return first, during, await rig.metrics()

    first, during, last = run_with_rig(script)
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
    assert r'class="a\"b\\c"' in Metrics(['a"b\\c']).render()


@pytest.mark.parametrize(
    ("status", "outcome"),
    [(200, "served"), (503, "refused"), (429, "refused"), (502, "failed"), (504, "failed"), (0, "failed")],
)
def test_an_outcome_follows_from_the_status(status, outcome):
    metrics = Metrics(["read"])
    metrics.in_flight = 1
    metrics.count_end(0, status)
    assert f'outcome="{outcome}"}} 1\n' in metrics.render() and metrics.in_flight == 0


# drains


def test_a_drained_router_closes_idle_connections_and_can_be_undrained():
    # Guards against a drain that can't be undone, and against idle connections that stay open while drained.
    async def script(rig):
        address = rig.service.config.listen
        idle = await trio.open_tcp_stream(*address)
        await idle.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        got = [(await idle.receive_some(200))[:12]]
        silent = await trio.open_tcp_stream(*address)
        answers = [await rig.command("DRAIN"), await rig.command("DRAIN"), await rig.command("READY")]
        client = await trio.open_tcp_stream(*address)
        await client.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        response = b"".join([piece async for piece in client])
        got.append(response[:12])
        closed = b"Connection: close" in response
        served = (await rig.get("k")).status  # new requests are still served
        with trio.fail_after(1.9):
            ends = [await idle.receive_some(1), await silent.receive_some(1)]
        answers += [await rig.command("UNDRAIN"), await rig.command("UNDRAIN"), await rig.command("READY")]
        back = await trio.open_tcp_stream(*address)
        for _ in range(2):  # connections are kept alive again
            await back.send_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            got.append((await back.receive_some(200))[:12])
        return got, closed, served, ends, answers

    got, closed, served, ends, answers = run_with_rig(script)
    assert got == [b"HTTP/1.1 200", b"HTTP/1.1 503", b"HTTP/1.1 200", b"HTTP/1.1 200"]
    assert closed and served == 200 and ends == [b"", b""]
    assert answers == ["SUCCESS\n"] * 2 + ["FAILURE drained\n"] + ["SUCCESS\n"] * 3


def test_a_drained_router_shuts_down_and_can_not_be_undrained_then():
    async def script(rig):
        await rig.command("DRAIN")
        rig.service.shutdown_requested.set()
        await trio.sleep(0.05)
        late = await rig.command("UNDRAIN"), await rig.command("READY")
        with trio.fail_after(3):
            while rig.service.phase is not Phase.STOPPED:
                await trio.sleep(0.02)
        return late

    assert run_with_rig(script) == ("FAILURE leaving\n", "FAILURE leaving\n")


@pytest.mark.parametrize("action", ["drain", "finish"])
def test_a_partly_received_request_survives_a_drain_and_a_shutdown(action):
    # Guards against a 408 for a slow client just because the router shuts down.
    async def script(rig):
        client = await trio.open_tcp_stream(*rig.service.config.listen)
        await client.send_all(b"GET /read/k HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Org: demo\r\n")
        await trio.sleep(0.05)
        getattr(rig.service.clients, action)()
        await trio.sleep(0.1)
        await client.send_all(b"X-Remaining-Ms: 900\r\n\r\n")
        return b"".join([piece async for piece in client])

    answer = run_with_rig(script)
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer


def test_without_a_control_port_no_descriptors_are_reserved():
    async def script(rig):
        return rig.service.budget.limit, rig.service.config.control

    limit, control = run_with_rig(script, control=None)
    assert control is None and limit > 256 - 24 - MAX_CALLERS


def test_check_prints_the_control_address_and_serve_names_one_in_use(tmp_path):
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        text = "{}:{}".format(*taken.getsockname())
        path.write_bytes(orjson.dumps(GOOD | {"control": text, "listen": f"127.0.0.1:{free_addresses()[0][1]}"}))
        status, output = invoke("check", "-c", path)
        assert status == 0 and f"calls on {text}" in output
        served = subprocess.run(
            [sys.executable, "-m", "rowanshift", "serve", "-c", str(path)], capture_output=True, text=True, timeout=20
        )
        assert served.returncode == 1 and text in served.stderr and "Traceback" not in served.stderr
    path.write_bytes(orjson.dumps(GOOD | {"control": "nowhere"}))
    status, output = invoke("check", "-c", path)
    assert status == 2 and "control" in output


def test_the_environment_overrides_control_of_the_file(tmp_path, monkeypatch):
    # Guards against a new process that uses the control port of the old one, whose file it shares.
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(GOOD | {"control": "127.0.0.1:7"}))
    monkeypatch.setenv("BALANCER_CONTROL", "127.0.0.1:8")
    assert load(path).control == ("127.0.0.1", 8)
    monkeypatch.setenv("BALANCER_CONTROL", "x")
    with pytest.raises(ConfigError, match=r"^\$BALANCER_CONTROL: "):
        load(path)


def test_control_is_optional():
    assert config_of(GOOD).control is None
    assert config_of(GOOD | {"control": "127.0.0.1:7"}).control == ("127.0.0.1", 7)


# disabled servers


class UpdateRecorder:
    """Stands in for the pools and the decision module, and records the last update of each server."""

    def __init__(self) -> None:
        self.states, self.entries = {}, {}
        self.members = Membership(self, self.list_changed)

    def set_address(self, server, address):
        self.states[server] = address

    def drain(self, server):
        self.states[server] = "drained"

    def undrain(self, server):
        self.states[server] = "undrained"

    def remove(self, server):
        self.states.pop(server, None)

    def retain_only(self, servers):
        retained = set(servers)
        for server in [s for s in self.states if s not in retained]:
            self.remove(server)

    def list_changed(self, scope, entries):
        self.entries.update({e.server: e for e in entries})


A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)


@pytest.mark.parametrize(
    "updates",
    [
        [("full", [(make_entry(1), A), (make_entry(2), A)])],
        [("delta", [(make_entry(1), A)])],
        [("delta", [(make_entry(1), B)])],
        [("delta", [(make_entry(1, "dead"), None)]), ("delta", [(make_entry(1, came_up=50.0), A)])],
        [("full", [(make_entry(2), A)]), ("full", [(make_entry(1), A), (make_entry(2), A)])],
        [("delta", [(make_entry(1, "quiescing"), A)]), ("delta", [(make_entry(1), A)])],
    ],
)
def test_a_server_stays_disabled_whatever_the_list_says(updates):
    # Guards against sending requests to a disabled server because the list calls it active.
    recorder = UpdateRecorder()
    recorder.members.update("cached", [(make_entry(1), A), (make_entry(2), A)])
    assert recorder.members.disable("cache:1") and not recorder.members.disable("cache:1")
    assert recorder.states["cache:1"] == "drained" and recorder.entries["cache:1"].health == "quiescing"
    for scope, rows in updates:
        recorder.members.update(scope, rows)
    assert recorder.states["cache:1"] == "drained" and recorder.entries["cache:1"].health == "quiescing"
    assert recorder.entries["cache:2"].health == "live"
    assert recorder.members.enable("cache:1", 70.0) and not recorder.members.enable("cache:1", 80.0)
    assert (
        recorder.entries["cache:1"]._replace(zone=0) == make_entry(1, came_up=70.0)
        and recorder.states["cache:1"] == "undrained"
    )


@pytest.mark.parametrize(("came_up", "expected"), [(0.0, 70.0), (60.0, 70.0), (75.0, 75.0)])
def test_an_enabled_server_counts_as_just_started_until_the_list_gives_a_later_start(came_up, expected):
    # Guards against full load on a restarted, cold cache while the list still gives its old start time.
    recorder = UpdateRecorder()
    recorder.members.update("cached", [(make_entry(1), A)])
    recorder.members.disable("cache:1")
    recorder.members.enable("cache:1", 70.0)
    recorder.members.update("full", [(make_entry(1, came_up=came_up), A)])
    assert recorder.entries["cache:1"].came_up == expected


def test_a_leaving_server_that_is_enabled_stays_drained():
    recorder = UpdateRecorder()
    recorder.members.update("cached", [(make_entry(1, "quiescing"), A)])
    recorder.members.disable("cache:1")
    recorder.members.enable("cache:1", 70.0)
    assert recorder.states["cache:1"] == "drained" and recorder.entries["cache:1"].health == "quiescing"


def test_a_disabled_server_gets_no_requests_until_it_is_enabled():
    async def script(rig):
        keys = [f"k{n}" for n in range(60)]

        async def requests_by_cache() -> dict[str, int]:
            before = {name: cache.request_count for name, cache in counts.items()}
            for key in keys:
                assert (await rig.get(key)).status == 200
            return {name: cache.request_count - before[name] for name, cache in counts.items()}

        counts = {name: RequestCounter(cache) for name, cache in rig.caches.items()}
        first = await requests_by_cache()
        refused = await rig.command("DISABLE nobody"), await rig.command("ENABLE nobody"), await rig.command("DISABLE")
        accepted = [await rig.command(f"DISABLE cache:{n}") for n in (1, 1, 2)]
        during = await requests_by_cache()
        excluded = (await rig.metrics())["router_cache_servers_excluded"]
        rig.agent.change(rig.rows[1])  # the list reports it as active again
        await trio.sleep(0.05)
        still = await requests_by_cache()
        accepted += [await rig.command(f"ENABLE cache:{n}") for n in (0, 1, 1, 2)]
        await trio.sleep(2)  # warm_within
        return first, refused, accepted, during, excluded, still, await requests_by_cache()

    first, refused, accepted, during, excluded, still, after = run_with_rig(script)
    assert min(first.values()) > 0 and min(after.values()) > 0
    assert all(text.startswith("FAILURE ") for text in refused) and accepted == ["SUCCESS\n"] * 7
    assert during["cache:1"] == during["cache:2"] == still["cache:1"] == 0 and excluded == 2


class RequestCounter:
    """Counts the requests to a stand-in."""

    def __init__(self, cache) -> None:
        self.request_count, self.handle = 0, cache.handle
        cache.handle = self

    async def __call__(self, *args):
        self.request_count += 1
        return await self.handle(*args)


def test_a_retry_does_not_go_to_a_disabled_server():
    # Guards against retries at a disabled server.
    decisions = make_router(2)
    members = Membership(UpdateRecorder(), lambda scope, entries: decisions.list_changed(decisions.now, scope, entries))
    members.update("full", [(make_entry(0), A), (make_entry(1), A), (make_entry("origin"), A)])
    ((_, _, first),) = request_decision(decisions, 1, "k", RERUNNABLE).hand_offs
    other = "cache:0" if first == "cache:1" else "cache:1"
    members.disable(other)
    assert other not in [server for *_, server in report_response(decisions, 1, first, Verdict.RESET).hand_offs]
    assert decisions.server_counts(decisions.now)[1] == 2  # the disabled one, and the one that failed


# limits


def test_a_command_may_arrive_byte_by_byte_within_its_time_limit(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.control.LINE_TIMEOUT_SECONDS", 0.3)

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

    got = run_with_rig(script)
    assert got[0] == b"SUCCESS\n" and b"SUCCESS" not in b"".join(got[1:])


def test_a_server_stays_disabled_after_a_reload():
    async def script(rig):
        await rig.command("DISABLE cache:1")
        # SIGHUP does the same, which reads the whole list again.
        rig.service.discovery.switch_agent(rig.service.config.discovery)
        await trio.sleep(0.1)
        return [c.entry.server for c in rig.service.driver.router.ready]

    assert sorted(run_with_rig(script)) == ["cache:0", "cache:2"]


def test_the_number_of_disabled_servers_is_limited(monkeypatch):
    monkeypatch.setattr("rowanshift.cacheproxy.membership.MAX_DISABLED", 1)

    async def script(rig):
        return [await rig.command(f"DISABLE cache:{n}") for n in (0, 1, 0)]

    assert [text.split()[0] for text in run_with_rig(script)] == ["SUCCESS", "FAILURE", "SUCCESS"]
