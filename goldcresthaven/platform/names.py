"""Names of the platform's headers, paths and tables."""

from goldcresthaven import state_store

SETTINGS_VARIABLE = 'GOLDCRESTHAVEN_SETTINGS'

ATTEMPT_ID = 'x-goldcresthaven-attempt-id'
# Milliseconds that the sender of a request will wait; not a point in time.
DEADLINE = 'x-goldcresthaven-deadline-ms'
EXPECT_INSTANCE = 'x-goldcresthaven-expect-instance'
INSTANCE_LOAD = 'x-goldcresthaven-instance-load'
NOT_EXECUTED = 'x-goldcresthaven-not-executed'
# An upstream's signature of its response.
SERVER_STAMP = 'x-goldcresthaven-server-stamp'
# Rises by one each time the store is restored from a copy.
STORE_ERA = 'store-era'
# '1' in the responses of an upstream that leaves.
SERVER_LEAVING = 'server-leaving'
# Seconds, in a 503 of an upstream.
RETRY_AFTER = 'retry-after'
SHARD_KEY = 'x-goldcresthaven-shard-key'
HANDOVER = 'x-goldcresthaven-handover'

READY_PATH = '/ready'
GRANT_PATH = '/grant'
RELEASE_PATH = '/release'

CONFIG_KEY = 'config'
TABLES = {
    state_store.Table.CONFIG: 'op',
    state_store.Table.REGISTRY: 'servers',
    state_store.Table.CLAIMS: 'goldcresthaven-claims',
    state_store.Table.ASSIGNMENTS: 'goldcresthaven-keys',
}
