"""A small deployment on loopback addresses for the scripts of the third review.

The entry program is started with the command of deploy/system.toml and with
settings rendered from its template. Store, upstreams and clients are stand-ins
that speak the published protocol.
"""
import asyncio
import base64
import json
import os
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IP = "127.0.0.1"
# `maxFds` of the settings of an edge machine.
MAX_FDS = 4100


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        print("%9.3f  %s" % (time.monotonic() - self.start, text), file=self.file, flush=True)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((IP, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    """Returns the first line, the header fields and the body."""
    line, fields = await read_head(reader)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while await reader.readline() not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return line, fields, body


def message(first_line, fields, body=b""):
    lines = [first_line] + ["%s: %s" % it for it in fields] + ["Content-Length: %d" % len(body)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve_connection(answer, reader, writer):
    """Answers requests until the peer or the end of the case closes the
    connection. Without an answer, the connection stays silent."""
    try:
        while True:
            answered = await answer(*await read_message(reader))
            if answered is None:
                await reader.read()
                return
            writer.write(answered)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        try:
            writer.close()
        except RuntimeError:
            pass  # the loop has ended


class Store:
    """The platform's store: topics of one partition and groups."""

    PARTITIONS = 24

    def __init__(self):
        self.records = {}
        self.changed = asyncio.Condition()
        self.groups = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def write(self, topic, key, value):
        """Writes a keyed record, as operators and upstreams do."""
        record = bytes([len(key)]) + key.encode() + value.encode()
        self.records.setdefault(topic, []).append(record)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        await serve_connection(self.respond, reader, writer)

    async def respond(self, line, fields, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        args = dict(it.split("=", 1) for it in query.split("&") if it)
        status, kind, answer = await self.answer(method, path, args, body)
        return message("HTTP/1.1 %d X" % status, [("Content-Type", kind)], answer)

    async def answer(self, method, path, args, body):
        if path == "/log-append":
            return await self.append(args, body)
        if path == "/log-read":
            return await self.read(args)
        if path == "/log-newest":
            return self.newest(args)
        if path == "/log-join":
            return self.join(json.loads(body))
        if path == "/log-leave":
            return self.leave(json.loads(body))
        return 404, "application/json", b"{}"

    @staticmethod
    def json(status, value):
        return status, "application/json", json.dumps(value).encode()

    async def append(self, args, body):
        records = self.records.setdefault(args["topic"], [])
        if "at" in args and int(args["at"]) != len(records):
            return self.json(412, {"end": len(records)})
        offset = len(records)
        while body:
            size = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        async with self.changed:
            self.changed.notify_all()
        return self.json(200, {"offset": offset, "end": len(records)})

    async def read(self, args):
        records = self.records.setdefault(args["topic"], [])
        start = int(args["from"])
        if start > len(records):
            return self.json(410, {"first": 0})
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > start),
                                       int(args.get("waitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        frames = b"".join(struct.pack(">I", len(it)) + it for it in records[start:])
        return 200, "application/octet-stream", struct.pack(">QQ", len(records), 0) + frames

    def newest(self, args):
        newest = {}
        records = self.records.get(args["topic"], [])
        for offset, it in enumerate(records):
            key, value = it[1:1 + it[0]].decode(), it[1 + it[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        return self.json(200, {"items": list(newest.values()), "more": False, "end": len(records)})

    def join(self, body):
        """Members share the partitions evenly. A member that is to give one up
        does so when it joins with the generation that took it away."""
        now = time.monotonic()
        group = self.groups.setdefault(
            body["group"], {"generation": 0, "members": {}, "holders": [None] * self.PARTITIONS,
                            "planned": [None] * self.PARTITIONS})
        self.expire(group, now)
        name = body["member"]
        is_new = name not in group["members"]
        group["members"][name] = now + float(re.sub("[^0-9.]", "", body["ttl_time"])) / 1000
        if is_new:
            self.deal(group)
        elif body["generation"] >= group["generation"]:
            for n, holder in enumerate(group["holders"]):
                if holder == name and group["planned"][n] != name:
                    group["holders"][n] = group["planned"][n]
        parts = []
        for n in range(self.PARTITIONS):
            if group["holders"][n] is None:
                group["holders"][n] = group["planned"][n]
            if group["holders"][n] == name and group["planned"][n] == name:
                parts.append([body["topics"][0], n, 0])
        return self.json(200, {"generation": group["generation"], "ttl_time": body["ttl_time"], "parts": parts})

    def leave(self, body):
        group = self.groups.get(body["group"])
        if group and body["member"] in group["members"]:
            group["members"][body["member"]] = 0
            self.expire(group, time.monotonic())
        return self.json(200, {})

    def expire(self, group, now):
        gone = [it for it, until in group["members"].items() if until <= now]
        for it in gone:
            del group["members"][it]
        if gone:
            group["holders"] = [it if it in group["members"] else None for it in group["holders"]]
            self.deal(group)

    def deal(self, group):
        group["generation"] += 1
        members = list(group["members"])
        if not members:
            group["planned"] = [None] * self.PARTITIONS
            return
        share = -(-self.PARTITIONS // len(members))
        counts = dict.fromkeys(members, 0)
        planned = [None] * self.PARTITIONS
        for n, holder in enumerate(group["holders"]):
            if holder in counts and counts[holder] < share:
                planned[n] = holder
                counts[holder] += 1
        for n in range(self.PARTITIONS):
            if planned[n] is None:
                planned[n] = min(members, key=lambda it: counts[it])
                counts[planned[n]] += 1
        group["planned"] = planned


def rule(name, kind, prefix, service, timeout="3000ms", attempts=2):
    return {"name": name, "routeType": kind, "targetLatency": "800ms", "priority": 1,
            "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeout": timeout, "maxAttempts": attempts}}


def config(version, rules, services):
    """The limits are those of the examples that `fleetbench wire` shows."""
    return json.dumps({
        "version": "%08x" % version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "listeners": [{"host": "hulo84.example", "rules": rules}],
        "clusters": [{"name": it, "healthPath": "/healthz", "maxConnections": 130,
                      "protocol": "h1", "tls": False} for it in services]})


def upstream_entry(service, address, slots=4):
    return json.dumps({"service": service, "address": address, "zone": "lk-west-a", "version": "v1",
                       "concurrency": slots, "state": "ready", "warmupLeft": "0ms", "sequence": 1,
                       "born": int(time.time() * 1000)})


class EntryHost:
    """One process of the entry program on a machine of a small deployment."""

    def __init__(self, folder, number, store):
        self.name = "edge-lk-west-a-%d" % number
        caller, ready, report, metrics = free_ports(4)
        self.caller = (IP, caller)
        self.ready_address = (IP, ready)
        values = {"nodeName": self.name, "zone": "lk-west-a", "ip": IP,
                  "listen.edgeAddress": "%s:%d" % (IP, caller),
                  "listen.readiness": "%s:%d" % (IP, ready),
                  "platform.address": store, "portRange.0": report,
                  "bounds.holdMax": "10000ms", "bounds.grace": "6s", "platform.ttlMin": "1000ms",
                  "platform.parts": 24, "limits.cpuQuota": 0.2, "limits.bandwidthMbps": 1000.0,
                  "bounds.configApply": "2000ms", "bootstrap": True,
                  "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 64,
                  "bounds.retryWindow": "10s"}
        with open(os.path.join(ROOT, "deploy/settings.yaml.tmpl")) as file:
            text = file.read()
        text = re.sub(r"\{\{#([^}]*)\}\}.*?\{\{/\1\}\}\n?", "", text, flags=re.S)
        text = re.sub(r"\{\{([^}|]*)\|json\}\}", lambda it: json.dumps(values[it.group(1)]), text)
        text = re.sub(r"\{\{([^}]*)\}\}",
                      lambda it: str(values[it.group(1)]).replace("True", "true"), text)
        # The template names a fixed port, which may be in use here.
        text = re.sub(r"metrics_port: \d+", "metrics_port: %d" % metrics, text)
        self.settings = os.path.join(folder, self.name + ".yaml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = open(os.path.join(folder, self.name + ".log"), "a")
        self.start()

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            run = re.search(r'^run = "([^"]*)"', file.read(), flags=re.M).group(1)
        words = run.replace("/etc/toucandock/boot.toml", self.settings).split()
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise CannotRun(words[0] + " is missing; run the build of deploy/system.toml first")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=self.log, stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)))

    async def await_ready(self):
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(*self.ready_address)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " is not ready")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def play(case, folder):
    """Runs `case(record, work_folder, hosts)`, which returns whether the rule
    held, and exits as the issue asks."""
    record = Record(folder)
    work = tempfile.mkdtemp()
    hosts = []

    def leave(code):
        for it in hosts:
            it.end()
        shutil.rmtree(work, ignore_errors=True)
        record("exit %d (%s)" % (code, {0: "the rule held", 1: "the rule was broken", 2: "not run"}[code]))
        # Tasks of the case may still run; they end with the process.
        os._exit(code)

    for it in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(it, lambda *_: leave(2))
    signal.alarm(115)
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        held = loop.run_until_complete(asyncio.wait_for(case(record, work, hosts), 110))
    except Exception as error:
        # Whatever goes wrong in the script itself says nothing about the rule.
        record("the case could not run: %r" % error)
        leave(2)
    leave(0 if held else 1)
