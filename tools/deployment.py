"""Writes the files and rows that a deployment needs at the start.

These are the settings and keys files of entry processes, the first
configuration and the membership list. In production the operator and the
platform provide them.
"""

import base64
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import json
import pathlib
import secrets
from typing import Any

import yaml

from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import store_client
from goldcresthaven import tables
from tools import http_client

HOST = '127.0.0.1'
ANY_PORT = f'{HOST}:0'


@dataclass(kw_only=True)
class Files:
    """Writes the files of entry processes into a folder."""

    folder: pathlib.Path

    def write_keys(self) -> pathlib.Path:
        """Write a new shared key unless the file exists; return its path."""
        path = self.folder / 'keys.yaml'
        if not path.exists():
            secret = secrets.token_bytes(auth.MIN_SECRET_BYTES)
            key = {'id': 'dev', 'secret': base64.b64encode(secret).decode()}
            path.write_text(yaml.safe_dump({'keys': [key]}))
        return path

    def write_settings(
        self, *, vm: str, zone: str, platform: str, **overrides: str
    ) -> pathlib.Path:
        """Write the settings of one entry process, which uses free ports."""
        path = self.folder / f'{vm}.yaml'
        settings = {
            'vm': vm,
            'zone': zone,
            'caller_address': ANY_PORT,
            'peer_address': ANY_PORT,
            'operator_address': ANY_PORT,
            'platform_address': platform,
            'keys_file': str(self.write_keys()),
            'balancer_delay': '300ms',
        }
        path.write_text(yaml.safe_dump(settings | overrides))
        return path


def first_proposal(document: presets.Document) -> config_log.Proposal:
    """Return the proposal that ``goldcresthaven init`` stores.

    The document is not checked again, so that tests can store contradictory
    documents, which the command refuses.
    """
    entry = config_log.Entry(
        version=config_log.FIRST,
        txn=ids.TxnId('first-config'),
        author='tools',
        change=config_changes.ReplaceDocument(document=document),
        document=document,
    )
    return config_log.Proposal(before=None, entry=entry)


async def store_document(
    platform: members.Address, document: presets.Document
) -> None:
    """Store the first configuration.

    Raises ConflictError if the transaction was not committed.
    """
    store = store_client.StoreClient(
        address=platform, clock=clock.SystemClock()
    )
    result = await store.transact(first_proposal(document).transaction)
    await store.close()
    if not isinstance(result, tables.Committed):
        raise errors.ConflictError(
            f'cannot store the configuration: {result}',
            remedy='start with an empty platform',
        )


async def store_members(
    platform: members.Address, listed: Iterable[members.Member]
) -> None:
    """Set the platform's membership list.

    Raises StoreUnavailable if the platform refuses it.
    """
    body = {'members': [encode_member(m) for m in listed]}
    response = await http_client.fetch(
        platform, 'PUT', '/v1/members', body=json.dumps(body).encode()
    )
    if response.status != 200:
        raise errors.StoreUnavailable(
            'storing the membership list failed with status '
            f'{response.status}',
            remedy='check the platform',
        )


def encode_member(member: members.Member) -> Mapping[str, Any]:
    return {
        'vm': member.vm,
        'zone': member.zone,
        'role': member.role.value,
        'state': member.state.value,
        'address': str(member.address),
        'pool': member.pool,
    }


def entry_member(
    *, vm: str, zone: str, startup_info: Mapping[str, Any]
) -> members.Member:
    """Return an entry process as a member, from its startup line."""
    return members.Member(
        vm=ids.VmId(vm),
        zone=ids.ZoneId(zone),
        role=members.Role.ENTRY,
        state=members.MemberState.LIVE,
        address=members.Address.parse(startup_info['peer']),
    )
