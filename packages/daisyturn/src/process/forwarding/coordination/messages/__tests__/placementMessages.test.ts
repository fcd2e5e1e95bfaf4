import assert from "node:assert/strict";
import { test } from "node:test";
import { parseNotification } from "../notification.js";
import { encodePlacementRequest, type PlacementRequest, readPlacementRequest } from "../placementMessages.js";

function createRequest(changes: Partial<PlacementRequest> = {}): PlacementRequest {
    return {
        from: "entry-1",
        askId: 1,
        availabilityZone: "zone-a",
        service: "engines",
        route: "ask",
        prompt: { model: "m", promptTokens: 2, maxOutputTokens: 1, expectedOutputTokens: 1, parts: [] },
        bodyBytes: 10,
        avoid: [],
        softwareVersion: undefined,
        mayDefer: true,
        isWholeOnly: false,
        aim: -20,
        pauseAim: 150,
        patience: 1_000,
        ...changes,
    };
}

function encodeAndRead(request: PlacementRequest): PlacementRequest | undefined {
    const notification = parseNotification(encodePlacementRequest(request));
    return notification && readPlacementRequest(notification);
}

// Guards against coordinators that never answer for services without a target pause: each request waited for its time
// limit, and the process took the coordinator for unreachable.
test("a request without a limit of pauses is read as it was sent", () => {
    for (const pauseAim of [150, Infinity]) {
        assert.deepEqual(encodeAndRead(createRequest({ pauseAim })), createRequest({ pauseAim }));
    }
});

test("a request with an invalid limit of pauses is not read", () => {
    assert.equal(encodeAndRead(createRequest({ pauseAim: -1 })), undefined);
    assert.equal(encodeAndRead(createRequest({ pauseAim: "150" as unknown as number })), undefined);
});
