"""The routing decisions: each test sets up the state of a ``Router`` and calls it directly."""

import pytest

from rowanshift.cacheproxy.model import Answer, Item, Tally, Verdict
from rowanshift.placement.hash_ring import stable_hash
from rowanshift.placement.hot_keys import SHADOW_LEASE_SECONDS, HotKey
from tests.support.helpers import (
    CATEGORIES,
    EXCLUSIVE,
    ORIGIN,
    RERUNNABLE,
    TICKETED,
    ZONAL,
    make_entry,
    make_router,
    report_response,
    request_decision,
)

KEY_HASH = stable_hash("k") >> 32
KEYS = [f"k:{n}" for n in range(300)]


@pytest.mark.parametrize(
    ("category", "verdict", "again"),
    [
        (RERUNNABLE, Verdict.ERROR, True),
        (RERUNNABLE, Verdict.RESET, True),
        (RERUNNABLE, Verdict.FULL, True),
        (TICKETED, Verdict.ERROR, True),
        (TICKETED, Verdict.UNREACHABLE, True),
        (EXCLUSIVE, Verdict.ERROR, False),
        (EXCLUSIVE, Verdict.RESET, False),
        (EXCLUSIVE, Verdict.FULL, True),
        (EXCLUSIVE, Verdict.WITHDRAWN, False),
        (EXCLUSIVE, Verdict.UNREACHABLE, True),
    ],
)
def test_a_work_item_is_retried_only_if_its_effect_can_not_happen_twice(category, verdict, again):
    r = make_router(aside=False)
    first = request_decision(r, 1, category=category, write=True).hand_offs[0][2]
    results = report_response(r, 1, first, verdict)
    assert bool(results.hand_offs) == again
    assert again or [a for _, a, _ in results.answers] == [Answer.WRITTEN_OFF]


@pytest.mark.parametrize(
    ("category", "ran", "answer"),
    [
        (RERUNNABLE, True, Answer.DEFERRED),
        (TICKETED, True, Answer.DEFERRED),
        (ZONAL, True, Answer.WRITTEN_OFF),
        (ZONAL, False, Answer.DEFERRED),
        (EXCLUSIVE, True, Answer.WRITTEN_OFF),
        (EXCLUSIVE, False, Answer.DEFERRED),
    ],
)
def test_a_work_item_is_deferred_only_if_a_retry_by_the_client_is_safe(category, ran, answer):
    r = make_router()
    request_decision(r, 1, category=category, write=True)
    item = r.items[1]
    item.open_attempts, item.ran_since = 0, 99.0 if ran else None
    r.give_up(item)
    assert [a for _, a, _ in r.drain().answers] == [answer] and not r.items


@pytest.mark.parametrize(("zone", "age", "goes"), [(0, 1.0, True), (1, 1.0, False), (0, 5.0, False)])
def test_a_ticketed_retry_stays_in_the_deduplicating_group_and_window(zone, age, goes):
    r = make_router(entries=[make_entry(0, zone=zone)])
    request_decision(r, 1, category=ZONAL, write=True)
    item = r.items[1]
    item.ran_since, item.ran_group = r.now - age, 0
    assert r._accepts(r.caches["cache:0"], item) == goes


def test_a_late_outcome_after_the_final_answer_changes_nothing():
    r = make_router()
    server = request_decision(r, 1).hand_offs[0][2]
    r.client_left(r.now, 1)
    assert not report_response(r, 1, server, Verdict.ERROR).hand_offs and r.caches[server].inflight == 0


@pytest.mark.parametrize("caches", [0, 1])
def test_an_expired_work_item_is_answered_at_once(caches):
    assert len(request_decision(make_router(caches), 1, left=0).answers) == 1


def test_without_cache_and_origin_a_work_item_is_deferred():
    r = make_router(0)
    r.list_changed(r.now, "delta", [make_entry("origin", "dead")])
    assert [a for _, a, _ in request_decision(r, 1).answers] == [Answer.DEFERRED]


@pytest.mark.parametrize("health", ["quiescing", "dead"])
def test_a_drained_cache_gets_no_new_keys_and_other_caches_keep_theirs(health):
    r = make_router()
    before = {k: r._walk(stable_hash(k) >> 32)[0].entry.server for k in KEYS}
    r.list_changed(r.now, "delta", [make_entry(2, health)])
    after = {k: r._walk(stable_hash(k) >> 32)[0].entry.server for k in KEYS}
    assert "cache:2" not in after.values()
    assert all(after[k] == home for k, home in before.items() if home != "cache:2")


