"""Parts of prompts that crash the endpoints that begin to write an answer on them.

Requests may share such a part and nothing else, so that no two are alike and none is known by its
whole content (see `core.fatal_requests`). So crashes are counted for each part, too.

All that ran on an endpoint when it crashed is suspected at first. Two things speak for a part: a
run that ended whole, and a run that had written for `WRITING_TIME` when its endpoint crashed under
another. A part that has had neither, at the software version that crashed, is *new* there. Nearly
all parts are shared and get such a run within seconds, while a fatal one never does. So a part is
held back after `CRASHES_OF_NEW_PART` crashes at versions where it is new, at whatever times; and
from then on at all versions where it is. At a version where it has had a run, crashes that happen
together count once, and each run clears it of all of them; it is held back there after
`CRASHES_OF_KNOWN_PART`.

A part is held back for longer with each further crash. After that a single request may try it: who
sends it tells all others (`begin_trial`), which hold the part back until its end is known. What
runs whole is held back no longer. Parts that always came together are held back together. So one
whose crashes another explains may be tried at once, by a request without that other.

Crashes are identified as there, so that reports of several instances can be combined.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from wigeonarch_core.fatal_requests import REPORT_LAG

CRASHES_OF_NEW_PART: Final = 3
CRASHES_OF_KNOWN_PART: Final = 6
# Seconds for which a run must have written to speak for its parts although its endpoint crashed.
WRITING_TIME: Final = 0.5
# Seconds for which a part is held back, and the factor by which each further crash multiplies it.
# The first time is short, as a sound part must not be refused for long; each trial may cost an
# endpoint.
HOLD: Final = 20.0
HOLD_GROWTH: Final = 4.0
MAX_HOLD: Final = 3600.0
TRIAL_TIME: Final = 10.0  # Seconds until a trial whose outcome is not known may be followed by one.
KNOWN_PART_TTL: Final = 900.0  # Seconds for which a run speaks for its parts.
EXPIRY: Final = 900.0  # Seconds after its last crash, or its hold, until a part is forgotten.
MAX_KNOWN_PARTS: Final = 20_000  # Those that ran least recently are forgotten first.
MAX_SUSPECTS: Final = 5000  # Beyond it, those suspected first are dropped, held ones last.
MAX_CRASHES: Final = 16  # Crashes of a part that are identified; more are only counted.
MAX_CLEARED: Final = 64  # Crashes that are remembered, so that late reports don't count.
MAX_STORED: Final = 32  # Parts kept in the store.
CRASHES_TO_STORE: Final = 2


class PartCrash(msgspec.Struct, frozen=True):
    """An endpoint that crashed just now while it ran a request with a part.

    Attributes:
        part: Id of the part.
        software: Version of the endpoint's software.
        crash_id: Identifies the endpoint's incarnation.
        age: Seconds since the last request with the part was sent there.
    """

    part: str
    software: str
    crash_id: str
    age: float


class PartCrashes(msgspec.Struct, frozen=True):
    """A part and a software version, with the ids of the crashes that count against it there."""

    part: str
    software: str
    crash_ids: frozenset[str]


@dataclass(slots=True)
class _Version:
    """Crashes of a part at one software version since its last run there; times in seconds.

    Attributes:
        counted: Crashes that count, in order; the latest `MAX_CRASHES`.
        separate: How many happened one after the other.
        last_crash_at: Time of the last one that did.
    """

    counted: dict[str, None] = field(default_factory=dict)
    separate: int = 0
    last_crash_at: float = 0.0

    def count(self, crash_id: str) -> None:
        """Counts a crash."""
        self.counted[crash_id] = None
        if len(self.counted) > MAX_CRASHES:
            del self.counted[next(iter(self.counted))]


@dataclass(slots=True)
class _Suspect:
    """What is remembered of a part; times in seconds.

    Attributes:
        last_crash_at: Time of the last crash.
        versions: The crashes that count, by software version.
        cleared: Crashes that no longer count.
        held_until: Time until which the part is held back; 0 if it is not.
        trial_until: Time until which the outcome of a trial is awaited.
        excess: Crashes since it was held back first.
    """

    last_crash_at: float
    versions: dict[str, _Version] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    held_until: float = 0.0
    trial_until: float = 0.0
    excess: int = 0

    def counted(self) -> set[str]:
        """Returns all crashes that count."""
        return {crash for version in self.versions.values() for crash in version.counted}

    def clear(self, crash_ids: Iterable[str]) -> None:
        """Lets crashes no longer count."""
        for crash_id in crash_ids:
            self.cleared[crash_id] = None
            for version in self.versions.values():
                version.counted.pop(crash_id, None)
                version.separate = min(version.separate, len(version.counted))
        while len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]


class FatalParts:
    """Parts of prompts under which endpoints have crashed."""

    __slots__ = ("_held", "_known", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._held: set[str] = set()
        # Time of the last run of each part at each software version.
        self._known: OrderedDict[tuple[str, str], float] = OrderedDict()

    @property
    def any_held(self) -> bool:
        """Whether any part is held back."""
        return bool(self._held)

    # Evidence.

    def record_crash(self, crash: PartCrash, now: float) -> bool:
        """Records a crash just seen here or by another instance; returns whether it is new."""
        suspect = self._suspects.get(crash.part) or self._add(crash.part, now)
        version = suspect.versions.setdefault(crash.software, _Version())
        if crash.crash_id in suspect.cleared or crash.crash_id in version.counted:
            return False
        version.count(crash.crash_id)
        if not version.separate or now - crash.age + REPORT_LAG >= version.last_crash_at:
            version.separate += 1
            version.last_crash_at = now
        suspect.last_crash_at = now
        self._hold_if_due(crash.part, suspect, now)
        return True

    def adopt(self, reported: PartCrashes, now: float) -> bool:
        """Adopts crashes that another instance counts; returns whether one of them is new here."""
        suspect = self._suspects.get(reported.part)
        known = set() if suspect is None else suspect.counted() | suspect.cleared.keys()
        unknown = reported.crash_ids - known
        if not unknown:
            return False
        if suspect is None:
            suspect = self._add(reported.part, now)
        version = suspect.versions.setdefault(reported.software, _Version())
        for crash_id in sorted(unknown):
            version.count(crash_id)
        version.separate = max(version.separate, len(version.counted))
        version.last_crash_at = suspect.last_crash_at = now
        self._hold_if_due(reported.part, suspect, now)
        return True

    def record_run(self, part: str, software: str, now: float) -> PartCrashes | None:
        """Records a run that speaks for a part; returns the crashes that no longer count, if any.

        The cleared crashes are remembered, as other instances may still report them.
        """
        self._note_known(part, software, now)
        suspect = self._suspects.get(part)
        version = None if suspect is None else suspect.versions.get(software)
        if suspect is None or version is None or not version.counted:
            return None
        cleared = PartCrashes(part, software, frozenset(version.counted))
        self._clear(part, suspect, cleared.crash_ids)
        return cleared

    def apply_clearance(self, cleared: PartCrashes, now: float) -> None:
        """Clears the crashes that another instance has cleared, reported here or not yet."""
        self._note_known(cleared.part, cleared.software, now)
        suspect = self._suspects.get(cleared.part) or self._add(cleared.part, now)
        self._clear(cleared.part, suspect, cleared.crash_ids)

    def retract(self, crash_id: str) -> int:
        """Forgets a crash that did not happen; returns for how many parts it counted.

        It counts again if it is recorded anew, as the same incarnation may really crash later.
        """
        affected = [(p, s) for p, s in self._suspects.items() if crash_id in s.counted()]
        for part, suspect in affected:
            self._clear(part, suspect, [crash_id])
            suspect.cleared.pop(crash_id, None)
        return len(affected)

    # Questions.

    def hold_left(self, parts: Collection[str], software: str, now: float) -> float:
        """Returns the seconds until a request with these parts may be sent; 0 if it may be now."""
        return max((self._hold_of(part, parts, software, now) for part in parts), default=0.0)

    def held_part(self, parts: Collection[str], software: str, now: float) -> str:
        """Returns the first part for which such a request may not be sent now; empty if none."""
        return next((p for p in parts if self._hold_of(p, parts, software, now)), "")

    def held_for(self, part: str, now: float) -> float:
        """Returns the seconds for which a part is held back where no other explains its crashes."""
        return max(0.0, self._suspects[part].held_until - now) if part in self._held else 0.0

    def needs_trial(self, part: str, software: str) -> bool:
        """Tells whether a part was held back, so that one request at a time may try it."""
        return part in self._held and self._concerns(part, self._suspects[part], software)

    def begin_trial(self, part: str, now: float) -> None:
        """Holds a part back while one request, here or at another instance, tries it."""
        suspect = self._suspects.get(part)
        if suspect is not None:
            suspect.trial_until = now + TRIAL_TIME

    def is_to_be_told(self, part: str, software: str) -> bool:
        """Tells whether others are to take over the crashes of a part at a software version.

        Those at a version where it has had a run are not, unless it is held back there: who takes
        them over may not know of that run, or not learn that the next one cleared the part.
        """
        suspect = self._suspects.get(part)
        return suspect is not None and self._concerns(part, suspect, software)

    def crash_count(self, part: str) -> int:
        """Returns how many crashes count against a part."""
        suspect = self._suspects.get(part)
        return 0 if suspect is None else len(suspect.counted())

    def most_crashes(self, min_crashes: int, limit: int) -> list[PartCrashes]:
        """Returns the parts to be told with the most crashes, the latest first among equals.

        Args:
            min_crashes: Least number of crashes of a part that is returned.
            limit: Greatest number of parts and software versions that are returned.
        """
        found = []
        for part, suspect in self._suspects.items():
            told = [
                PartCrashes(part, software, frozenset(version.counted))
                for software, version in suspect.versions.items()
                if version.counted and self._concerns(part, suspect, software)
            ]
            count = sum(len(each.crash_ids) for each in told)
            if count >= min_crashes:
                found.append((count, suspect.last_crash_at, told))
        found.sort(key=lambda each: each[:2], reverse=True)
        return [each for _, _, told in found[:limit] for each in told][:limit]

    def expire(self, now: float) -> None:
        """Forgets parts whose hold and last crash are long past, and runs that are."""
        for part, suspect in list(self._suspects.items()):
            if now >= max(suspect.held_until, suspect.last_crash_at) + EXPIRY:
                self._forget(part)
        while self._known:
            key, ran_at = next(iter(self._known.items()))
            if now - ran_at < KNOWN_PART_TTL:
                break
            del self._known[key]

    # What follows from the evidence.

    def _hold_of(self, part: str, parts: Collection[str], software: str, now: float) -> float:
        if part not in self._held:
            return 0.0
        suspect = self._suspects[part]
        if not self._concerns(part, suspect, software):
            return 0.0
        held = suspect.held_until - now
        if held > 0.0 and self._is_explained(suspect, parts):
            held = 0.0
        return max(0.0, held, suspect.trial_until - now)

    def _concerns(self, part: str, suspect: _Suspect, software: str) -> bool:
        """Tells whether a part that is held back is so at a software version."""
        if (part, software) not in self._known:
            return True
        version = suspect.versions.get(software)
        return version is not None and version.separate >= CRASHES_OF_KNOWN_PART

    def _is_explained(self, suspect: _Suspect, parts: Collection[str]) -> bool:
        """Tells whether a part that a request does not have explains all crashes of one it has."""
        counted = suspect.counted()
        others = (self._suspects[other] for other in self._held if other not in parts)
        return any(counted <= other.counted() for other in others)

    def _hold_if_due(self, part: str, suspect: _Suspect, now: float) -> None:
        if suspect.held_until:
            if now < suspect.trial_until or now >= suspect.held_until:
                suspect.excess += 1
        elif not self._is_due(part, suspect):
            return
        hold = min(MAX_HOLD, HOLD * HOLD_GROWTH**suspect.excess)
        suspect.held_until = max(suspect.held_until, now + hold)
        suspect.trial_until = 0.0
        self._held.add(part)

    def _is_due(self, part: str, suspect: _Suspect) -> bool:
        """Tells whether enough speaks against a part to hold it back."""
        crashes_where_new = 0
        for software, version in suspect.versions.items():
            if (part, software) not in self._known:
                crashes_where_new += len(version.counted)
            elif version.separate >= CRASHES_OF_KNOWN_PART:
                return True
        return crashes_where_new >= CRASHES_OF_NEW_PART

    def _clear(self, part: str, suspect: _Suspect, crash_ids: Iterable[str]) -> None:
        suspect.clear(crash_ids)
        if suspect.held_until and not self._is_due(part, suspect):
            suspect.held_until = suspect.trial_until = 0.0
            suspect.excess = 0
            self._held.discard(part)

    def _note_known(self, part: str, software: str, now: float) -> None:
        self._known[part, software] = now
        self._known.move_to_end((part, software))
        if len(self._known) > MAX_KNOWN_PARTS:
            self._known.popitem(last=False)

    def _add(self, part: str, now: float) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            first = next((p for p, s in self._suspects.items() if not s.held_until), None)
            self._forget(next(iter(self._suspects)) if first is None else first)
        suspect = self._suspects[part] = _Suspect(now)
        return suspect

    def _forget(self, part: str) -> None:
        del self._suspects[part]
        self._held.discard(part)
