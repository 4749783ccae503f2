"""A departure that was acknowledged while the store was away is forgotten when all processes are killed before the store is back."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))
import lab as harness  # noqa: E402

DRAIN_S = 2.0
DEADLINE_MS = 2000


def case(lab, trouble):
    beside, leaving = lab.add("orders", "zone-a")
    lab.add("orders", "zone-b")
    lab.add("katalog", "zone-a")
    lab.add("katalog", "zone-b")
    lab.configure([harness.route("browse", "katalog"), harness.route("order", "orders", "unsafe")])
    lab.start()
    before = lab.ask(beside, "POST", "/order/before", DEADLINE_MS, b"order")
    if before[1] != 200:
        raise RuntimeError("orders aren't served")
    if trouble:
        lab.store.down = True
        lab.record("the store is down")
        time.sleep(0.5)
    leaving.stopped = True  # sends no report but those below, and serves on
    late_sequence = leaving.sequence + 1  # sent now, and delayed on its way
    leaving.sequence += 2
    fields = {"service": leaving.service, "address": "%s:%d" % (leaving.ip, harness.PORTS["app"]), "zone": leaving.zone, "version": "v1",
              "slots": leaving.slots, "coldLeft": "0ms", "born": leaving.born}
    path = "/instances/%s/heartbeat" % leaving.id
    acknowledged = None
    for _ in range(3):
        sent = time.monotonic()
        status = leaving.call(path, dict(fields, state="draining", sequence=leaving.sequence))
        lab.record("report draining", leaving.id, "sequence", leaving.sequence, "answered", status, "after %.3f s" % (time.monotonic() - sent))
        if 200 <= status < 300 and time.monotonic() - sent < 1:
            acknowledged = time.monotonic()
            break
        leaving.sequence += 1
    if acknowledged is None:
        raise RuntimeError("the departure isn't acknowledged")

    def at(seconds):
        time.sleep(max(0, acknowledged + seconds - time.monotonic()))

    if trouble:
        at(0.2)
        for it in lab.nodes:
            it.signal(signal.SIGKILL)
        for it in lab.nodes:
            it.process.wait()
        at(0.7)
        for it in lab.nodes:
            it.start()
        at(2.0)
        lab.store.down = False
        lab.record("the store is back")
    at(3.0)
    status = leaving.call(path, dict(fields, state="ready", sequence=late_sequence))
    lab.record("late report ready", leaving.id, "sequence", late_sequence, "answered", status)
    # The processes run again for more than 3 s, and the store is undisturbed for more than 3 s.
    at(6.0)
    sent_at = {}
    threads = []

    def order(node, number):
        request_id = lab.new_id()
        sent_at[request_id] = time.monotonic() - acknowledged
        lab.ask(node, "POST", "/order/%d" % number, DEADLINE_MS, b"order", request_id=request_id)

    for number in range(24):
        threads.append(threading.Thread(target=order, args=(lab.nodes[number % 4], number)))
        threads[-1].start()
        time.sleep(0.1)
    for it in threads:
        it.join()
    late = [it[1] for it in leaving.runs if it[1] in sent_at and sent_at[it[1]] > DRAIN_S]
    for it in late:
        lab.record("DRAIN:", it, "sent %.3f s after the acknowledgement, runs at %s" % (sent_at[it], leaving.id))
    return len(late) > 0


harness.main(case, HERE)
