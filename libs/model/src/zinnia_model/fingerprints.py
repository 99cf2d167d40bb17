"""Fingerprints by which equal requests are recognised."""

import xxhash

from zinnia_model.ids import Fingerprint, RouteId, ServiceId


def compute_fingerprint(service: ServiceId, route: RouteId, body: bytes) -> Fingerprint:
    """Return a 128-bit hash of service, route and body as 32 hexadecimal digits."""
    digest = xxhash.xxh3_128(f"{service}\0{route}\0".encode())
    digest.update(body)
    return Fingerprint(digest.hexdigest())
