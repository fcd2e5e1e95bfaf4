import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createShortPrompt } from "../../__fixtures__/placementBench.js";
import { createSizeFairness } from "../../limits/createSizeFairness.js";
import { measureSize } from "../../limits/measureSize.js";
import type { DecisionRequest } from "../../placement/decidePrompt.js";
import { createTargetLoads } from "../../views/createTargetLoads.js";
import { createPlacementServer } from "../createPlacementServer.js";

const route = "chat";
const longAnswerTokens = 500;

/** Sends a placement request to a coordinator and returns the request on which it decides. */
function requestPlacement(maxOutputTokens: number, sizeFairness = createSizeFairness()): DecisionRequest {
    const clock = new FakeClock();
    const requests: DecisionRequest[] = [];
    const server = createPlacementServer({
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
    server.answer({
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
test("a prompt with a long answer is underserved if such prompts have been refused", () => {
    const sizeFairness = createSizeFairness();
    const prompt = createShortPrompt("own");
    for (let count = 0; count < 36; count++) {
        sizeFairness.begin(route, measureSize(prompt)).end(true);
    }
    for (let count = 0; count < 4; count++) {
        sizeFairness.begin(route, measureSize({ ...prompt, maxOutputTokens: longAnswerTokens })).end(false);
    }
    assert.equal(requestPlacement(longAnswerTokens, sizeFairness).isUnderserved(), true);
    assert.equal(requestPlacement(prompt.maxOutputTokens, sizeFairness).isUnderserved(), false);
});
