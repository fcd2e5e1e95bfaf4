import { type Failure, FailureReason, mayHaveRun, MemoryEventLog, notRun, SystemClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { PlainService, type ServiceAnswer, type ServiceCall } from "../../../ports/plainService.js";
import { createCrashEvidence, createCrashGuard } from "../../../process/crashes/index.js";
import { type ClaimRequest, ClaimState, unconditionalPermit } from "../../../request/claims/claimManager.js";
import { ProbeResult } from "../../target/probeAddress.js";
import { openRaw, readToEnd, waitUntil } from "../__fixtures__/callerRequests.js";
import { type BenchOptions, callerKey, createCallerBench } from "../__fixtures__/createCallerBench.js";

type Outcome = Result<ServiceAnswer, Failure>;

const confirmed: Outcome = ok({ status: 201, contentType: "application/json", body: "{\"quote\":1}" });
const reset: Outcome = err(mayHaveRun(FailureReason.TargetFailed, "Reset."));
const refused: Outcome = err(notRun(FailureReason.TargetRefused, "Full."));

describe("plain calls", () => {
    let bench: Awaited<ReturnType<typeof createCallerBench>>;
    let calls: { target: string; call: ServiceCall; signal: AbortSignal; }[];

    /** Opens a bench whose targets return the given outcomes in order. */
    const open = async (outcomes: readonly (Outcome | Promise<Outcome>)[], options?: BenchOptions) => {
        bench = await createCallerBench(options);
        calls = [];
        const remaining = [...outcomes];
        for (const target of ["desk-1", "desk-2"]) {
            class StubService extends PlainService {
                override readonly targetId = target;
                override invoke(call: ServiceCall, signal: AbortSignal) {
                    calls.push({ target, call, signal });
                    return Promise.resolve(remaining.shift() ?? confirmed);
                }
            }
            bench.plainServices.set(target, new StubService());
        }
    };

    const call = (path: string, init: RequestInit = {}) =>
        fetch(`${bench.url}/services${path}`, {
            ...init,
            headers: { Authorization: `Bearer ${callerKey}`, ...init.headers },
        });

    const confirm = (init: RequestInit = {}) => call("/quotes/confirm", { method: "POST", body: "7", ...init });

    afterEach(() => bench.server.stop());

    test("an answer is passed on unchanged", async () => {
        await open([]);
        const answer = await confirm({ headers: { "Content-Type": "text/plain" } });
        assert.deepEqual([answer.status, await answer.text()], [201, "{\"quote\":1}"]);
        const { method, path, body, contentType } = calls[0]!.call;
        assert.deepEqual([method, path, body, contentType], ["POST", "/confirm", "7", "text/plain"]);
    });

    test("a call that is not idempotent is sent again only if it did not run", async () => {
        await open([refused, confirmed, reset, confirmed]);
        assert.equal((await confirm()).status, 201);
        assert.deepEqual(calls.map(sent => sent.target), ["desk-1", "desk-2"]);
        const lost = await confirm();
        assert.equal(lost.status, 502);
        assert.equal(calls.length, 3);
        assert.ok(!lost.headers.has("retry-after"));
        const { error } = await lost.json() as { error: { verdict: string; }; };
        assert.equal(error.verdict, "may_have_run");
    });

    // Guards against a call that ends target after target, by its own repetitions and by those of its caller.
    test("a call under which three targets have ended is refused and not sent again", async () => {
        const clock = new SystemClock();
        const eventLog = new MemoryEventLog();
        const evidence = createCrashEvidence(clock, eventLog);
        const crashGuard = createCrashGuard({
            evidence,
            probe: () => Promise.resolve(ProbeResult.Refused),
            isExpected: () => true,
            nameIncarnation: name => `${name}@${calls.length}`,
            clock,
            eventLog,
        });
        await open([reset, reset, reset, reset], { crashGuard });
        const last = await call("/quotes/models/2014");
        assert.equal(last.status, 502);
        assert.equal(calls.length, 3);
        const refused = await call("/quotes/models/2014");
        assert.deepEqual([refused.status, refused.headers.get("x-should-retry")], [503, "false"]);
        assert.match(await refused.text(), /"code":"crashes_targets".*"verdict":"not_run"/);
        assert.equal(calls.length, 3);
        assert.equal((await call("/quotes/models/2015")).status, 201, "another call is still sent, and repeated");
    });

    test("an idempotent call is retried after any failure of a target, preferring another target", async () => {
        await open([reset, confirmed]);
        assert.equal((await call("/quotes/models/2014?trim=b")).status, 201);
        assert.deepEqual(calls.map(sent => [sent.target, sent.call.path]), [
            ["desk-1", "/models/2014?trim=b"],
            ["desk-2", "/models/2014?trim=b"],
        ]);
        assert.notEqual(calls[0]?.call.callId, calls[1]?.call.callId);
    });

    test("calls are not retried once the retry budget is used up", async () => {
        await open([reset, reset, reset], { retries: { fraction: 0, maxSaved: 1 } });
        assert.equal((await call("/quotes/models/2014")).status, 502);
        assert.equal(calls.length, 2);
    });

    test("a route matches whole path segments only, and ambiguous paths are refused", async () => {
        await open([reset, reset, reset]);
        assert.equal((await call("/quotes/models-confirm")).status, 502);
        assert.equal(calls.length, 1);
        const ambiguous = [
            "/models/%2e%2e/confirm",
            "/models/../confirm",
            "/models/..%2fconfirm",
            "/models//x",
            "/models;a",
        ];
        for (const path of ambiguous) {
            // fetch would normalize the path.
            const head = `GET /services/quotes${path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${callerKey}`;
            const answer = await readToEnd(openRaw(bench.port, `${head}\r\nConnection: close\r\n\r\n`));
            assert.match(answer, /^HTTP\/1.1 400 /, path);
        }
        assert.equal(calls.length, 1);
    });

    test("a call whose claim has expired is not sent, and is reported as not run", async () => {
        await open([], {
            claims: {
                runOnce: (request, send) => send(request.call, { isValid: () => false }),
                lookUp: () => Promise.resolve(ok({ state: ClaimState.Claimed })),
            },
        });
        const answer = await confirm({ headers: { "Idempotency-Key": "offer-8" } });
        assert.match(await answer.text(), /"verdict":"not_run"/);
        assert.equal(calls.length, 0);
    });

    test("a call with an idempotency key runs through the claim manager, which also answers queries", async () => {
        const claims: ClaimRequest[] = [];
        await open([], {
            claims: {
                runOnce: (request, send) => {
                    claims.push(request);
                    return send(request.call, unconditionalPermit);
                },
                lookUp: (...names) => Promise.resolve(ok({ state: ClaimState.Claimed, names })),
            },
        });
        const headers = { "Idempotency-Key": "offer-7" };
        assert.equal((await confirm({ headers })).status, 201);
        assert.equal((await call("/quotes/models/2014", { headers })).status, 201);
        assert.deepEqual(claims.map(claim => [claim.partner, claim.account, claim.service, claim.idempotencyKey]), [
            ["nyamata", "assessor", "quotes", "offer-7"],
        ]);
        const claimResponse = await fetch(`${bench.url}/v1/claims/quotes`, {
            headers: { Authorization: `Bearer ${callerKey}`, ...headers },
        });
        assert.match(await claimResponse.text(), /"claimed","names":\["nyamata","assessor","quotes","offer-7"\]/);
        assert.equal((await confirm({ headers: { "Idempotency-Key": "two words" } })).status, 400);
    });

    test("a caller that disconnects cancels only its idempotent calls", async () => {
        await open([new Promise(() => undefined), new Promise(() => undefined)]);
        const head = `HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${callerKey}\r\n\r\n`;
        const socket = openRaw(
            bench.port,
            `DELETE /services/quotes/offers/7 ${head}GET /services/quotes/models/1 ${head}`,
        );
        await waitUntil(() => calls.length === 2);
        socket.destroy();
        await waitUntil(() => calls[1]!.signal.aborted);
        assert.deepEqual(calls.map(sent => sent.signal.aborted), [false, true]);
    });

    test("a closed target receives no call, and without another target the call is reported as not run", async () => {
        await open([]);
        bench.closedTargets.add("desk-1");
        assert.equal((await confirm()).status, 201);
        assert.deepEqual(calls.map(sent => sent.target), ["desk-2"]);
        bench.closedTargets.add("desk-2");
        const refusal = await confirm();
        assert.deepEqual([refusal.status, refusal.headers.get("retry-after")], [503, "1"]);
        assert.match(await refusal.text(), /"no_target","verdict":"not_run"/);
    });

    test("a status that can't be passed on is reported as a failure of the target", async () => {
        await open([ok({ status: 101, contentType: "", body: "" })]);
        assert.equal((await confirm()).status, 502);
    });

    test("an answer without a body keeps its status", async () => {
        await open([ok({ status: 204, contentType: "", body: "" })]);
        assert.equal((await confirm()).status, 204);
    });
});
