import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { it } from "node:test";
import { createClaimBench, createClaimRequest } from "../../../request/__fixtures__/createClaimBench.js";
import { createClaimRoutes } from "../createClaimRoutes.js";
import { matchRoute } from "../operatorRoutes.js";

it("returns a claim only to operators of its partner, and without the answer", async () => {
    const { clock, startManager, send } = createClaimBench();
    const claimManager = startManager("p");
    await claimManager.runOnce(createClaimRequest(clock), send);
    await clock.advance(100);
    const show = async (partner: string, key: string) => {
        const matched = matchRoute(createClaimRoutes(claimManager), "GET", "/v1/claims/a/s");
        const { route, parameters } = matched ?? assert.fail();
        const query = new URLSearchParams(key === "" ? {} : { key });
        return route.handle({ operator: { partner, name: "o" }, parameters, query, body: undefined });
    };
    const shown = await show("p", "key/1");
    assert.ok(shown.isOk);
    assert.deepEqual([shown.value["state"], shown.value["requestId"]], ["answered", "req-1"]);
    assert.ok(!JSON.stringify(shown.value).includes("run 1"));
    const others = await show("other", "key/1");
    assert.equal(others.isErr && others.error.reason, FailureReason.NotFound);
    const unnamed = await show("p", "");
    assert.equal(unnamed.isErr && unnamed.error.reason, FailureReason.BadRequest);
});
