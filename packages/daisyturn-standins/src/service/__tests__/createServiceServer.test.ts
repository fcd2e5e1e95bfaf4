import { createHttpPlainService, createTargetDispatcher } from "daisyturn";
import { ExecutionVerdict, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { request } from "undici";
import { createServiceServer, ServiceFaultKind } from "../createServiceServer.js";
import type { ExecutionCounts } from "../executions.js";

async function startServiceRig(test: TestContext) {
    const server = await createServiceServer({ id: "desk-1" });
    const dispatcher = createTargetDispatcher();
    test.after(async () => {
        await dispatcher.destroy();
        await server.close();
    });
    const service = createHttpPlainService({
        targetId: "desk-1",
        url: server.url,
        clock: new SystemClock(),
        dispatcher,
    });
    const invoke = (callId: string) => {
        const call = { callId, method: "POST", path: "/confirm", body: "q-17", deadline: Date.now() + 10_000 };
        return service.invoke(call, test.signal);
    };
    return { server, invoke };
}

describe("createServiceServer", () => {
    it("runs a call once and lists it under /executions", async test => {
        const { server, invoke } = await startServiceRig(test);
        const answer = await invoke("call-1");
        assert.equal(answer.isOk && answer.value.body, JSON.stringify({ confirmation: "desk-1-1", quote: "q-17" }));
        const shown = await (await request(`${server.url}/executions`)).body.json() as { counts: ExecutionCounts; };
        assert.deepEqual(shown.counts.byCallId, { "call-1": 1 });
        assert.deepEqual(shown.counts.byContent, { "POST /confirm q-17": 1 });
    });

    const faults = [
        { kind: ServiceFaultKind.ResetBefore, verdict: ExecutionVerdict.MayHaveRun, executions: 0 },
        { kind: ServiceFaultKind.ResetDuring, verdict: ExecutionVerdict.MayHaveRun, executions: 1 },
        { kind: ServiceFaultKind.ResetAfter, verdict: ExecutionVerdict.MayHaveRun, executions: 1 },
        { kind: ServiceFaultKind.Refuse, verdict: ExecutionVerdict.NotRun, executions: 0 },
    ];
    for (const { kind, verdict, executions } of faults) {
        it(`reports the verdict ${verdict} after the fault ${kind}`, async test => {
            const { server, invoke } = await startServiceRig(test);
            server.setFaults({ kind, count: 1 });
            const answer = await invoke("call-1");
            assert.equal(answer.isErr && answer.error.verdict, verdict);
            assert.equal(server.executions().length, executions);
        });
    }
});
