import assert from "node:assert/strict";
import { getEventListeners, setMaxListeners } from "node:events";
import { test } from "node:test";
import { SystemClock } from "../clock.js";
import { createInterruption } from "../interruption.js";
import { createSignal } from "../signal.js";

const longMilliseconds = 60_000;

test("an abort ends all waits with the signal, through one event listener", async () => {
    const clock = new SystemClock();
    const stop = new AbortController();
    setMaxListeners(1, stop.signal);
    const signal = createSignal();
    const deadline = clock.monotonicNow() + longMilliseconds;
    const waits = [...Array(20).keys()].map(index =>
        index % 2 === 0 ? clock.sleepUntil(deadline, stop.signal) : signal.wait(clock, deadline, stop.signal)
    );
    assert.equal(getEventListeners(stop.signal, "abort").length, 1);
    stop.abort();
    await Promise.all(waits);
    await clock.sleepUntil(deadline, stop.signal);
});

test("a raised signal wakes the waits that have begun, and none that begins later", async () => {
    const clock = new SystemClock();
    const { signal: never } = createInterruption();
    const signal = createSignal();
    const waiting = signal.wait(clock, clock.monotonicNow() + longMilliseconds, never);
    signal.raise();
    await waiting;
    const deadline = clock.monotonicNow() + 20;
    await signal.wait(clock, deadline, never);
    assert.ok(clock.monotonicNow() >= deadline - 1);
});

test("an interruption ends a sleep once, also one that begins after it", async () => {
    const clock = new SystemClock();
    const { signal, interrupt } = createInterruption();
    const sleeping = clock.sleepUntil(clock.monotonicNow() + longMilliseconds, signal);
    interrupt();
    interrupt();
    await sleeping;
    await clock.sleepUntil(clock.monotonicNow() + longMilliseconds, signal);
});
