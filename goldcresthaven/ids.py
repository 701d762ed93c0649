"""Types of identifiers and version numbers.

Each is a ``NewType``, so that mypy rejects, for example, an upstream id
where a VM id is expected. They have no cost at run time.
"""

from typing import NewType

VmId = NewType('VmId', str)
ZoneId = NewType('ZoneId', str)
UpstreamId = NewType('UpstreamId', str)
PoolName = NewType('PoolName', str)
ShardId = NewType('ShardId', str)
DomainId = NewType('DomainId', str)
RequestId = NewType('RequestId', str)
TxnId = NewType('TxnId', str)
PresetName = NewType('PresetName', str)
BootId = NewType('BootId', str)

Epoch = NewType('Epoch', int)
MapVersion = NewType('MapVersion', int)
ConfigVersion = NewType('ConfigVersion', int)
KeyHash = NewType('KeyHash', int)
