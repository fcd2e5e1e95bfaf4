import { EngineRole, OrderKind, OrderRequestState } from "daisyturn";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { PartnerName } from "../../fleet/partnerConfiguration.js";
import { CallOutcome } from "../../load/callerClient.js";
import { runMixedLoad } from "../../load/runMixedLoad.js";
import { createRunningFleet, type RunningFleet } from "../__fixtures__/createRunningFleet.js";

const requestCount = 240;
const requestsPerSecond = 60;
const callLimitMilliseconds = 60_000;
const pollIntervalMilliseconds = 100;

interface EngineList {
    readonly orders: readonly { readonly engineId: string; readonly request?: { readonly state: string; }; }[];
}

/** Records the order through one entry process, and waits until the operator API reports it as done. */
async function changeRole(running: RunningFleet, engineId: string, role: EngineRole): Promise<void> {
    const recorded = await callOperator(running, "POST", `/v1/engines/${engineId}/orders`, {
        requestId: `${engineId}-${role}`,
        kind: OrderKind.ChangeRole,
        role,
    });
    assert.equal(recorded.statusCode, 200, recorded.text);
    const deadline = performance.now() + callLimitMilliseconds;
    let state: string | undefined;
    while (state !== OrderRequestState.Done && performance.now() < deadline) {
        await delay(pollIntervalMilliseconds);
        const { orders } = JSON.parse((await callOperator(running, "GET", "/v1/engines")).text) as EngineList;
        state = orders.find(one => one.engineId === engineId)?.request?.state;
    }
    assert.equal(state, OrderRequestState.Done);
}

async function callOperator(running: RunningFleet, method: "GET" | "POST", path: string, body?: object) {
    const answer = await request(`${running.fleet.entries[0]?.operatorUrl}${path}`, {
        method,
        headers: {
            authorization: `Bearer ${running.fleet.operatorKey(PartnerName.Nyamata)}`,
            "content-type": "application/json",
        },
        body: body && JSON.stringify(body),
    });
    return { statusCode: answer.statusCode, text: await answer.body.text() };
}

describe("role change under load", () => {
    it("interrupts no stream: every request gets a complete answer on the first attempt", async () => {
        const running = await createRunningFleet();
        try {
            const records = await runMixedLoad({
                seed: 12,
                requestCount,
                requestsPerSecond,
                entryUrls: running.balancer.readyUrls,
                maximumTries: 1,
                afterSending: number => {
                    switch (number) {
                        case 30:
                            return changeRole(running, "engine-1", EngineRole.Prefill);
                        case 60:
                            return changeRole(running, "engine-2", EngineRole.Decode);
                        default:
                            return undefined;
                    }
                },
            });
            const failed = records.filter(({ record }) => record.outcome !== CallOutcome.Answered);
            assert.deepEqual(failed.map(({ kind, record }) => `${kind}: ${record.reason ?? "cut"}`), []);
            assert.equal(records.filter(record => record.answerMatches === false).length, 0);
        }
        finally {
            await running.close();
        }
    });
});
