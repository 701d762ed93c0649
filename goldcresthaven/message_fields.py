"""Annotated types of message fields, with limits enforced by the codec."""

from datetime import timedelta
from typing import Annotated

from goldcresthaven import codec
from goldcresthaven import ids

MAX_ITEMS = 4096
# Elapsed times and durations are microseconds on the wire.
_MAX_DURATION_US = 1 << 52

Vm = Annotated[ids.VmId, codec.Size(128)]
Zone = Annotated[ids.ZoneId, codec.Size(128)]
Boot = Annotated[ids.BootId, codec.Size(128)]
Domain = Annotated[ids.DomainId, codec.Size(128)]
ShardKey = Annotated[ids.ShardId, codec.Size(192)]
Upstream = Annotated[ids.UpstreamId, codec.Size(128)]
Epoch = Annotated[ids.Epoch, codec.Range(0, codec.MAX_U63)]
MapVersion = Annotated[ids.MapVersion, codec.Range(0, codec.MAX_U63)]
ConfigVersion = Annotated[ids.ConfigVersion, codec.Range(0, codec.MAX_U63)]
DurationMs = Annotated[int, codec.Range(0, 86_400_000)]
Duration = Annotated[
    timedelta, codec.Range(-_MAX_DURATION_US, _MAX_DURATION_US)
]
LeaseId = codec.U63
LeaseIds = Annotated[tuple[LeaseId, ...], codec.Size(MAX_ITEMS)]
Upstreams = Annotated[tuple[Upstream, ...], codec.Size(MAX_ITEMS)]
