"""What staff do with a router in service: calls on the second address, figures, drained and back."""

import pytest
import trio
from rig import played
from test_net import GOOD

from rowanshift.net.config import ConfigError, config_of, control_of
from rowanshift.net.control import CALLERS, LONGEST_LINE, Control
from rowanshift.net.figures import Figures
from rowanshift.net.service import Phase

# the second address -----------------------------------------


@pytest.mark.parametrize(("line", "answer"), [
    (b"READY\n", "SUCCESS\n"), (b"READY\r\n", "SUCCESS\n"), (b"  READY \n", "SUCCESS\n"),
    (b"REBOOT\n", "FAILURE unknown call"), (b"\n", "FAILURE unknown call"),
    (b"ready\n", "FAILURE unknown call"),
    (b"READY now\n", "FAILURE READY takes no"), (b"\xff\xfe\n", "FAILURE the line is no text"),
    (b"READY\nDRAIN\n", "SUCCESS\n"),
])
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
        await gone.send_all(b"GET /read/slow HTTP/1.1\r\nHost: a\r\nX-Txn: g\r\nX-Org: demo\r\n"
                            b"X-Remaining-Ms: 900\r\n\r\n")
        await trio.sleep(0.05)
        during = (await rig.figures())["router_in_flight"]
        await gone.aclose()
        await trio.sleep(0.05)
        return first, during, await rig.figures()

    first, during, last = played(script)
    assert first == {f'router_requests{{class="{c}",outcome="{o}"}}': 0 for c in ("read", "write")
                     for o in ("served", "refused", "failed")} | {
        "router_attempts": 0, "router_in_flight": 0, "router_cache_servers_known": 4,
        "router_cache_servers_excluded": 0}
    assert during == 1 and last["router_in_flight"] == 0
    assert last['router_requests{class="read",outcome="served"}'] == 3
    assert last['router_requests{class="read",outcome="failed"}'] == 2
    assert last["router_attempts"] == 7  # misses and fetches of a, b and slow, and a hit


def test_label_values_are_escaped():
    assert r'class="a\"b\\c"' in Figures(['a"b\\c']).text()


@pytest.mark.parametrize(("status", "outcome"), [(200, "served"), (503, "refused"), (429, "refused"),
                                                 (502, "failed"), (504, "failed"), (0, "failed")])
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
        rig.service.told_to_stop.set()
        await trio.sleep(0.05)
        late = await rig.call("UNDRAIN"), await rig.call("READY")
        with trio.fail_after(3):
            while rig.service.phase is not Phase.STOPPED:
                await trio.sleep(0.02)
        return late

    assert played(script) == ("FAILURE leaving\n", "FAILURE leaving\n")


def test_without_control_nothing_more_listens():
    async def script(rig):
        return rig.service.budget.limit, rig.service.config.control

    limit, control = played(script, control=None)
    assert control is None and limit > 256 - 24 - CALLERS


def test_the_control_of_a_configuration_is_optional():
    assert config_of(GOOD).control is None
    assert config_of(GOOD | {"control": "127.0.0.1:7"}).control == ("127.0.0.1", 7)
