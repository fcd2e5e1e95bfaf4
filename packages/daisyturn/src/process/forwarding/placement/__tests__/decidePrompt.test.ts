import assert from "node:assert/strict";
import { test } from "node:test";
import { createDemand, createLongPrompt, createPlacementBench } from "../../__fixtures__/placementBench.js";
import { createLongPrefillTimes } from "../../limits/createLongPrefillTimes.js";
import type { CallPlacement, PromptPlacement, PromptRequirements } from "../callPlacement.js";
import { decidePrompt } from "../decidePrompt.js";

const patience = 2_400;
const undeferredWait = 300;

interface SceneOptions {
    /** Milliseconds of waiting before a prompt that is deferred. */
    readonly deferredWait: number;
    /** Milliseconds to read the prompt. */
    readonly reading: number;
    readonly isUnderserved?: boolean;
    readonly areLongestUnderserved?: boolean;
    /** Milliseconds to read other prompts of the route. */
    readonly otherReadings?: readonly number[];
    readonly mayDefer?: boolean;
}

/** A placement that defers every prompt that may be deferred. */
function createPlacement({ deferredWait, reading }: SceneOptions): CallPlacement {
    const [target] = createPlacementBench([undefined]).listed;
    assert.ok(target);
    const placePrompt = ({ mayDefer }: PromptRequirements): PromptPlacement => {
        const wait = mayDefer ? deferredWait : undeferredWait;
        const step = { target, wait, work: reading, leastWork: reading, keptTokens: 0, sharedWork: 0 };
        const event = wait + reading;
        return { decode: step, firstEvent: event, soonestEvent: event, reading, isDeferred: mayDefer };
    };
    return { placePlain: () => target, placePrompt };
}

function decide(options: SceneOptions) {
    const longPrefillTimes = createLongPrefillTimes();
    options.otherReadings?.forEach(reading => longPrefillTimes.record("ask", reading));
    const parts = { placement: createPlacement(options), longPrefillTimes, switchedOff: new Set<never>() };
    const decision = decidePrompt(parts, {
        route: "ask",
        demand: createDemand(createLongPrompt("shared", "own"), { mayDefer: options.mayDefer ?? true }),
        patience,
        isUnderserved: () => options.isUnderserved ?? false,
        areLongestUnderserved: () => options.areLongestUnderserved ?? false,
    });
    assert.ok(decision);
    return decision;
}

// Guards against owed prompts that are admitted behind all others, and whose callers leave while later ones go first.
test("a prompt that is owed service is not deferred, also if its forecast would let it be", () => {
    const { placement: way, isUnderserved, lateness } = decide({
        deferredWait: 1_000,
        reading: 1_300,
        isUnderserved: true,
    });
    assert.equal(way.isDeferred, false);
    assert.equal(isUnderserved, true);
    assert.equal(lateness, undeferredWait + 1_300 - patience);
});

test("a prompt that is owed nothing stays deferred", () => {
    const { placement: way, isUnderserved } = decide({ deferredWait: 1_000, reading: 1_300 });
    assert.equal(way.isDeferred, true);
    assert.equal(isUnderserved, false);
});

test("an owed prompt that no engine can begin in time is refused", () => {
    const { isUnderserved, lateness } = decide({ deferredWait: 1_000, reading: 2_300, isUnderserved: true });
    assert.equal(isUnderserved, false);
    assert.ok(lateness > 0);
});

const otherReadings = [200, 300, 1_200];

// Guards against queues that settle where short prompts just fit, so that long ones never do.
test("while the longest are owed service, short prompts are refused where a long one would be too late", () => {
    const short = { reading: 200, otherReadings, areLongestUnderserved: true };
    assert.equal(decide({ ...short, deferredWait: 1_700 }).lateness, 1_700 + 300 - patience);
    assert.ok(decide({ ...short, otherReadings: [...otherReadings, 1_200], deferredWait: 1_700 }).lateness > 0);
    assert.ok(decide({ ...short, otherReadings: [...otherReadings, 1_200], deferredWait: 1_100 }).lateness <= 0);
});

test("short prompts are judged by themselves while nothing is owed, or where they are not deferred", () => {
    const short = { deferredWait: 1_700, reading: 200, otherReadings: [1_200, 1_200, 1_200] };
    assert.equal(decide(short).lateness, 1_900 - patience);
    const undeferred = decide({ ...short, mayDefer: false, areLongestUnderserved: true });
    assert.equal(undeferred.lateness, undeferredWait + 200 - patience);
});

test("prompts longer than a caller waits do not close the queue for all others", () => {
    const short = { reading: 200, otherReadings: [5_000, 5_000, 5_000], areLongestUnderserved: true };
    assert.ok(decide({ ...short, deferredWait: 500 }).lateness <= 0);
});
