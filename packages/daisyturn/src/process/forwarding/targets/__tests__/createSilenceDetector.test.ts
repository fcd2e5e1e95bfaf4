import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineActivity } from "../../../../ports/engineOrders.js";
import { createSilenceDetector } from "../createSilenceDetector.js";

const checkMilliseconds = 350;
const answerMilliseconds = 300;

function createScene(activity: EngineActivity) {
    const clock = new FakeClock();
    const asked: number[] = [];
    const detector = createSilenceDetector(clock, new MemoryEventLog(), async () => {
        asked.push(clock.monotonicNow());
        await clock.sleepUntil(clock.monotonicNow() + answerMilliseconds);
        return activity;
    });
    /** Advances the clock and checks the target at intervals, as waiting calls do. */
    const wait = async (targetId: string, milliseconds: number) => {
        for (let passed = 0; passed < milliseconds; passed += checkMilliseconds) {
            detector.check(targetId);
            await clock.advance(checkMilliseconds);
        }
    };
    return { clock, detector, asked, wait };
}

// Guards against abandoned calls and suspected engines during the prefill of a long prompt.
test("an engine that confirms that it is working is not silent, however long its answer takes", async () => {
    const { detector, asked, wait } = createScene(EngineActivity.Working);
    detector.beginWait("a", true);
    await wait("a", 20_000);
    assert.equal(detector.isSilent("a"), false);
    assert.ok(asked.length > 5 && asked.length < 15, `queried ${asked.length} times`);
});

for (const activity of [EngineActivity.NoAnswer, EngineActivity.Idle]) {
    test(`an engine whose activity is ${activity} while a call waits is silent after little more than two seconds`, async () => {
        const { detector, wait } = createScene(activity);
        detector.beginWait("a", true);
        await wait("a", 1_900);
        assert.equal(detector.isSilent("a"), false);
        await wait("a", 700);
        assert.equal(detector.isSilent("a"), true);
        detector.recordBytesReceived("a");
        assert.equal(detector.isSilent("a"), false);
    });
}

test("a target whose activity can't be queried is silent by time alone", async () => {
    const { detector, asked, wait } = createScene(EngineActivity.Working);
    detector.beginWait("plain", false);
    await wait("plain", 2_500);
    assert.equal(detector.isSilent("plain"), true);
    assert.deepEqual(asked, []);
});

test("a target is not queried while its bytes are received or while no call waits", async () => {
    const { detector, asked, wait } = createScene(EngineActivity.NoAnswer);
    const waiting = detector.beginWait("a", true);
    await wait("a", 1_000);
    detector.recordBytesReceived("a");
    await wait("a", 1_000);
    waiting.end();
    await wait("a", 5_000);
    assert.deepEqual(asked, []);
    assert.equal(detector.isSilent("a"), false);
});
