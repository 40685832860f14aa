"""Finds the endpoint for a request: the best one now, or the one that will have its adapter soon.

While an adapter is on its way, the request waits for news of that engine. Each time it looks again,
the best engine is chosen anew from what is believed then.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Final

from wigeonarch_core.engine_choice import Choice, EngineState, choose_again
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.service_choice import ServiceState, choose_plain
from wigeonarch_core.service_load import ServiceTimes, sent_share
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.endpoints import Endpoints
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.evidence import Evidence
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.traffic import Traffic
from wigeonarch_gateway.wishes import Wishes

# Longest wait for a wished load before another engine is asked: loads that must be fetched, and
# seconds at least, in which a wish that was lost is repeated.
WISH_PATIENCE: Final = 1.8
WISH_PATIENCE_LEAST: Final = 0.2
# Share of the time between heartbeats by which expectations are spread at random.
SPREAD: Final = 0.25
# Share of the objective for which a request is held while no endpoint can take it at all.
HOLD_SHARE: Final = 0.5
# The same while an adapter is on its way: a request that is later than this earns little, and its
# caller, told in time, may find another instance that can do better before it gives up.
HOLD_MOST: Final = 2.0
# Share of the objective for which a prompt is held back while its engine reads others: it costs the
# request nothing, and streams there pause for less long.
SPACED_SHARE: Final = 0.3
# Seconds between looks while no endpoint can take a request.
LOOK_AGAIN: Final = 0.03
# Least and greatest seconds of a wait for a load, if no news come.
PAUSE_LEAST: Final = 0.004
PAUSE_MOST: Final = 0.1
TIMER_SLACK: Final = 0.002  # Seconds added so that a timer is not early.

# Seconds for which a request that all endpoints of a plain service refused waits before the next.
FULL_PAUSE: Final = 0.1

# When to come back after a refusal, in seconds: loads and queues change within that.
COME_BACK: Final = 0.3

Inputs = dict[str, object]


class NoEndpoint(enum.Enum):
    """Why there is no endpoint for a request."""

    NONE = "no_endpoint"  # None that can take it, for as long as it may wait.
    OVERLOADED = "service_overloaded"  # Its service has no time for all that is asked.
    LIMITED = "endpoints_limited"  # All have named a limit, which leaves no place in time.


class Finder:
    """Chooses endpoints by what this instance believes."""

    __slots__ = (
        "_catalogue",
        "_endpoints",
        "_evidence",
        "_lag",
        "_times",
        "_traffic",
        "_views",
        "_wishes",
        "_zone",
    )

    def __init__(
        self,
        catalogue: Catalogue,
        endpoints: Endpoints,
        views: EngineViews,
        traffic: Traffic,
        evidence: Evidence,
        wishes: Wishes,
        zone: str,
        lag: Callable[[], float],
    ) -> None:
        """Makes a finder for an instance in `zone`; `lag` is the age of what others told."""
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._evidence = evidence
        self._wishes = wishes
        self._zone = zone
        self._lag = lag
        self._times = ServiceTimes()

    async def find(self, job: Job) -> EndpointRecord | NoEndpoint:
        """Returns an endpoint that can run the request now, or why there is none in time."""
        began = monotonic()
        patience = HOLD_SHARE * job.route.objective
        longest = HOLD_MOST * job.route.objective
        found: EndpointRecord | NoEndpoint | None
        while True:
            now = monotonic()
            if job.terms.model and job.spec is not None and job.spec.engine is not None:
                choice = self._choose_engine(job, now)
                found, hopeful = self._use(job, choice, now), choice is not None
                held_back = choice is not None and choice.crowded and self._can_wait(job, now)
                if found is not None and held_back:
                    await self._views.change(LOOK_AGAIN)
                    continue
            else:
                found, hopeful = self._find_plain(job, now, now - began), False
            if found is NoEndpoint.OVERLOADED:
                return found
            if isinstance(found, EndpointRecord):
                job.waited += now - began
                return found
            limited_for = self._limited_for(job, now)
            if limited_for and now + limited_for > began + patience:
                return NoEndpoint.LIMITED
            if now - began > (longest if hopeful else patience):
                return NoEndpoint.NONE
            if hopeful:
                await self._views.change(self._pause(job, now), job.wished)
            else:
                await self._views.change(LOOK_AGAIN)

    def _pause(self, job: Job, now: float) -> float:
        """Returns the time after which a wished load may be there without further news."""
        left = self._views.get(job.wished).loading_left(self.adapter(job), now)
        if left is None:
            return PAUSE_MOST
        return max(PAUSE_LEAST, min(PAUSE_MOST, left + TIMER_SLACK))

    def _find_plain(
        self, job: Job, now: float, waited: float
    ) -> EndpointRecord | NoEndpoint | None:
        records = self._usable(job, now)
        if waited < FULL_PAUSE and all(record.endpoint in job.avoid for record in records):
            return None
        usual = self._times.usual(job.service)
        chosen = choose_plain([self._plain_state(r) for r in records], self._lag(), usual)
        record = self._endpoints.get(chosen) if chosen else None
        if record is None or job.sends:
            return record
        running = self._traffic.at(record.endpoint).running
        share = sent_share(running, record.slots, usual, job.route.objective)
        return record if random.random() < share else NoEndpoint.OVERLOADED

    def _plain_state(self, record: EndpointRecord) -> ServiceState:
        return ServiceState(
            record.endpoint,
            record.zone == self._zone,
            record.slots,
            self._traffic.at(record.endpoint).running,
            self._evidence.failing(record),
        )

    def answered(self, job: Job, record: EndpointRecord, took: float, running: int) -> None:
        """Notes how long a request took at an endpoint that had so many when it was sent."""
        self._times.answered(job.service, took, running, record.slots)

    def _usable(self, job: Job, now: float) -> list[EndpointRecord]:
        ready = self._endpoints.ready(job.service)
        fresh = [record for record in ready if record.endpoint not in job.avoid]
        fresh = fresh or [record for record in ready if record.endpoint not in job.ran]
        reached = [record for record in fresh if not self._evidence.shut(record, now)]
        if not self._evidence.any_limits(now):
            return reached
        return [record for record in reached if not self._evidence.limited_for(record, now)]

    def _limited_for(self, job: Job, now: float) -> float:
        """Returns the seconds until the first endpoint takes a request by the limit it named.

        It is 0 where limits don't keep the request from all endpoints.
        """
        if not self._evidence.any_limits(now):
            return 0.0
        ready = self._endpoints.ready(job.service)
        reached = [record for record in ready if not self._evidence.shut(record, now)]
        return min((self._evidence.limited_for(record, now) for record in reached), default=0.0)

    def come_back(self, job: Job, why: NoEndpoint) -> float:
        """Returns the seconds after which a refused request should come back."""
        if why is not NoEndpoint.LIMITED:
            return COME_BACK
        return max(COME_BACK, self._limited_for(job, monotonic()))

    @staticmethod
    def _can_wait(job: Job, now: float) -> bool:
        """Tells whether a request has time to let others' prompts be read first."""
        return now - job.req.received < SPACED_SHARE * job.route.objective

    def _use(self, job: Job, choice: Choice | None, now: float) -> EndpointRecord | None:
        """Returns the chosen engine if the request can be sent; else asks it for the adapter."""
        if choice is None:
            return None
        if not choice.load:
            return self._endpoints.get(choice.endpoint)
        if choice.endpoint != job.wished:
            self._note_wish(job, choice, now)
            job.wished = choice.endpoint
            job.wished_at = now
        self._wishes.wish(choice.endpoint, self.adapter(job), job.priority, missing=False)
        return None

    def _note_wish(self, job: Job, choice: Choice, now: float) -> None:
        view = self._views.get(choice.endpoint)
        log(
            "adapter_awaited",
            request=job.key,
            endpoint=choice.endpoint,
            adapter=job.terms.adapter,
            expected=choice.expected,
            holder=view.holder,
            heard=now - view.heard,
            free=view.free,
            loading=len(view.loading),
            before=job.wished,
            waited=now - job.req.received,
        )

    def _choose_engine(self, job: Job, now: float) -> Choice | None:
        key = self.adapter(job)
        states = [self._state(record, job, key, now) for record in self._usable(job, now)]
        found = [state for state in states if state is not None]
        load_time = self._views.get(job.wished).load_time if job.wished else 0.0
        patience = max(WISH_PATIENCE_LEAST, WISH_PATIENCE * load_time)
        patient = now - job.wished_at < patience
        spread = SPREAD * self._lag()
        return choose_again(
            found,
            job.terms.prompt_tokens,
            job.wished,
            patient,
            lambda: random.uniform(0.0, spread),
        )

    def adapter(self, job: Job) -> AdapterKey:
        """Returns the adapter that a request needs, at the newest version named."""
        terms = job.terms
        version = self._catalogue.version(terms.model, terms.adapter) if terms.adapter else 0
        return AdapterKey(terms.model, terms.adapter, version)

    def _state(
        self, record: EndpointRecord, job: Job, key: AdapterKey, now: float
    ) -> EngineState | None:
        view = self._views.get(record.endpoint)
        if key.model not in view.models:
            return None
        load = self._traffic.at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        return EngineState(
            endpoint=record.endpoint,
            same_zone=record.zone == self._zone,
            holds=not key.adapter or view.holds(key, now),
            loading_left=view.loading_left(key, now),
            warm=view.warm(key),
            replaces=view.replaces(key),
            loadable=view.loadable(now),
            free_places=view.free,
            loading=len(view.loading),
            waiting_tokens=load.waiting_tokens,
            running=load.running,
            batch=engine.batch if engine else record.slots,
            kv_tokens=load.kv_tokens,
            kv_total=engine.kv_tokens if engine else 0,
            failing=self._evidence.failing(record),
            load_time=view.load_time,
            slowness=self._evidence.slowness(record, now),
            recent_tokens=load.recent_tokens,
            largest_pause=job.route.largest_pause,
        )

    def inputs(self, job: Job) -> Inputs:
        """Returns what a refusal rested on, for the log."""
        now = monotonic()
        ready = self._endpoints.ready(job.service)
        views = [self._views.get(record.endpoint) for record in ready]
        return {
            "route": job.route.name,
            "content": job.content,
            "service": job.service,
            "adapter": job.terms.adapter,
            "ready": len(ready),
            "limited": sum(self._evidence.limited_for(record, now) > 0.0 for record in ready),
            "shut": sum(self._evidence.shut(record, now) for record in ready),
            "loadable": sum(view.loadable(now) for view in views),
            "with_model": sum(job.terms.model in view.models for view in views),
            "sends": job.sends,
            "waited": now - job.req.received,
        }