def test_ring_points_are_proportional_to_heft():
    r = make_router(entries=[make_entry(0, heft=3.0), make_entry(1), make_entry(2)])
    homes = [r._walk(stable_hash(k) >> 32)[0].entry.server for k in KEYS]
    assert homes.count("cache:0") > homes.count("cache:1") + homes.count("cache:2") * 0.5


def test_a_server_absent_from_a_full_list_is_removed():
    r = make_router()
    r.list_changed(r.now, "full", [make_entry(0), make_entry("origin")])
    assert [c.entry.server for c in r.ready] == ["cache:0"]


@pytest.mark.parametrize(("age", "low", "high"), [(0.0, 0.19, 0.21), (10.0, 0.59, 0.61), (20.0, 1.0, 1.0)])
def test_warmth_rises_linearly(age, low, high):
    r = make_router(entries=[make_entry(0, came_up=50.0), make_entry(1)])
    r.now = 50.0 + age
    assert low <= r.warmth(r.caches["cache:0"]) <= high


@pytest.mark.parametrize("routers", [3, 500])
def test_the_rate_of_all_routers_to_a_cold_cache_is_limited(routers):
    sent = 0
    for seed in range(routers):
        r = make_router(entries=[make_entry(0, came_up=100.0), make_entry(1)], routers=routers, seed=seed)
        r.warm_rate = 30.0 / routers  # over all routers 30 per second, of which a cache with a warmth of 0.2 gets 6
        for n in range(1, 1 + 3000 // routers):
            r.now = 100.0 + 3.0 * n * routers / 3000
            sent += r._cold_room(r.caches["cache:0"])
    assert 8 <= sent <= 45  # in 3 s; without the halved overload factor it would be 36 or more


def test_the_state_of_a_restarted_cache_is_reset():
    r = make_router()
    r.caches["cache:0"].strikes = 3
    r.list_changed(r.now, "delta", [make_entry(0, came_up=99.0)])
    assert r.caches["cache:0"].strikes == 0 and r.warmth(r.caches["cache:0"]) < 1


@pytest.mark.parametrize(("share", "epochs", "hot"), [(0.4, 3, False), (0.4, 4, True), (0.1, 8, False)])
def test_a_key_is_hot_after_four_epochs_over_the_mean_of_a_server(share, epochs, hot):
    r = make_router(5)
    for _ in range(epochs):
        r.scores.setdefault(KEY_HASH, HotKey()).score += 100 * share
        r.samples += 100
        r.now += 1.0
        r._end_epoch()
    assert bool(r.scores[KEY_HASH].shadows) == hot


def test_the_lease_of_a_key_that_is_no_longer_hot_expires():
    r = make_router()
    hot = r.scores[KEY_HASH] = HotKey()
    hot.shadows, hot.lease = 2, r.now + SHADOW_LEASE_SECONDS
    r.now += SHADOW_LEASE_SECONDS + 0.1
    r.samples = 100.0
    r._end_epoch()
    assert KEY_HASH not in r.scores


@pytest.mark.parametrize(("write", "score"), [(False, 1), (True, -1)])
def test_reads_raise_and_writes_lower_the_score_of_a_key(write, score):
    r = make_router()
    r.scores[KEY_HASH] = HotKey()
    request_decision(r, 1, write=write)
    assert r.scores[KEY_HASH].score == score


def test_a_replica_is_kept_until_it_has_far_more_in_flight_than_the_mean():
    r = make_router()
    hot, replicas = HotKey(), r.ready[:2]
    kept = r._select_replica(hot, replicas)
    assert r._select_replica(hot, replicas) is kept
    kept.inflight = 9
    assert r._select_replica(hot, replicas) is not kept


def test_a_held_fetch_retries_its_home_before_the_origin():
    """After an invalidation many routers fetch the key at once; while the origin is saturated, another router's
    fetch may fill the cache."""
    r = make_router()
    home = request_decision(r, 1).hand_offs[0][2]
    r.origin.limit, r.origin.limit_updated_at = 1e-9, r.now + 10
    assert not report_response(r, 1, home, Verdict.MISS).hand_offs
    r.timer_expired(r.now + 0.08)
    assert [h[2] for h in r.drain().hand_offs] == [home]


def test_work_items_over_the_limit_of_the_origin_are_held():
    r = make_router()
    r.origin.limit = 1.0
    assert request_decision(r, 1, "a", write=True).hand_offs and not request_decision(r, 2, "b", write=True).hand_offs
    assert report_response(r, 1, ORIGIN, Verdict.FINISHED).hand_offs[0][0] == 2


@pytest.mark.parametrize(("extra", "admitted"), [(1.0, True), (0.0, False)])
def test_work_over_quota_is_shed_only_under_overload(extra, admitted):
    r = make_router()
    r.extra, r.asked = extra, [1e9, 1e9]
    assert bool(request_decision(r, 1).hand_offs) == admitted


def test_a_work_item_has_at_most_one_open_hand_off():
    r = make_router()
    home = request_decision(r, 1).hand_offs[0][2]
    r.timer_expired(r.now + 0.45)
    assert not r.drain().hand_offs
    report_response(r, 1, home, Verdict.MISS)
    results = report_response(r, 1, ORIGIN, Verdict.ERROR, number=1)
    assert not results.answers and r.items[1].open_attempts == 1


@pytest.mark.parametrize(("load", "kept"), [(0, True), (8, False)])
def test_reads_skip_a_home_with_far_more_in_flight_than_the_mean(load, kept):
    r = make_router()
    home = r._walk(KEY_HASH)[0]
    home.inflight = load
    assert (request_decision(r, 1).hand_offs[0][2] == home.entry.server) == kept


@pytest.mark.parametrize(
    ("peers", "routers", "over"),
    [
        (False, 4, 0.0),
        (True, 4, 0.5),
        (True, 400, 0.5),
        (False, 400, 0.0),
    ],
)
def test_quotas_are_compared_with_the_rate_of_all_routers(peers, routers, over):
    """At twice a customer's quota half of its work is in excess, however little of it one router sees."""
    r = make_router(peers=peers, routers=routers)
    for _ in range(200):
        r.tally.asked, r.tally.span = [600, 600], 10.0 * routers  # quota: 30 a second
        r._apply_tally(r.tally)
    beyond = 0
    for n in range(1000):
        item = Item(n, CATEGORIES[RERUNNABLE], "k", r.now + 2, False)
        r._admits(item, 0)
        beyond += item.excess
    assert beyond / 1000 == pytest.approx(over, abs=0.05)


@pytest.mark.parametrize(("routers", "receivers"), [(3, 4), (500, 998)])
def test_messages_per_second_are_linear_in_the_number_of_routers(routers, receivers):
    sent = 0
    for ordinal in range(routers):
        r = make_router(peers=True, routers=routers, ordinal=ordinal)
        r.now += 1.0
        r._exchange_tallies()
        r.timer_expired(r.now + 1.0)
        sent += sum(routers - 1 if peer is None else 1 for peer, _ in r.drain().messages)
    assert sent == receivers


@pytest.mark.parametrize("payload", [b"", b"\x00", b"\x40" * 9, b"\x99" * 40, b"\x40" + b"\xff" * 255])
def test_a_message_of_another_version_is_ignored(payload):
    r = make_router(peers=True)
    r.tally_received(r.now, 1, payload)
    assert r.tally == Tally([0, 0]) and not r.drain().messages


@pytest.mark.parametrize(("base", "grows"), [(0.05, False), (0.14, True)])
def test_response_times_of_the_origin_are_judged_by_its_base(base, grows):
    r = make_router()
    r.origin.base, r.origin.limit, r.origin.inflight = base, 4.0, 4
    r._record_outcome(r.origin, Verdict.FINISHED, 0.35)  # over 0.6 of the due time
    assert (r.origin.limit > 4.0) == grows


@pytest.mark.parametrize(
    ("part", "median", "where"), [(1.0, 0.05, ORIGIN), (1.0, 0.1, "held"), (0.0, 0.05, "held"), (1.0, 0.0, ORIGIN)]
)
def test_a_read_whose_home_is_full_goes_to_an_unloaded_origin_or_is_held(part, median, where):
    # if such reads went on to the next cache while all are loaded, most would miss there and add to its load
    r = make_router()
    home = r._walk(KEY_HASH)[0]
    home.limit, home.inflight, home.heard_at = 4.0, 4, r.now
    r.origin.base, r.origin.median, r.origin.limit = min(median, 0.05), median, 8.0 * part or 1e-9
    results = request_decision(r, 1)
    assert [h[2] for h in results.hand_offs] == ([where] if where == ORIGIN else []) and not results.answers


@pytest.mark.parametrize(
    ("category", "limit", "taken"),
    [(RERUNNABLE, 8.0, True), (RERUNNABLE, 1e-9, False), (TICKETED, 8.0, False), (EXCLUSIVE, 8.0, False)],
)
def test_a_late_read_is_withdrawn_if_the_origin_has_capacity(category, limit, taken):
    # a router with few requests detects silent and jammed caches too late: without this, such reads time out
    r = make_router()
    home = request_decision(r, 1, category=category).hand_offs[0][2]
    r.origin.limit, r.origin.limit_updated_at = limit, r.now + 10
    r.timer_expired(r.now + 0.26)  # of a due time of 0.5
    assert r.drain().withdrawals == ([(1, 0)] if taken else [])
    if taken:
        assert [h[2] for h in report_response(r, 1, home, Verdict.WITHDRAWN, 0.26).hand_offs] == [ORIGIN]


@pytest.mark.parametrize(("limit", "where"), [(8.0, "origin"), (1e-9, "cache")])
def test_after_a_refused_connection_a_read_goes_to_an_origin_with_capacity_or_along_the_ring(limit, where):
    # four caches with full connection tables in a row would use up the hand-offs before the origin is tried
    r = make_router()
    server = request_decision(r, 1).hand_offs[0][2]
    r.origin.limit, r.origin.limit_updated_at = limit, r.now + 10
    ((_, _, second),) = report_response(r, 1, server, Verdict.UNREACHABLE, 0.001).hand_offs
    assert second.startswith(where) and second != server


def test_the_last_hand_off_of_a_read_goes_to_the_origin():
    r = make_router(max_hand_offs=2)
    server = request_decision(r, 1).hand_offs[0][2]
    assert [h[2] for h in report_response(r, 1, server, Verdict.FULL).hand_offs] == [ORIGIN]


@pytest.mark.parametrize(("taken", "grows"), [(True, False), (False, True)])
def test_a_withdrawn_read_counts_as_late_for_the_limit_of_all_caches(taken, grows):
    r = make_router()
    request_decision(r, 1)
    r.items[1].withdrawn, r.fleet.limit, r.fleet.inflight = taken, 8.0, 8
    r._end(r.items[1], True)
    assert (r.fleet.limit > 8.0) == grows


@pytest.mark.parametrize(("over", "back"), [(True, 2.0), (False, 0.125)])
def test_a_deferral_has_a_retry_delay(over, back):
    r = make_router()
    item = r.items[1] = Item(1, CATEGORIES[RERUNNABLE], "k", r.now + 2, False, excess=over)
    r.give_up(item)
    assert r.drain().answers == [(1, Answer.DEFERRED, back)]


@pytest.mark.parametrize(("reads", "hot"), [(2, False), (8, True)])
def test_one_or_two_reads_at_an_idle_router_are_no_hot_epoch(reads, hot):
    r = make_router(50, routers=500, quotas=[])
    for n in range(26):  # at two a second
        request_decision(r, n, key="k" if n < reads else f"k:{n}")
        r.now += 0.5
    assert (KEY_HASH in r.scores and r.scores[KEY_HASH].streak > 0) == hot


@pytest.mark.parametrize("routers", [3, 500])
def test_slow_fetches_reduce_the_fetches_of_all_routers(routers):
    """After a flush every router has reads to fetch; hundreds that each send one at a time overload the origin."""
    sent = 0
    for seed in range(routers):
        r = make_router(routers=routers, seed=seed)
        r.origin.limit = 1.0
        for _ in range(3):
            r._record_outcome(r.origin, Verdict.FINISHED, 2.0)
        sent += r._room(r.origin)
    assert sent <= max(2, 0.2 * routers)


@pytest.mark.parametrize(("out", "named"), [((40, 4, 4), [0]), ((9, 9, 9), []), ((1, 0, 0), [])])
def test_the_aggregator_reports_a_cache_far_over_the_mean_in_flight_but_no_evenly_busy_fleet(out, named):
    r = make_router(3, peers=True)
    hashes = [c.server_hash for c in r.ready]
    over = r._overloaded_caches(Tally([0, 0], out=dict(zip(hashes, out, strict=True))))
    assert list(over) == [hashes[i] for i in named] and all(keep < 255 for keep in over.values())


@pytest.mark.parametrize(("since", "most"), [(0.0, 0.1), (0.4, 0.108), (1000.0, 0.11)])
def test_a_limit_that_was_cut_long_ago_grows_by_half_a_second_at_most(since, most):
    """A router with few requests uses a cache every ten seconds; growth over a whole minute would undo all cuts."""
    r = make_router(now=1000.0)
    cache = r.ready[0]
    cache.limit, cache.limit_updated_at = 0.1, r.now - since
    r._recover_limit(cache)
    assert 0.1 <= cache.limit <= most


@pytest.mark.parametrize(("span", "moves"), [(4.0, True), (1.0, False)])
def test_a_sum_over_one_side_of_a_partition_does_not_change_customers_rates(span, moves):
    r = make_router(peers=True, routers=4)
    r.asked = [10.0, 10.0]
    r._apply_tally(Tally([400, 400], span=span, total=True))
    assert (r.asked[0] > 10) == moves


@pytest.mark.parametrize(
    ("limit", "keep", "heard", "after"),
    [
        (0.1, None, False, 0.15),  # as by one timely answer, however long the router was idle
        (0.1, None, True, 0.15),
        (0.2, None, False, 0.25),  # no further: above that the router's own answers decide
        (0.4, None, False, 0.4),
        (8.0, None, False, 8.0),
        (0.1, 128, True, 0.1),  # overloaded over all routers, but the router has recent answers of its own
        (0.4, 128, False, 0.4 * 1.2**0.5 * 128 / 255),
    ],
)
def test_a_limit_recovers_by_totals_that_report_no_overload_of_the_cache(limit, keep, heard, after):
    # guards against limits that stay low after a burst: one of hundreds of routers uses a cache every few
    # seconds, and each use recovers half a second's growth at most
    r = make_router(peers=True, routers=200)
    cache = r.ready[0]
    cache.limit, cache.limit_updated_at = limit, r.now
    r.now += 10
    cache.heard_at = r.now if heard else 0.0
    r._apply_tally(Tally([0, 0], span=200.0, total=True, keep={} if keep is None else {cache.server_hash: keep}))
    assert cache.limit == pytest.approx(after)


@pytest.mark.parametrize(("routers", "caches", "quotas"), [(1, 1, []), (1000, 1, [0.0]), (1000, 3, [0.2])])
def test_extreme_settings_leave_every_work_item_answered_held_or_handed_off(routers, caches, quotas):
    r = make_router(caches, routers=routers, ordinal=routers - 1, quotas=quotas, peers=True)
    for n in range(50):
        results = request_decision(r, n, KEYS[n])
        r.now += 0.1
        assert len(results.hand_offs) + len(results.answers) + len(r.held) >= 1


def test_the_state_of_dead_caches_is_removed_once_nothing_is_in_flight_there():
    # guards against memory that grows as long as caches are replaced by new ones; as many dead caches are
    # kept as there are live ones, since some return
    r = make_router()
    ((_, _, server),) = request_decision(r, 1).hand_offs
    for n in range(95):
        r.list_changed(r.now, "delta", [make_entry(n, "dead"), make_entry(5 + n)])
    assert len(r.caches) <= 14 and server in r.caches
    report_response(r, 1, server, Verdict.FINISHED)
    r.list_changed(r.now, "delta", [])
    assert len(r.caches) <= 13 and server not in r.caches and len(r.ready) == 5


@pytest.mark.parametrize(
    ("since", "verdict", "silent"),
    [(0.02, Verdict.RESET, False), (0.2, Verdict.RESET, True), (0.02, Verdict.UNREACHABLE, True)],
)
def test_a_reset_among_answers_excludes_a_cache_only_until_its_next_answer(since, verdict, silent):
    # guards against excluding a cache for half a second or more because one of many connections broke
    r = make_router()
    r.fleet.base = 0.05
    ((_, _, server),) = request_decision(r, 1).hand_offs
    request_decision(r, 2)
    report_response(r, 1, server, Verdict.FINISHED)
    r.now += since
    request_decision(r, 3)
    report_response(r, 2, server, verdict, after=0.001)
    cache = r.caches[server]
    assert (cache.silent_until > r.now, cache.inflight) == (silent, 1)
    assert not r._accepts(cache, Item(9, CATEGORIES[0], "k", r.now + 1, False))
    report_response(r, 3, server, Verdict.FINISHED)
    assert not cache.strikes and not cache.silent_until


@pytest.mark.parametrize(("category", "taken_back"), [(RERUNNABLE, [(1, 0)]), (TICKETED, []), (EXCLUSIVE, [])])
def test_a_hand_off_on_a_stuck_connection_is_withdrawn_if_it_may_be_repeated(category, taken_back):
    r = make_router()
    request_decision(r, 1, category=category)
    r.connection_stuck(r.now + 0.3, 1, 0)
    r.connection_stuck(r.now, 2, 0)
    assert r.drain().withdrawals == taken_back


@pytest.mark.parametrize(
    ("slow_end", "miss_share", "held_for"), [(0.0, 0.02, 0.1), (0.2, 0.02, 0.05), (0.2, 0.0, 0.0), (0.2, 0.5, 0.1)]
)
def test_the_longest_hold_decreases_with_the_fraction_that_may_miss(slow_end, miss_share, held_for):
    r = make_router(slow_end=slow_end, miss_share=miss_share)
    r.origin.limit = 1.0
    request_decision(r, 1, "a", write=True)
    assert not request_decision(r, 2, "b", write=True).answers
    r.timer_expired(r.now + held_for - 0.001)
    assert not r.drain().answers
    r.timer_expired(r.now + 0.002)
    assert [(id, answer) for id, answer, _ in r.drain().answers] == [(2, Answer.DEFERRED)]


def test_nothing_is_withdrawn_if_cancelling_is_disabled():
    r = make_router(cancelling=False)
    request_decision(r, 1)
    r.connection_stuck(r.now + 0.3, 1, 0)
    r.timer_expired(r.now)
    assert not r.drain().withdrawals


@pytest.mark.parametrize(("limit", "where"), [(8.0, ORIGIN), (1e-9, "cache")])
def test_reads_over_the_rate_of_a_cold_home_go_to_an_origin_with_capacity_before_the_next_cache(limit, where):
    # guards against misses after a restart of all caches, when reads went on along the ring and missed there
    r = make_router()
    home = r._walk(KEY_HASH)[0]
    home.entry = home.entry._replace(came_up=r.now)
    r.origin.limit, r.origin.limit_updated_at = limit, r.now + 10
    ((_, _, server),) = request_decision(r, 1).hand_offs
    assert server.startswith(where) and server != home.entry.server


def test_the_base_response_time_rises_little_during_congestion():
    # guards against a threshold for slow responses of the origin that rose by half in 30 s of congestion
    r = make_router()
    for n in range(16 + 16 * 20):
        r._record_outcome(r.origin, Verdict.FINISHED, 0.05 if n < 16 else 0.4)
    assert r.origin.median > 5 * 0.05 and r.origin.base < 1.6 * 0.064  # a growth of 2% would give a factor of 2.1


@pytest.mark.parametrize(
    ("slow_limit", "fleet_limit", "sheds"),
    [
        (0.05, 10.0, False),  # one cache is slow on its own
        (0.05, 0.1, True),  # limits are low at all caches, as hundreds of routers share them
        (1.0, 10.0, True),
    ],
)
def test_work_held_for_one_slow_cache_is_no_overload_of_all_caches(slow_limit, fleet_limit, sheds):
    # guards against shedding work over quota at every cache because one of them hardly answers
    r = make_router(1)
    slow = r.ready[0]
    r.fleet.limit, slow.limit, slow.limit_updated_at, r.extra = fleet_limit, slow_limit, r.now, 1.0
    r.take(r.now, 1, RERUNNABLE, 0, "k", 2.0, False)
    r._hold(r.items[1], slow)
    r.now += 0.09
    r._adapt_admission(1.0)
    assert (r.extra < 1) == sheds
