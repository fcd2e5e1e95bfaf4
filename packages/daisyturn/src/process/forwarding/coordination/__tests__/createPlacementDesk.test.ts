import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createShortPrompt } from "../../__fixtures__/placementBench.js";
import { createSizeFairness } from "../../limits/createSizeFairness.js";
import { measureSize } from "../../limits/measureSize.js";
import type { DecisionRequest } from "../../placement/decidePrompt.js";
import { createTargetLoads } from "../../views/createTargetLoads.js";
import { createPlacementDesk } from "../createPlacementDesk.js";

const route = "chat";
const longAnswerTokens = 500;

/** Has a coordinator asked for the place of a prompt, and returns what it decides by. */
function ask(maxOutputTokens: number, sizeFairness = createSizeFairness()): DecisionRequest {
    const clock = new FakeClock();
    const requests: DecisionRequest[] = [];
    const desk = createPlacementDesk({
        coordinatorId: "entry-1",
        decide: request => {
            requests.push(request);
            return undefined;
        },
        findService: () => undefined,
        loads: createTargetLoads(clock),
        sizeFairness,
        clock,
    });
    desk.answer({
        from: "entry-2",
        askId: 1,
        availabilityZone: "zone-0",
        service: "engines",
        route,
        prompt: { ...createShortPrompt("own"), maxOutputTokens },
        bodyBytes: 100,
        avoid: [],
        isWholeOnly: false,
        aim: 500,
        pauseAim: 150,
        patience: 2_000,
    });
    const [request] = requests;
    assert.ok(request);
    return request;
}

// Guards against starvation of short prompts with long answers, which are the largest of their route.
test("a prompt with a long answer is owed service where such prompts were refused", () => {
    const sizeFairness = createSizeFairness();
    const prompt = createShortPrompt("own");
    for (let count = 0; count < 36; count++) {
        sizeFairness.begin(route, measureSize(prompt)).end(true);
    }
    for (let count = 0; count < 4; count++) {
        sizeFairness.begin(route, measureSize({ ...prompt, maxOutputTokens: longAnswerTokens })).end(false);
    }
    assert.equal(ask(longAnswerTokens, sizeFairness).isUnderserved(), true);
    assert.equal(ask(prompt.maxOutputTokens, sizeFairness).isUnderserved(), false);
});
