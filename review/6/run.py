"""New connections to an upstream are refused while it runs.

Exits with 1 if two upstreams held the same keys for over half a second, 0 if
not, 2 if the case could not run.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import (Entry, KeyedUpstream, Proxy, Record, Store, call,
                       cluster, config, folder, now, remove_folders, rule,
                       run_limited)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
UPSTREAMS = 4
HOSTS = 2
CALLERS = 4
CUT_S = 10
LIMIT_S = 0.5
record = Record(os.path.dirname(os.path.abspath(__file__)))


class Holders:
    """Notes for how long two upstreams hold the same keys."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.since = {}
        self.longest = 0

    async def watch(self):
        while True:
            at = now()
            shared = set()
            for n, one in enumerate(self.upstreams):
                for other in self.upstreams[n + 1:]:
                    for a, b, _, end in one.held:
                        for c, d, _, others_end in other.held:
                            first, last = max(a, c), min(b, d)
                            if first <= last and min(end, others_end) > at:
                                shared.add((first, last, one.name, other.name))
            for it in shared - set(self.since):
                record.note('keys %d to %d are held by %s and %s' % it)
            for it in set(self.since) - shared:
                record.note('keys %d to %d are no longer held by %s and %s' %
                            it)
            self.since = {it: self.since.get(it, at) for it in shared}
            for it, since in self.since.items():
                self.longest = max(self.longest, at - since)
            await asyncio.sleep(0.01)


async def caller(name, entries, until):
    count = 0
    while now() < until:
        count += 1
        key = random.randrange(65536)
        request_id = '%s-%d' % (name, count)
        status, _, _ = await call(
            random.choice(entries).address('caller'), 'GET', '/calls/x',
            [('Request-Id', request_id), ('Deadline-Ms', '2500'),
             ('Shard-Key', str(key))])
        record.note('%s (key %d) answered %d' % (request_id, key, status))


async def run(tmp, entries):
    store = Store()
    await store.start()
    upstreams, proxies = [], []
    for n in range(UPSTREAMS):
        upstream, proxy = KeyedUpstream(store, record, 'i-%d' % n,
                                        'callboard', 0.05), Proxy()
        await proxy.start()
        upstream.listed_address = proxy.address
        await upstream.start()
        proxy.to = upstream.address
        upstreams.append(upstream)
        proxies.append(proxy)
    await store.put('keyed.op/0', 'config', config(
        1, [rule('calls', 'safe', 'callboard', 1200)],
        [cluster('callboard', sharded=True)]))
    for n in range(HOSTS):
        entries.append(Entry(tmp, 'edge-%d' % n, store.address))
        entries[-1].start()
    for entry in entries:
        if not await entry.ready():
            return 2
    callers = [asyncio.ensure_future(
        caller('c%d' % n, entries, now() + 8 + CUT_S)) for n in range(CALLERS)]
    await asyncio.sleep(8)
    if not all(it.held for it in upstreams):
        record.note('not all upstreams hold keys')
        return 2
    holders = Holders(upstreams)
    watch = asyncio.ensure_future(holders.watch())
    if TROUBLE:
        record.note('new connections to i-0 are refused from now on')
        proxies[0].refuse()
    upstreams[0].closes_after_grant = True
    await asyncio.gather(*callers)
    watch.cancel()
    record.note('longest time for which two upstreams held the same keys: '
                '%.2f s; broken above %.1f s' % (holders.longest, LIMIT_S))
    return 1 if holders.longest > LIMIT_S else 0


def main():
    entries = []
    try:
        result = run_limited(run(folder(), entries))
    except Exception as error:
        record.note('could not run: %r' % error)
        result = 2
    finally:
        for entry in entries:
            entry.end()
        remove_folders()
    record.note('exits with %d' % result)
    return result


# Ends without waiting for tasks of the stand-ins.
os._exit(main())
