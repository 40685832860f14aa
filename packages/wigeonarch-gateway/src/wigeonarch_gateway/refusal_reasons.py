"""Why there is no endpoint for a request."""

from __future__ import annotations

import enum


class NoEndpointReason(enum.Enum):
    """Why there is no endpoint for a request."""

    UNAVAILABLE = "no_endpoint"  # No endpoint could take it for as long as it could wait.
    OVERLOADED = "service_overloaded"  # The plain service receives more than it can do in time.
    LIMITED = "endpoints_limited"  # All endpoints have stated rate limits that are used up.
    NO_PLACE = "no_place"  # All endpoints are brittle, and none had a place in time.
    SOFTWARE_GONE = "software_gone"  # No endpoint is left on which its stream can go on.
    PART_HELD = "part_held"  # Endpoints have crashed under requests with a part of its prompt.
    OUT_OF_REACH = "out_of_reach"  # This instance reaches none; a peer may be able to help.
