import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ByteSource } from "../../../process/forwarding/index.js";
import { createReadTurns } from "../createReadTurns.js";
import { createTimeAllowance } from "../createTimeAllowance.js";

/** What the process does in time that the test lets pass. */
enum Activity {
    /** Work of other connections. */
    Work = "work",
    Idle = "idle",
    /** The process is ready, but other processes have all processors. */
    WaitsForProcessor = "waits",
}

/** Turns on times that the test advances. A read takes the processor time that it is told to. */
function createTestTurns(context: TestContext) {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    const times = { now: 0, used: 0, idle: 0 };
    const turns = createReadTurns({ now: () => times.now, used: () => times.used, idle: () => times.idle });
    const pass = async (milliseconds: number, activity = Activity.Work) => {
        times.now += milliseconds;
        times.used += activity === Activity.Work ? milliseconds : 0;
        times.idle += activity === Activity.Idle ? milliseconds : 0;
        context.mock.timers.tick(milliseconds);
        await nextTurn();
    };
    const join = (source: ByteSource, onResume: () => void = () => undefined) => {
        const turn = turns.join(source, onResume);
        const read = (milliseconds: number, followingMilliseconds = 0) => {
            const isGranted = turn.begin() > 0;
            if (isGranted) {
                times.now += milliseconds;
                times.used += milliseconds;
                turn.end(1, followingMilliseconds);
            }
            return isGranted;
        };
        return { turn, read };
    };
    /**
     * Joins connections that have always more bytes and no credit, and lets the time pass that they leave to others. Returns
     * the times that they read for 2 ms.
     */
    const joinSpent = async (sources: readonly ByteSource[], followingMilliseconds = 0) => {
        const counts = sources.map(() => 0);
        for (const [index, source] of sources.entries()) {
            const { read } = join(source, () => {
                while (read(2, followingMilliseconds)) {
                    counts[index]! += 1;
                }
            });
            assert.ok(read(0, 200));
            await pass(0);
            assert.ok(!read(2));
        }
        while (sum(counts) === 0) {
            await pass(1);
        }
        counts.fill(0);
        return counts;
    };
    return { times, turns, pass, join, joinSpent };
}

const sum = (numbers: readonly number[]) => numbers.reduce((total, number) => total + number, 0);

test("grants a caller's connection 20 ms at once, and a twentieth of the time later", async context => {
    const { pass, join } = createTestTurns(context);
    const [early, late, other] = [join(ByteSource.Caller), join(ByteSource.Caller), join(ByteSource.Caller)];
    assert.ok(other.read(0, 100), "what it takes beyond its credit is left to others for 320 ms");
    for (const { read } of [early, late]) {
        for (const milliseconds of [19, 10]) {
            assert.ok(read(0, milliseconds));
            await pass(0);
        }
    }
    await pass(170);
    assert.ok(!early.read(1), "nine milliseconds beyond the credit take 180");
    assert.ok(early.turn.isThrottled());
    await pass(20);
    assert.ok(late.read(1));
});

// Guards against many connections that together take the time in which others are served.
test("leaves a fifth of the time to all connections without credit, in turn, whatever their number and source", async context => {
    const { turns, pass, joinSpent } = createTestTurns(context);
    const counts = await joinSpent([ByteSource.Caller, ByteSource.Store, ByteSource.Operator]);
    assert.equal(turns.counts(ByteSource.Caller).waiting, 1);
    for (let elapsed = 0; elapsed < 240; elapsed++) {
        await pass(1);
    }
    const taken = 2 * sum(counts);
    assert.ok(taken <= 60 + 2 && taken > 45, `${taken} ms beside 240 ms`);
    assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, counts.join());
});

// Guards against a connection with many calls that is slowed down although nobody else has work.
test("leaves half as much time as is idle to connections without credit", async context => {
    const { pass, joinSpent } = createTestTurns(context);
    const counts = await joinSpent([ByteSource.Caller]);
    for (let elapsed = 0; elapsed < 240; elapsed++) {
        await pass(1, Activity.Idle);
    }
    const taken = 2 * sum(counts);
    assert.ok(taken <= 120 + 2 && taken > 100, `${taken} ms beside 240 idle ms`);
});

// Guards against connections without credit that take all that a process gets of a busy machine.
test("does not count time in which the process waits for a processor as left to others", async context => {
    const { pass, joinSpent } = createTestTurns(context);
    const counts = await joinSpent([ByteSource.Caller]);
    await pass(1);
    const before = sum(counts);
    for (let elapsed = 0; elapsed < 240; elapsed++) {
        await pass(1, Activity.WaitsForProcessor);
    }
    assert.equal(sum(counts) - before, 0);
});

// Guards against pipelined requests whose bytes cost little and whose work takes the time of others.
test("pauses for work that follows a read as for the read itself", async context => {
    const { pass, joinSpent } = createTestTurns(context);
    const counts = await joinSpent([ByteSource.Caller], 8);
    for (let elapsed = 0; elapsed < 240; elapsed++) {
        await pass(1);
    }
    assert.ok(sum(counts) <= 240 / 40 + 1 && sum(counts) > 4, `${sum(counts)} reads of 10 ms beside 240 ms`);
});

// Guards against a connection that is throttled because its process waited for a processor while it read.
test("charges processor time and not elapsed time", async context => {
    const { times, pass, join } = createTestTurns(context);
    const { turn } = join(ByteSource.Caller);
    turn.begin();
    times.now += 500;
    turn.end(1);
    await pass(0);
    assert.ok(turn.begin() > 0);
});

// Guards against connections that keep what they were granted and then read at the same time.
test("withdraws a turn without credit that is not used at once", async context => {
    const { turns, pass, join } = createTestTurns(context);
    const [unused, other] = [join(ByteSource.Caller), join(ByteSource.Caller)];
    for (const { read } of [unused, other]) {
        assert.ok(read(0, 100));
        await pass(0);
    }
    assert.ok(!unused.read(1));
    await pass(400);
    assert.equal(turns.counts(ByteSource.Caller).waiting, 0, "the turn was granted");
    assert.ok(other.read(2));
    assert.ok(!unused.read(1));
    assert.ok(unused.turn.isThrottled());
});

// Guards against a pause before each call of a connection while nobody else has work.
test("lets a connection without credit read at once if others have had their time", async context => {
    const { pass, join } = createTestTurns(context);
    const { read } = join(ByteSource.Caller);
    assert.ok(read(0, 100));
    await pass(320);
    for (let count = 0; count < 10; count++) {
        assert.ok(read(0.5));
        assert.ok(!read(0.5), "a second read at once");
        await pass(2);
    }
});

test("an allowance grants a burst, and a share of the time later", async () => {
    const clock = new FakeClock();
    const allowance = createTimeAllowance(clock);
    allowance.spend(19);
    assert.ok(!allowance.isSpent());
    allowance.spend(11);
    await clock.advance(190);
    assert.ok(allowance.isSpent());
    await clock.advance(20);
    assert.ok(!allowance.isSpent());
});
