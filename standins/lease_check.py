"""The stand-in's check of leases; LeaseGuard can take its place."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import secrets
import time
from typing import Any

NS_PER_MS = 1_000_000


def clock_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(kw_only=True)
class LeaseCheck:
    """Server side of the lease contract.

    ``fenced`` False accepts any command and ignores the end of the lease,
    as some real servers do.
    """

    fenced: bool = True
    boot: str = field(default_factory=lambda: secrets.token_hex(8))
    epoch: int = 0
    seq: int = 0
    shards: frozenset[str] = frozenset()
    end_ns: int = 0
    sent_bases: list[int] = field(default_factory=list)

    def owns(self, shard: str | None) -> bool:
        valid = clock_ns() < self.end_ns or not self.fenced
        return shard in self.shards and valid

    def handle(
        self, command: Mapping[str, Any], running: frozenset[str]
    ) -> dict[str, Any]:
        """Answer a grant or a probe.

        ``running`` names the shards for which requests are executing.
        """
        epoch = int(command['epoch'])
        problem = self._problem(command)
        dropped = False
        if problem is None and epoch > self.epoch:
            dropped = bool(self.shards)
            self.epoch, self.seq = epoch, 0
            self.shards, self.end_ns = frozenset(), 0
        grants = problem is None and 'basis_ns' in command
        if grants:
            self.seq = int(command['seq'])
            self.shards = frozenset(command['shards'])
            length = int(command['duration_ms']) * NS_PER_MS
            self.end_ns = int(command['basis_ns']) + length
        return {
            'boot': self.boot,
            'clock_ns': self._new_basis(),
            'epoch': self.epoch,
            'seq': self.seq,
            'accepted': problem is None,
            'reason': problem or '',
            'shards': sorted(self.shards),
            'quiesced': running <= self.shards,
            'dropped': dropped,
        }

    def _problem(self, command: Mapping[str, Any]) -> str | None:
        if not self.fenced:
            return None
        if int(command['epoch']) < self.epoch:
            return 'old-epoch'
        if 'basis_ns' not in command:
            return None
        same = int(command['epoch']) == self.epoch
        if same and int(command['seq']) <= self.seq:
            return 'old-seq'
        basis = int(command['basis_ns'])
        known = basis in self.sent_bases
        if command['boot'] != self.boot or not known:
            return 'unknown-basis'
        length = int(command['duration_ms']) * NS_PER_MS
        return 'old-basis' if clock_ns() - basis > length else None

    def _new_basis(self) -> int:
        basis = clock_ns()
        self.sent_bases = [*self.sent_bases[-63:], basis]
        return basis
