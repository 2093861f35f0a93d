"""Stand-ins for the platform's store and for upstreams, and a client.

They follow PROTOCOL.md. All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import shutil
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(
    os.path.abspath(__file__)))
START = time.monotonic()


def now():
    return time.monotonic() - START


def seconds(text):
    return float(text[:-2]) / 1000 if text.endswith('ms') else float(text[:-1])


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def note(self, text):
        self.file.write('%9.3f s  %s\n' % (now(), text))
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def message(first, headers, body=b''):
    lines = [first] + ['%s: %s' % it for it in headers]
    lines.append('Content-Length: %d' % len(body))
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 412: 'Precondition Failed',
           421: 'Misdirected Request', 503: 'Service Unavailable'}


def response(status, headers=(), body=b''):
    return message('HTTP/1.1 %d %s' % (status, REASONS.get(status, 'X')),
                   list(headers), body)


class Server:
    """Serves HTTP/1.1 on a free loopback port, one request at a time on each
    connection."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = ''

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.on_connection, '127.0.0.1', port, limit=1 << 20,
            backlog=1024)
        self.address = '127.0.0.1:%d' % (
            self.server.sockets[0].getsockname()[1])

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                answer = await self.serve(method, target, head[1], body)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, method, target, headers, body):
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with topics, and groups."""

    PARTS = 24

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Condition()
        self.members = {}
        self.holder = ''
        self.generation = 0

    async def append(self, topic, records, at=None):
        log = self.topics.setdefault(topic, [])
        if at is not None and at != len(log):
            return None, len(log)
        first = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return first, len(log)

    async def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + value
        await self.append(topic, [record])

    def join(self, body):
        member, ttl = body['member'], seconds(body['ttl_time'])
        self.expire()
        if member not in self.members:
            self.generation += 1
        self.members[member] = now() + ttl
        if not self.holder:
            self.holder = member
        names = [self.holder] + sorted(set(self.members) - {self.holder})
        parts = [[body['topics'][0], p, 0] for p in range(self.PARTS)
                 if names[p % len(names)] == member]
        return {'generation': max(1, self.generation), 'parts': parts}

    def expire(self):
        for name in [n for n, end in self.members.items() if end < now()]:
            self.leave(name)

    def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
        if self.holder == member:
            self.holder = min(self.members, default='')

    async def serve(self, method, target, headers, body):
        path, _, query = target.partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        kind = [('Content-Type', 'application/json')]
        topic = args.get('topic', '') + '/' + args.get('part', '0')
        if path == '/log-append':
            records, at = [], 0
            while at < len(body):
                size = struct.unpack('>I', body[at:at + 4])[0]
                records.append(body[at + 4:at + 4 + size])
                at += 4 + size
            first, end = await self.append(
                topic, records, int(args['at']) if 'at' in args else None)
            if first is None:
                return response(412, kind, json.dumps({'end': end}).encode())
            return response(200, kind,
                            json.dumps({'offset': first, 'end': end}).encode())
        if path == '/log-read':
            start = int(args['from'])
            until = now() + int(args.get('waitMs', 0)) / 1000
            log = self.topics.setdefault(topic, [])
            while len(log) <= start and now() < until:
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(),
                                               until - now())
                except (asyncio.TimeoutError, ValueError):
                    break
            out = struct.pack('>QQ', len(log), 0)
            for record in log[start:]:
                out += struct.pack('>I', len(record)) + record
            return response(200, [('Content-Type',
                                   'application/octet-stream')], out)
        if path == '/log-newest':
            newest = {}
            for offset, record in enumerate(self.topics.get(topic, [])):
                size = record[0]
                newest[record[1:1 + size].decode()] = (record[1 + size:],
                                                       offset)
            items = [{'key': k, 'value': base64.b64encode(v).decode(),
                      'offset': o} for k, (v, o) in sorted(newest.items())
                     if v]
            return response(200, kind, json.dumps(
                {'items': items, 'more': False,
                 'end': len(self.topics.get(topic, []))}).encode())
        if path == '/log-join':
            return response(200, kind,
                            json.dumps(self.join(json.loads(body))).encode())
        if path == '/log-leave':
            self.leave(json.loads(body)['member'])
            return response(200, kind, b'{}')
        return response(404)


class Upstream(Server):
    """An upstream that registers itself and runs requests."""

    SLOTS = 4
    QUEUE = 16

    def __init__(self, store, record, name, service, work_s=0.1):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.work_s = name, service, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.task = None
        # Of a proxy, if there is one.
        self.listed_address = ''

    async def start(self, port=0):
        await super().start(port)
        self.task = asyncio.ensure_future(self.check_in())

    async def check_in(self):
        while True:
            await self.write_entry('ready')
            await asyncio.sleep(0.87)

    async def write_entry(self, state):
        self.sequence += 1
        await self.store.put('keyed.servers/0', self.name, json.dumps(
            {'service': self.service,
             'address': self.listed_address or self.address,
             'zone': 'zone-a', 'version': 'v1', 'concurrency': self.SLOTS,
             'state': state, 'warmupLeft': '0ms', 'born': self.born,
             'sequence': self.sequence}).encode())

    def signed(self, request_id, body, status=200):
        return response(status, [
            ('Request-Id', request_id), ('Instance-Id', self.name),
            ('Response-Signature', 'sig.%s.%d' % (request_id, len(body))),
            ('Keep-Alive', 'timeout=10'),
            ('Instance-Load', '%d,%d,%d' % (self.running, self.waiting,
                                             self.SLOTS))], body)

    def refused(self, request_id, status):
        return response(status, [('Request-Id', request_id),
                                 ('Instance-Id', self.name),
                                 ('Not-Executed', '1')])

    async def serve(self, method, target, headers, body):
        request_id = headers.get('request-id', '')
        if headers.get('expected-instance', self.name) != self.name:
            return self.refused(request_id, 421)
        if target == '/healthz':
            return response(200, [('Instance-Id', self.name)])
        if self.waiting >= self.QUEUE:
            return self.refused(request_id, 503)
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(method, target, request_id, body)
        finally:
            self.running -= 1
            self.slots.release()

    async def run(self, method, target, request_id, body):
        self.record.note('%s runs %s %s %s (%d bytes)' % (
            self.name, request_id, method, target, len(body)))
        await asyncio.sleep(self.work_s)
        return self.signed(request_id, b'done by ' + self.name.encode())


def config(version, rules, clusters, body_bytes=67108864):
    return json.dumps({
        'version': '%08x' % version,
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': body_bytes,
                   'headerTimeout': '3000ms', 'idleTimeout': '15000ms'},
        'listeners': [{'host': 'a.example', 'rules': rules}],
        'clusters': clusters}).encode()


def rule(name, kind, service, timeout_ms, attempts=2):
    return {'name': name, 'routeType': kind, 'targetLatency': '800ms',
            'priority': 1, 'match': {'pathPrefix': '/%s/' % name},
            'action': {'service': service, 'timeout': '%dms' % timeout_ms,
                       'maxAttempts': attempts}}


def cluster(name, sharded=False):
    it = {'name': name, 'healthPath': '/healthz', 'maxConnections': 130}
    return dict(it, sharded=True) if sharded else it


class Entry:
    """One process of the entry program, started as the deploy file says."""

    def __init__(self, folder, name, store, index=0):
        self.name, self.process = name, None
        STARTED.append(self)
        self.settings = os.path.join(folder, name + '.yaml')
        self.addresses = os.path.join(folder, name + '.addresses')
        self.log = os.path.join(folder, name + '.log')
        with open(self.settings, 'w') as f:
            f.write('\n'.join([
                'host_name: "%s"' % name, 'failure_domain: "zone-a"',
                'ip: "127.0.0.1"', 'caller_address: "127.0.0.1:0"',
                'readiness_address: "127.0.0.1:0"',
                'store_address: "%s"' % store, 'report_port: 0',
                'metrics_port: 0', 'longest_lease: 10000ms',
                'stop_limit: 6s', 'shortest_membership: 1000ms',
                'store_partitions: 24', 'processors: 0.2',
                'link_mbps: 1000.0', 'change_limit: 2000ms',
                'fleet_starts: true', 'retries:', '  ratio: 0.2',
                '  slack: 64', '  window: 10s',
                'address_file: "%s"' % self.addresses, '']))

    def start(self):
        if os.path.exists(self.addresses):
            os.remove(self.addresses)
        self.process = subprocess.Popen(
            [os.path.join(ROOT, 'target/bin/toucandock-entry'),
             '--settings=' + self.settings], cwd=ROOT,
            stdout=open(self.log, 'a'), stderr=subprocess.STDOUT)

    def address(self, kind):
        with open(self.addresses) as f:
            return dict(line.split() for line in f)[kind]

    async def ready(self, limit_s=20):
        end = now() + limit_s
        while now() < end:
            await asyncio.sleep(0.1)
            if not os.path.exists(self.addresses):
                continue
            answer = await call(self.address('readiness'), 'GET', '/readyz')
            if answer[0] == 200:
                return True
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


async def call(address, method, target, headers=(), body=b'', limit_s=15):
    """One request on a new connection. Returns (status or 0, headers, body).
    """
    host, port = address.split(':')
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(message('%s %s HTTP/1.1' % (method, target),
                             [('Host', 'a.example')] + list(headers), body))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, {}, b''
        return (int(head[0].split(' ')[1]), head[1],
                await read_body(reader, head[1]))
    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        if writer:
            writer.close()


FOLDERS = []
STARTED = []
# A script that has not ended by then could not run.
RUN_LIMIT_S = 105


def folder():
    FOLDERS.append(tempfile.mkdtemp(prefix='toucandock-review-'))
    return FOLDERS[-1]


def remove_folders():
    for it in FOLDERS:
        shutil.rmtree(it, ignore_errors=True)


def give_up():
    """The case could not run: ends all that was started."""
    for entry in STARTED:
        entry.end()
    remove_folders()
    os._exit(2)


def run_limited(coroutine):
    timer = threading.Timer(RUN_LIMIT_S, give_up)
    timer.daemon = True
    timer.start()
    return asyncio.run(coroutine)


class Machine:
    """A machine of the platform: ends its process when the memory exceeds the
    limit, and starts it again after a short delay."""

    MEMORY_MB = 260
    RESTART_S = 0.5

    def __init__(self, entry, record):
        self.entry, self.record = entry, record
        self.ends = 0
        self.in_flight = 0
        self.is_up = False

    def resident_mb(self):
        try:
            with open('/proc/%d/status' % self.entry.process.pid) as status:
                for line in status:
                    if line.startswith('VmRSS'):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def watch(self):
        while True:
            await asyncio.sleep(0.02)
            mb = self.resident_mb()
            if self.entry.process.poll() is None and mb <= self.MEMORY_MB:
                continue
            self.is_up = False
            self.ends += 1
            self.record.note('%s ends: %.0f MB, %d request in flight' % (
                self.entry.name, mb, self.in_flight))
            self.entry.end()
            await asyncio.sleep(self.RESTART_S)
            self.entry.start()
            while not self.is_up and self.entry.process.poll() is None:
                self.is_up = await self.entry.ready(5)


class KeyedUpstream(Upstream):
    """An upstream of a service that is divided by key."""

    def __init__(self, store, record, name, service, work_s=0.1):
        super().__init__(store, record, name, service, work_s)
        # Held keys: (first, last, fence, end of the hold).
        self.held = []
        # Highest fences seen: (first, last, fence).
        self.seen = []
        self.closes_after_grant = False
        self.on_grant = lambda upstream, first, last, fence: None

    def holds(self, key):
        return any(a <= key <= b and end > now()
                   for a, b, _, end in self.held)

    def cut_out(self, first, last):
        """Ends the holds of these keys."""
        left = []
        for a, b, fence, end in self.held:
            if b < first or a > last:
                left.append((a, b, fence, end))
                continue
            if a < first:
                left.append((a, first - 1, fence, end))
            if b > last:
                left.append((last + 1, b, fence, end))
        self.held = left

    def grant(self, body, arrived):
        first, last, fence = body['from'], body['to'], body['fence']
        if any(not (b < first or a > last) and it > fence
               for a, b, it in self.seen):
            return 409
        self.seen = [it for it in self.seen
                     if not (first <= it[0] and it[1] <= last)]
        self.seen.append((first, last, fence))
        self.on_grant(self, first, last, fence)
        self.cut_out(first, last)
        self.held.append((first, last, fence,
                          arrived + seconds(body['hold_time'])))
        return 200

    async def serve(self, method, target, headers, body):
        ids = [('Request-Id', headers.get('request-id', ''))]
        if headers.get('expected-instance', self.name) != self.name:
            return self.refused(ids[0][1], 421)
        if target == '/grant':
            status = self.grant(json.loads(body), now())
            self.record.note('%s: grant %s -> %d' % (
                self.name, body.decode(), status))
            if self.closes_after_grant:
                self.closes_after_grant = False
                self.record.note('%s closes this connection' % self.name)
                ids.append(('Connection', 'close'))
            return response(status, ids)
        if target == '/release':
            fields = json.loads(body)
            self.cut_out(fields['from'], fields['to'])
            self.record.note('%s: release %s' % (self.name, body.decode()))
            while self.running:
                await asyncio.sleep(0.01)
            return response(200, ids + [('Handover', 'a1b2')])
        if 'shard-key' in headers and not self.holds(
                int(headers['shard-key'])):
            return self.refused(ids[0][1], 421)
        return await super().serve(method, target, headers, body)


class Proxy:
    """Forwards connections to an upstream, and can refuse new ones."""

    def __init__(self):
        self.to = ''
        self.server = None
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(self.forward, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % (
            self.server.sockets[0].getsockname()[1])

    def refuse(self):
        self.server.close()

    async def forward(self, reader, writer):
        host, port = self.to.split(':')
        there_reader, there_writer = await asyncio.open_connection(
            host, int(port))
        await asyncio.gather(self.copy(reader, there_writer),
                             self.copy(there_reader, writer))

    @staticmethod
    async def copy(reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
