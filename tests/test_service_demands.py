"""What instances tell each other of the demand for busy plain services."""

from __future__ import annotations

import msgspec
import pytest
from wigeonarch_core.service_admission import WATCH_TIME
from wigeonarch_core.service_demand import (
    NO_TEAM,
    Kind,
    admitted_parts,
    team_key,
    total_demand,
)
from wigeonarch_gateway.messages import Heartbeat, ServiceDemand, decode, encode
from wigeonarch_gateway.service_demands import MAX_REPORTED_KINDS, ServiceDemands
from wigeonarch_gateway.traffic import InFlightTracker

PLAIN = Kind(1, NO_TEAM)
# What a heartbeat a second to each of 40 instances may add: 4 KB a second.
MAX_REPORT_BYTES = 102


def busy(requests: dict[Kind, int], service: str = "desk") -> ServiceDemands:
    found = ServiceDemands()
    for kind, count in requests.items():
        for _ in range(count):
            found.record(service, kind, 0.8, 0.0)
    found.note_busy(service, 0.2, 0.0)
    return found


def test_a_service_is_reported_only_while_it_is_busy() -> None:
    idle = ServiceDemands()
    idle.record("desk", PLAIN, 0.8, 0.0)
    assert idle.own_report(0.0) == []
    found = busy({PLAIN: 10})
    assert [report.service for report in found.own_report(1.0)] == ["desk"]
    assert found.own_report(WATCH_TIME) == []


def test_a_report_replaces_the_last_one_and_goes_with_its_sender() -> None:
    found = ServiceDemands()
    found.receive("a", [ServiceDemand("desk", 200, [(1, 0, 100)])])
    found.receive("a", [ServiceDemand("desk", 200, [(1, 0, 50), (2, 7, 10)])])
    found.receive("b", [ServiceDemand("desk", 300, [(1, 0, 50)])])
    assert found.peer_rates("desk") == {PLAIN: 10.0, Kind(2, 7): 1.0}
    assert found.peer_service_time("desk") == 0.25
    found.forget_instance("a")
    assert found.peer_rates("desk") == {PLAIN: 5.0}
    found.receive("b", [])
    assert found.peer_rates("desk") == {}
    assert found.peer_service_time("desk") is None


def test_a_silent_instance_is_forgotten_with_its_loads() -> None:
    traffic = InFlightTracker()
    traffic.receive_loads("a", [])
    traffic.demands.receive("a", [ServiceDemand("desk", 200, [(1, 0, 100)])])
    traffic.forget_instance("a")
    assert traffic.demands.peer_rates("desk") == {}


def test_a_zone_is_reported_as_one() -> None:
    found = busy({PLAIN: 10})
    found.receive("a", [ServiceDemand("desk", 200, [(1, 0, 100), (3, 9, 20)])])
    found.receive("far", [ServiceDemand("desk", 200, [(1, 0, 1000)])])
    (report,) = found.combined_report(["a"], 1.0)
    rates = {(rank, team): units for rank, team, units in report.kinds}
    assert rates[3, 9] == 20
    assert 100 < rates[1, 0] < 1000


def test_a_restarted_instance_takes_the_service_time_of_the_others() -> None:
    found = ServiceDemands()
    found.receive("a", busy({PLAIN: 10}).own_report(0.0))
    assert found.peer_service_time("desk") == 0.2


@pytest.mark.parametrize("services", [1, 3, 20])
@pytest.mark.parametrize("ranks", [1, 3, 10])
def test_a_report_is_bounded(services: int, ranks: int) -> None:
    found = ServiceDemands()
    for service in range(services):
        for number in range(100):
            kind = Kind(number % ranks, team_key(f"team-{number}"))
            found.record(f"service-{service:03}", kind, 0.8, 0.0)
        found.note_busy(f"service-{service:03}", 0.2, 0.0)
    report = found.own_report(0.0)
    assert len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES
    assert sum(len(demand.kinds) for demand in report) <= MAX_REPORTED_KINDS


def test_heartbeats_of_builds_with_and_without_demands_are_read() -> None:
    beat = Heartbeat("a", "boot", "127.0.0.1:9", "a", False, 5, 3000, [], [])
    beat.demands = [ServiceDemand("desk", 200, [(1, 0, 100)])]
    assert decode(encode(beat)) == beat
    older = msgspec.msgpack.decode(encode(beat))[:-1]
    found = decode(msgspec.msgpack.encode(older))
    assert isinstance(found, Heartbeat)
    assert found.demands == []


def test_teams_that_reports_do_not_name_compete_each_for_itself() -> None:
    own = {Kind(1, team): 1.0 for team in range(1, 41)}
    named = {Kind(1, team): 9.0 for team in range(1, 8)}
    peers = named | {Kind(1, NO_TEAM): 9.0 * 33}
    demand = total_demand(own, peers, sent_by_peers=360.0)
    parts = admitted_parts(demand, 200.0)
    assert sum(demand.values()) == pytest.approx(400.0)
    assert [parts[kind] for kind in own] == pytest.approx([0.5] * len(own))
