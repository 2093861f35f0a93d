"""Starts toucandock-entry and the stand-ins as processes on loopback addresses,
for the scripts in review/. Ends all of them when the block is left."""
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.request

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ENTRY = os.path.join(REPO, "target", "bin", "toucandock-entry")
STANDINS = os.path.join(REPO, "build", "review", "bin")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110


class Setup:
    """A small deployment: one store, targets and entry hosts."""

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.began = time.monotonic()
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w")
        self.record(f"TROUBLE={1 if TROUBLE else 0}")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in self.processes.values():
            it.kill()
            it.wait()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()
        print(line, flush=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def start(self, name, command):
        with open(self.path(name + ".out"), "w") as out:
            self.processes[name] = subprocess.Popen(
                command, stdout=out, stderr=subprocess.STDOUT, cwd=self.folder)
        return self.processes[name]

    def start_standin(self, name, program, *flags):
        """Returns the address that the stand-in listens on."""
        file = self.path(name + ".address")
        self.start(name, [os.path.join(STANDINS, program),
                          "--address_file=" + file, *flags])
        wait_for("address of " + name,
                 lambda: os.path.exists(file) and open(file).read().strip())
        return open(file).read().strip()

    def start_store(self):
        self.store = self.start_standin("store", "standin_log")

    def start_host(self, name, zone, **more):
        """Starts an entry host with the settings that deploy/settings.yaml.tmpl
        renders for a small deployment. Returns its addresses by name."""
        file = self.path(name + ".addresses")
        settings = {
            "host_name": name, "failure_domain": zone, "ip": "127.0.0.1",
            "caller_address": "127.0.0.1:0",
            "readiness_address": "127.0.0.1:0",
            "store_address": self.store, "report_port": 0, "metrics_port": 0,
            "longest_lease": "10000ms", "stop_limit": "6s",
            "shortest_membership": "1000ms", "store_partitions": 24,
            "processors": 0.2, "link_mbps": 1000.0, "fleet_starts": "true",
            "address_file": file, **more}
        text = "".join(f"{key}: {value}\n" for key, value in settings.items())
        text += "retries:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n"
        with open(self.path(name + ".yaml"), "w") as out:
            out.write(text)
        if os.path.exists(file):
            os.remove(file)
        self.start(name, [ENTRY, "--settings=" + self.path(name + ".yaml")])
        wait_for("addresses of " + name,
                 lambda: os.path.exists(file) and "peer" in open(file).read())
        return dict(line.split() for line in open(file).read().splitlines())

    def publish_config(self, config):
        self.append("keyed.op", "operator", "config", json.dumps(config))

    def append(self, topic, writer, key, value):
        record = bytes([len(key)]) + key.encode() + value.encode()
        request = urllib.request.Request(
            f"http://{self.store}/log-append?topic={topic}&part=0",
            data=struct.pack(">I", len(record)) + record,
            headers={"Stand-In-Writer": writer})
        urllib.request.urlopen(request, timeout=5).read()


def wait_for(what, condition, limit=30):
    end = time.monotonic() + limit
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        if time.monotonic() > end:
            raise RuntimeError("timed out waiting for " + what)
        time.sleep(0.02)


def is_ready(address):
    try:
        with urllib.request.urlopen(f"http://{address}/readyz", timeout=1) as it:
            return it.status == 200
    except OSError:
        return False


def endpoint(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def connect(address, receive_buffer=0):
    it = socket.socket()
    if receive_buffer:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    it.settimeout(10)
    it.connect(endpoint(address))
    return it


def rule(name, kind, service, timeout, goal="800ms", attempts=2):
    return {"name": name, "routeType": kind, "targetLatency": goal,
            "priority": 1, "match": {"pathPrefix": f"/{name}/"},
            "action": {"service": service, "timeout": timeout,
                       "maxAttempts": attempts}}


def config_of(rules, services):
    return {"version": "00000001",
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "listeners": [{"host": "a.example", "rules": rules}],
            "clusters": services}


def _stop(number, _frame):
    raise RuntimeError("stopped by " + signal.Signals(number).name)


def main(case):
    """Exits with 1 if the rule was broken, 0 if it held, 2 without a result."""
    # Raised as an exception, so that the processes are ended in each case.
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(TIME_LIMIT_S)
    try:
        broken = case()
    except Exception as e:  # pylint: disable=broad-except
        print("the case could not run:", repr(e), flush=True)
        sys.exit(COULD_NOT_RUN)
    print("rule broken" if broken else "rule held", flush=True)
    sys.exit(BROKEN if broken else HELD)
