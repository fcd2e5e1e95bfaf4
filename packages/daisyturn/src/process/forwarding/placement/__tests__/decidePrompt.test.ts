import assert from "node:assert/strict";
import { test } from "node:test";
import { createDemand, createLongPrompt, createPlacementBench } from "../../__fixtures__/placementBench.js";
import { createLongPrefillTimes } from "../../limits/createLongPrefillTimes.js";
import type { CallPlacement, PromptPlacement, PromptRequirements } from "../callPlacement.js";
import { decidePrompt } from "../decidePrompt.js";

const patience = 2_400;
const undeferredWait = 300;

interface DecideOptions {
    /** Milliseconds that a deferred prompt waits. */
    readonly deferredWait: number;
    /** Milliseconds to prefill the prompt. */
    readonly prefillMilliseconds: number;
    readonly isUnderserved?: boolean;
    readonly areLongestUnderserved?: boolean;
    /** Milliseconds to prefill other prompts of the route. */
    readonly otherPrefills?: readonly number[];
    readonly mayDefer?: boolean;
}

/** Creates a placement that defers every prompt that may be deferred. */
function createPlacement({ deferredWait, prefillMilliseconds }: DecideOptions): CallPlacement {
    const [target] = createPlacementBench([undefined]).listed;
    assert.ok(target);
    const placePrompt = ({ mayDefer }: PromptRequirements): PromptPlacement => {
        const wait = mayDefer ? deferredWait : undeferredWait;
        const step = {
            target,
            wait,
            work: prefillMilliseconds,
            leastWork: prefillMilliseconds,
            keptTokens: 0,
            sharedWork: 0,
        };
        const firstEvent = wait + prefillMilliseconds;
        return {
            decode: step,
            firstEvent,
            soonestEvent: firstEvent,
            prefillMilliseconds,
            isDeferred: mayDefer,
        };
    };
    return { placePlain: () => target, placePrompt };
}

function decide(options: DecideOptions) {
    const longPrefillTimes = createLongPrefillTimes();
    options.otherPrefills?.forEach(prefillMilliseconds => longPrefillTimes.record("ask", prefillMilliseconds));
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

// Guards against underserved prompts that are deferred, so that later calls overtake them until their callers leave.
test("an underserved prompt is not deferred, even if it would begin in time when deferred", () => {
    const { placement: chosen, isUnderserved, lateness } = decide({
        deferredWait: 1_000,
        prefillMilliseconds: 1_300,
        isUnderserved: true,
    });
    assert.equal(chosen.isDeferred, false);
    assert.equal(isUnderserved, true);
    assert.equal(lateness, undeferredWait + 1_300 - patience);
});

test("a prompt that is not underserved stays deferred", () => {
    const { placement: chosen, isUnderserved } = decide({ deferredWait: 1_000, prefillMilliseconds: 1_300 });
    assert.equal(chosen.isDeferred, true);
    assert.equal(isUnderserved, false);
});

test("an underserved prompt that no engine can begin in time is refused", () => {
    const { isUnderserved, lateness } = decide({
        deferredWait: 1_000,
        prefillMilliseconds: 2_300,
        isUnderserved: true,
    });
    assert.equal(isUnderserved, false);
    assert.ok(lateness > 0);
});

const otherPrefills = [200, 300, 1_200];

// Guards against a queue of such a length that short prompts just fit and long ones never do.
test("while the longest prompts are underserved, short ones are refused where a long one would be too late", () => {
    const short = { prefillMilliseconds: 200, otherPrefills, areLongestUnderserved: true };
    assert.equal(decide({ ...short, deferredWait: 1_700 }).lateness, 1_700 + 300 - patience);
    assert.ok(decide({ ...short, otherPrefills: [...otherPrefills, 1_200], deferredWait: 1_700 }).lateness > 0);
    assert.ok(decide({ ...short, otherPrefills: [...otherPrefills, 1_200], deferredWait: 1_100 }).lateness <= 0);
});

test("short prompts are evaluated by their own time if no prompts are underserved or if they are not deferred", () => {
    const short = { deferredWait: 1_700, prefillMilliseconds: 200, otherPrefills: [1_200, 1_200, 1_200] };
    assert.equal(decide(short).lateness, 1_900 - patience);
    const undeferred = decide({ ...short, mayDefer: false, areLongestUnderserved: true });
    assert.equal(undeferred.lateness, undeferredWait + 200 - patience);
});

test("prompts that take longer than a caller waits do not keep all others from being admitted", () => {
    const short = { prefillMilliseconds: 200, otherPrefills: [5_000, 5_000, 5_000], areLongestUnderserved: true };
    assert.ok(decide({ ...short, deferredWait: 500 }).lateness <= 0);
});
