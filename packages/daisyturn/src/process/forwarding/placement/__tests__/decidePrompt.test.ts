import assert from "node:assert/strict";
import { test } from "node:test";
import { createDemand, createLongPrompt, createPlacementBench } from "../../__fixtures__/placementBench.js";
import type { CallPlacement, PromptDemand, PromptWay } from "../callPlacement.js";
import { decidePrompt } from "../decidePrompt.js";

const patience = 2_400;
const undeferredWait = 300;

interface SceneOptions {
    /** Milliseconds of waiting before a prompt that is deferred. */
    readonly deferredWait: number;
    /** Milliseconds to read the prompt. */
    readonly reading: number;
    readonly isOwed?: boolean;
}

/** A placement that defers every prompt that may be deferred. */
function createPlacement({ deferredWait, reading }: SceneOptions): CallPlacement {
    const [target] = createPlacementBench([undefined]).listed;
    assert.ok(target);
    const placePrompt = ({ mayDefer }: PromptDemand): PromptWay => {
        const wait = mayDefer ? deferredWait : undeferredWait;
        const step = { target, wait, work: reading, leastWork: reading, keptTokens: 0, sharedWork: 0 };
        const event = wait + reading;
        return { decode: step, firstEvent: event, soonestEvent: event, reading, isDeferred: mayDefer };
    };
    return { placePlain: () => target, placePrompt };
}

function decide(options: SceneOptions) {
    const decision = decidePrompt(createPlacement(options), new Set(), {
        route: "ask",
        demand: createDemand(createLongPrompt("shared", "own")),
        patience,
        isOwed: () => options.isOwed ?? false,
    });
    assert.ok(decision);
    return decision;
}

// Guards against owed prompts that are admitted behind all others, and whose callers leave while later ones go first.
test("a prompt that is owed service is not deferred, also if its forecast would let it be", () => {
    const { way, isOwed, lateness } = decide({ deferredWait: 1_000, reading: 1_300, isOwed: true });
    assert.equal(way.isDeferred, false);
    assert.equal(isOwed, true);
    assert.equal(lateness, undeferredWait + 1_300 - patience);
});

test("a prompt that is owed nothing stays deferred", () => {
    const { way, isOwed } = decide({ deferredWait: 1_000, reading: 1_300 });
    assert.equal(way.isDeferred, true);
    assert.equal(isOwed, false);
});

test("an owed prompt that no engine can begin in time is refused", () => {
    const { isOwed, lateness } = decide({ deferredWait: 1_000, reading: 2_300, isOwed: true });
    assert.equal(isOwed, false);
    assert.ok(lateness > 0);
});
