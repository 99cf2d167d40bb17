"""Conversion between the local times of operators and wall clock times in milliseconds."""

from datetime import UTC, datetime
from zoneinfo import ZoneInfo

LOCAL_FORMATS = ("%Y-%m-%d %H:%M", "%Y-%m-%d %H:%M:%S")
EARLIEST_YEAR = 2000
LATEST_YEAR = 2200


class LocalTimeError(ValueError):
    """Local time or time zone that cannot be used; the message names the remedy."""


def find_zone(name: str) -> ZoneInfo:
    """Return the time zone of a name such as ``Asia/Taipei``."""
    try:
        return ZoneInfo(name)
    except (KeyError, ValueError, OSError) as error:
        raise LocalTimeError(
            f"time zone {name!r} is unknown; use a name like 'Asia/Taipei'"
        ) from error


def resolve_local(local: str, zone_name: str) -> int:
    """Return a local time as wall clock time in ms since the epoch (UTC).

    Raises
    ------
    LocalTimeError
        The text is not ``YYYY-MM-DD HH:MM`` or ``YYYY-MM-DD HH:MM:SS``, the zone is unknown, or the
        local time is skipped or occurs twice at a clock change.
    """
    zone = find_zone(zone_name)
    naive = _parse_local(local)
    if not EARLIEST_YEAR <= naive.year <= LATEST_YEAR:
        raise LocalTimeError(f"year {naive.year} is out of range; use a year of today")
    earlier, later = naive.replace(tzinfo=zone), naive.replace(tzinfo=zone, fold=1)
    if earlier.utcoffset() == later.utcoffset():
        return int(earlier.timestamp() * 1000)
    if earlier.astimezone(UTC).astimezone(zone).replace(tzinfo=None) != naive:
        raise LocalTimeError(
            f"{local} does not exist in {zone_name} because the clock is set forward; "
            "choose a time before or after the change"
        )
    raise LocalTimeError(
        f"{local} happens twice in {zone_name} because the clock is set back; "
        "choose a time before or after the change, or write it in time zone UTC"
    )


def _parse_local(local: str) -> datetime:
    for text_format in LOCAL_FORMATS:
        try:
            return datetime.strptime(local, text_format)
        except ValueError:
            continue
    raise LocalTimeError(f"{local!r} is not a time; write it as 'YYYY-MM-DD HH:MM' or with ':SS'")


def format_local(wall_ms: int, zone_name: str) -> str:
    """Return a wall clock time in ms as local time with seconds, in UTC if the zone is unknown."""
    try:
        zone = find_zone(zone_name)
    except LocalTimeError:
        zone = ZoneInfo("UTC")
    return datetime.fromtimestamp(wall_ms / 1000, zone).strftime("%Y-%m-%d %H:%M:%S")
