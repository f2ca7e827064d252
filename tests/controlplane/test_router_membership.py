"""Which routers the primary counts as members, and when it informs them of each other."""

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

SETTLED = MEMBER_SECONDS + MEMBERSHIP_CHECK_SECONDS + 0.1  # seconds after which a new primary has heard all routers


def played(main: Callable[[RouterMembership], object]) -> object:
    """What ``main`` returns of a membership that runs on a virtual clock."""

    async def run() -> object:
        membership = RouterMembership(UpdateSignal())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(membership.run, SYSTEM_RUNTIME)
            found = await main(membership)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def poll(membership: RouterMembership, machines: tuple[int, ...], seconds: float) -> None:
    """Routers poll twice a second for so long."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        for machine in machines:
            membership.record_poll(machine, trio.current_time())
        await trio.sleep(0.5)


class Members(unittest.TestCase):
    def test_a_new_primary_names_no_peers_before_it_has_heard_all(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), MEMBER_SECONDS - 0.1)
            before = membership.peers_serial, membership.budget_shares(trio.current_time())
            await poll(membership, (1, 2), SETTLED)
            return [before, membership.peers, membership.budget_shares(trio.current_time())]

        self.assertEqual(played(main), [(0, 0), (1, 2), 2])

    def test_a_silent_router_is_no_peer_and_counts_for_budgets_a_while(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), SETTLED)
            await poll(membership, (1,), SETTLED)
            shortly = membership.peers, membership.budget_shares(trio.current_time())
            await poll(membership, (1,), BUDGET_MEMBER_SECONDS)
            return [shortly, membership.budget_shares(trio.current_time()), set(membership.polled_at)]

        self.assertEqual(played(main), [((1,), 2), 1, {1}])

    def test_routers_are_informed_when_the_members_change_and_only_then(self) -> None:
        async def main(membership: RouterMembership) -> list[int]:
            membership.on_role_change(True)
            serials = []
            for machines in ((1, 2), (1, 2), (1, 2, 3)):
                await poll(membership, machines, SETTLED)
                serials.append(membership.peers_serial)
            return serials

        self.assertEqual(played(main), [1, 1, 2])

    def test_a_change_of_the_primary_forgets_all(self) -> None:
        async def main(membership: RouterMembership) -> list[object]:
            membership.on_role_change(True)
            await poll(membership, (1, 2), SETTLED)
            membership.on_role_change(False)
            now = trio.current_time()
            return [membership.peers, membership.peers_serial, membership.ages(now), membership.budget_shares(now)]

        self.assertEqual(played(main), [(), 0, {}, 0])


if __name__ == "__main__":
    unittest.main()
