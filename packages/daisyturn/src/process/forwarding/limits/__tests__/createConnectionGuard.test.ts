import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createConnectionGuard } from "../createConnectionGuard.js";

const defaultCostMilliseconds = 5;
/** Requests that the process may serve in a second. */
const capacity = 160;

/** A process that each request costs processor time, and that does other work besides. */
function createScene({ costMilliseconds = defaultCostMilliseconds, otherUtilization = 0 } = {}) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const scene = { clock, eventLog, hasRoom: true, asked: 0, busy: 0, admitted: 0, closed: 0 };
    const guard = createConnectionGuard({
        busyMilliseconds: () => scene.busy,
        hasRoomElsewhere: () => {
            scene.asked += 1;
            return scene.hasRoom;
        },
        clock,
        eventLog,
    });
    const serve = (isFirst: boolean) => {
        scene.busy += costMilliseconds;
        guard.recordRequest(isFirst);
    };
    const connect = () => {
        const isClosed = guard.shouldClose();
        scene.closed += isClosed ? 1 : 0;
        if (!isClosed) {
            scene.admitted += 1;
            serve(true);
        }
    };
    /** Lets new connections, with a request each, and requests on open ones arrive at these rates for some seconds. */
    const arrive = async (seconds: number, connectionsPerSecond: number, requestsPerSecond = 0) => {
        Object.assign(scene, { admitted: 0, closed: 0 });
        const step = 10;
        let [connections, requests] = [0, 0];
        for (let elapsed = step; elapsed <= seconds * 1_000; elapsed += step) {
            await clock.advance(step);
            scene.busy += step * otherUtilization;
            for (; connections < connectionsPerSecond * elapsed / 1_000; connections++) {
                connect();
            }
            for (; requests < requestsPerSecond * elapsed / 1_000; requests++) {
                serve(false);
            }
        }
    };
    return Object.assign(scene, { arrive, connect, guard });
}

// Guards against requests that are read and then refused although other processes have room.
test("admits as many new connections as the process can serve, from the first moment of a crowd on", async () => {
    const scene = createScene();
    await scene.arrive(5, 30);
    assert.equal(scene.closed, 0);
    await scene.arrive(4, 600);
    assert.ok(scene.admitted > capacity * 3.8 && scene.admitted < capacity * 4.5, `${scene.admitted}`);
    assert.equal(scene.eventLog.of(EventKind.ConnectionsLimited).length, 1);
});

// Guards against callers that are sent away from a process that can serve them.
test("closes nothing, and asks nobody, below its capacity and soon after a crowd", async () => {
    const scene = createScene();
    await scene.arrive(5, 120);
    assert.deepEqual([scene.closed, scene.asked], [0, 0]);
    await scene.arrive(4, 600);
    await scene.arrive(3, 30);
    assert.equal(scene.closed, 0);
});

// Guards against callers that are sent away because the other work of a process makes its few requests seem to cost much.
test("closes nothing while the process is not busy, whatever its requests seem to cost", async () => {
    const scene = createScene({ costMilliseconds: 1, otherUtilization: 0.2 });
    await scene.arrive(5, 15);
    await scene.arrive(2, 150);
    assert.deepEqual([scene.closed, scene.asked], [0, 0]);
});

// Guards against new connections that harm the callers of open ones, and are none the better for it.
test("admits only what the requests on open connections leave", async () => {
    const scene = createScene();
    await scene.arrive(5, 30, 100);
    await scene.arrive(4, 300, 100);
    const left = (capacity - 100) * 4;
    assert.ok(scene.admitted > left * 0.9 && scene.admitted < left * 1.3, `${scene.admitted} of ${left}`);
});

// Guards against callers that are sent to processes that can't serve them either.
test("closes nothing while no other process has room", async () => {
    const scene = createScene();
    scene.hasRoom = false;
    await scene.arrive(8, 600);
    assert.equal(scene.closed, 0);
});

// Guards against a burst within one turn of the event loop, all of which would be read before any is closed.
test("admits only a few of many connections that arrive at once", async () => {
    const scene = createScene();
    await scene.arrive(5, 30);
    Object.assign(scene, { admitted: 0, closed: 0 });
    Array.from({ length: 100 }).forEach(scene.connect);
    assert.ok(scene.admitted <= 30, `${scene.admitted}`);
});

test("admits only a few of many connections that are accepted before the first of them is read", async () => {
    const scene = createScene();
    await scene.arrive(5, 30);
    const admitted = Array.from({ length: 100 }).filter(() => !scene.guard.shouldClose());
    assert.ok(admitted.length <= 30, `${admitted.length}`);
});

// Guards against connections that are closed because a process has just started, or has stood still.
test("closes nothing before it knows what a request costs, and little after a pause of the process", async () => {
    const scene = createScene();
    await scene.arrive(2, 150);
    await scene.arrive(4, 60);
    assert.equal(scene.closed, 0);
    scene.busy += 5_000;
    await scene.arrive(4, 60);
    assert.equal(scene.closed, 0);
});

test("bears requests that cost nothing measurable", async () => {
    const scene = createScene();
    for (let second = 0; second < 8; second++) {
        await scene.arrive(1, 100);
        scene.busy = 0;
    }
    assert.equal(scene.closed, 0);
});
