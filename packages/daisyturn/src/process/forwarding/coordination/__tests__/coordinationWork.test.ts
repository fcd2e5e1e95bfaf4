import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleet, type Fleet } from "../__fixtures__/createFleet.js";

const measuredMilliseconds = 3_000;
/** Interval between two calls of each process. */
const callMilliseconds = 25;

/** Counts the datagrams received and the waits begun by all processes, by process and second. */
async function countWork({ clock, listeners, processes }: Fleet, beginCalls: () => void) {
    let received = 0;
    let sleeps = 0;
    const originals = new Map(listeners);
    originals.forEach((listener, port) =>
        listeners.set(port, (datagram, from) => {
            received += 1;
            listener(datagram, from);
        })
    );
    const sleepUntil = clock.sleepUntil.bind(clock);
    clock.sleepUntil = (...parameters) => {
        sleeps += 1;
        return sleepUntil(...parameters);
    };
    for (let elapsed = 0; elapsed < measuredMilliseconds; elapsed += callMilliseconds) {
        beginCalls();
        await clock.advance(callMilliseconds);
    }
    clock.sleepUntil = sleepUntil;
    originals.forEach((listener, port) => listeners.set(port, listener));
    const perSecond = (total: number) => total / processes.length / measuredMilliseconds * 1_000;
    // The fixture delivers each datagram by a sleep of its own.
    return { received: perSecond(received), waits: perSecond(sleeps - received) };
}

// Guards against timers and messages that wake all processes of a large fleet although nothing waits for them.
for (const [count, zones] of [[8, 3], [68, 3], [195, 3]] as const) {
    test(`${count} processes receive few datagrams and begin few waits, at rest and with calls`, async () => {
        const fleet = createFleet(count, zones, 30);
        await fleet.clock.advance(5_000);
        const rest = await countWork(fleet, () => undefined);
        assert.ok(rest.received <= 12, `${rest.received} datagrams at rest`);
        assert.ok(rest.waits <= 10, `${rest.waits} waits at rest`);
        let engine = 0;
        const busy = await countWork(fleet, () => {
            engine = (engine + 1) % 30;
            fleet.processes.forEach(({ loads }) =>
                loads.begin(`i-${engine}`, { work: 10, isDeferred: false, tokens: 300 })
            );
        });
        assert.ok(busy.received <= 21, `${busy.received} datagrams with calls`);
        assert.ok(busy.waits <= 18, `${busy.waits} waits with calls`);
        await fleet.stop();
    });
}
