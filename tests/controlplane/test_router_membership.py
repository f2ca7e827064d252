"""Membership of routers on the primary, and its publication to routers."""

import unittest
from collections.abc import Callable

import trio
import trio.testing

from rowanshift.controlplane.router_membership import (
    BUDGET_MEMBER_SECONDS,
    MEMBER_SECONDS,
    MEMBERSHIP_CHECK_SECONDS,
    RouterMembership,
)
from rowanshift.controlplane.state_publication import UpdateSignal
from rowanshift.transport.runtime import SYSTEM_RUNTIME

SETTLING_SECONDS = MEMBER_SECONDS + MEMBERSHIP_CHECK_SECONDS + 0.1  # until a new primary knows all routers


def run_on_virtual_clock(main: Callable[[RouterMembership], object]) -> object:
    """Run ``main`` with a membership on a virtual clock and return its result."""

    async def run() -> object:
        membership = RouterMembership(UpdateSignal())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(membership.run, SYSTEM_RUNTIME)
            result = await main(membership)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def poll(membership: RouterMembership, machines: tuple[int, ...], seconds: float) -> None:
    """Poll twice per second from each of ``machines`` for ``seconds``."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        for machine in machines:
            membership.record_poll(machine, trio.current_time())
        await trio.sleep(0.5)


class Members(unittest.TestCase):
    def test_a_new_primary_publishes_no_peers_before_all_routers_have_polled(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), MEMBER_SECONDS - 0.1)
            before = membership.peers_serial, membership.budget_shares(trio.current_time())
            await poll(membership, (1, 2), SETTLING_SECONDS)
            return [before, membership.peers, membership.budget_shares(trio.current_time())]

        self.assertEqual(run_on_virtual_clock(main), [(0, 0), (1, 2), 2])

    def test_a_silent_router_is_not_a_peer_and_keeps_its_budget_share_for_a_time(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), SETTLING_SECONDS)
            await poll(membership, (1,), SETTLING_SECONDS)
            after_silence = membership.peers, membership.budget_shares(trio.current_time())
            await poll(membership, (1,), BUDGET_MEMBER_SECONDS)
            return [after_silence, membership.budget_shares(trio.current_time()), set(membership.polled_at)]

        self.assertEqual(run_on_virtual_clock(main), [((1,), 2), 1, {1}])

    def test_members_are_published_only_when_they_change(self) -> None:
        async def main(membership: RouterMembership) -> list[int]:
            membership.on_role_change(True)
            serials = []
            for machines in ((1, 2), (1, 2), (1, 2, 3)):
                await poll(membership, machines, SETTLING_SECONDS)
                serials.append(membership.peers_serial)
            return serials

        self.assertEqual(run_on_virtual_clock(main), [1, 1, 2])

    def test_a_change_of_the_primary_resets_the_membership(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), SETTLING_SECONDS)
            membership.on_role_change(False)
            now = trio.current_time()
            return [
                membership.peers,
                membership.peers_serial,
                membership.member_ages(now),
                membership.budget_shares(now),
            ]

        self.assertEqual(run_on_virtual_clock(main), [(), 0, {}, 0])


if __name__ == "__main__":
    unittest.main()
