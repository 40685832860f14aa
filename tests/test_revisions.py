"""Combined revisions never go back, although the store's own may."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins.store import StoreStandIn
from wigeonarch_core.revisions import REVISIONS_PER_ERA, era_of, global_revision, store_revision
from wigeonarch_gateway.ports import (
    Absent,
    Changes,
    Conflict,
    HistoryGone,
    Listing,
    ObjectKind,
    StoredObject,
)
from wigeonarch_platform.store import Store

ERAS = st.integers(0, 8000)
REVISIONS = st.integers(0, REVISIONS_PER_ERA - 1)


@given(ERAS, REVISIONS, ERAS, REVISIONS)
def test_combined_revisions_are_ordered_by_era_first(
    era: int, revision: int, other: int, later: int
) -> None:
    one, two = global_revision(era, revision), global_revision(other, later)
    assert (era_of(one), store_revision(one)) == (era, revision)
    assert (one < two) is ((era, revision) < (other, later))
    assert int(float(one)) == one


async def test_revision_of_an_earlier_era_is_not_sent_to_the_restored_store() -> None:
    standin = StoreStandIn()
    await standin.start()
    store = Store(standin.address)
    await standin.put("wigeonarch-leases", "a", {"n": 1})
    before = await store.list(ObjectKind.LEASES)
    assert isinstance(before, Listing)
    old = before.objects[0]
    standin.take_copy()
    await standin.restore_copy()
    after = await store.get(ObjectKind.LEASES, "a")
    assert isinstance(after, StoredObject)
    assert after.revision > before.as_of
    calls = len(standin.calls)
    assert isinstance(await store.replace(ObjectKind.LEASES, "a", {"n": 2}, old.revision), Conflict)
    assert isinstance(await store.watch(ObjectKind.LEASES, before.as_of, 0.1), HistoryGone)
    assert not await store.remove(ObjectKind.LEASES, "a", old.revision)
    assert len(standin.calls) == calls
    written = await store.replace(ObjectKind.LEASES, "a", {"n": 2}, after.revision)
    assert isinstance(written, StoredObject)
    assert written.revision > after.revision
    await store.close()
    await standin.stop()


@pytest.mark.parametrize("era", [None, 3])
async def test_watch_answered_in_another_era_reports_that_history_is_gone(
    era: int | None,
) -> None:
    standin = StoreStandIn()
    standin.era = era
    await standin.start()
    store = Store(standin.address)
    await standin.put("config", "main", {})
    listed = await store.list(ObjectKind.CONFIGURATION)
    assert isinstance(listed, Listing)
    assert isinstance(await store.watch(ObjectKind.CONFIGURATION, listed.as_of, 0.05), Changes)
    assert isinstance(await store.get(ObjectKind.CONFIGURATION, "none"), Absent)
    # The revision at which the watch starts exists in the next era too.
    standin.era = 4
    await standin.put("config", "main", {"version": 2})
    assert isinstance(await store.watch(ObjectKind.CONFIGURATION, listed.as_of, 0.05), HistoryGone)
    await store.close()
    await standin.stop()
