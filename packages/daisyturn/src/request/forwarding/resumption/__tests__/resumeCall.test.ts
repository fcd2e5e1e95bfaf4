import { FailureReason, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ForwardedCall } from "../../../../ports/forwardedCall.js";
import { type FoundOrigin, NoForwardingMetrics } from "../../../../process/forwarding/index.js";
import { CallKind, type ForwardRoute } from "../../../../version/forwarding/forwardingConfiguration.js";
import { createRequestTrace } from "../../requestTrace.js";
import { identifyStream } from "../recordOrigin.js";
import { findDestination } from "../resumeCall.js";

function createCall(changes: Partial<ForwardedCall> = {}): ForwardedCall {
    return {
        callId: "c2",
        method: "POST",
        host: "shop.example",
        url: "/ask/",
        body: Buffer.alloc(0),
        forwardedFields: ["Authorization", "Bearer one"],
        resumedCallId: "c1",
        lastEventId: "3",
        arrivedAt: 0,
        deadline: 3_000,
        ...changes,
    };
}

function createRoute(changes: Partial<ForwardRoute> = {}): ForwardRoute {
    return {
        name: "ask",
        host: "shop.example",
        pathPrefix: "/ask/",
        kind: CallKind.Stream,
        timeoutMilliseconds: 3_000,
        latencyAimMilliseconds: 500,
        priority: 0,
        shares: [{ service: "engines", weight: 1 }],
        maxAttempts: 2,
        isResumable: true,
        ...changes,
    };
}

interface Scene {
    readonly origin?: FoundOrigin;
    readonly route?: Partial<ForwardRoute>;
    readonly call?: Partial<ForwardedCall>;
}

/** Chooses the destination of a call. Returns it with the failure's reason, the retry delay and the lookups. */
async function choose({ origin, route, call }: Scene) {
    const clock = new FakeClock();
    const lookups: string[] = [];
    const findOrigin = (streamId: string) => {
        lookups.push(streamId);
        return Promise.resolve(origin);
    };
    const eventLog = new MemoryEventLog();
    const now = () => clock.monotonicNow();
    const trace = createRequestTrace({ eventLog, sampledCalls: 1, callId: "c2", arrivedAt: 0, now });
    const parts = { findOrigin, metrics: new NoForwardingMetrics(), clock };
    const result = await findDestination(parts, createRoute(route), createCall(call), trace);
    const failure = result.isErr ? result.error : undefined;
    return {
        destination: result.unwrapOr(undefined),
        reason: failure?.reason,
        delay: failure?.retryAt === undefined ? undefined : failure.retryAt - clock.wallNow(),
        lookups,
    };
}

const split = { shares: [{ service: "engines", weight: 1 }, { service: "others", weight: 1 }] };

describe("a call that resumes a stream", () => {
    it("goes to the service and the software version that began it, whatever its own share of a split route", async () => {
        for (const service of ["engines", "others"]) {
            const origin = { service, softwareVersion: "v2", knownBy: "entry-1" };
            assert.deepEqual((await choose({ origin, route: split })).destination, { service, softwareVersion: "v2" });
        }
    });

    it("is refused with a short retry time if nobody knows its origin", async () => {
        const { reason, delay } = await choose({});
        assert.equal(reason, FailureReason.UnknownOrigin);
        assert.ok(delay !== undefined && delay <= 300);
    });

    // A public route has callers without an account, which must not read the streams of accounts either.
    it("is refused if another account began it", async () => {
        const origin = { service: "engines", softwareVersion: "v1", account: "acme" };
        for (const [call, route] of [[{ account: "zoe" }, {}], [{}, { isPublic: true }]] as const) {
            assert.equal((await choose({ origin, call, route })).reason, FailureReason.Unauthenticated);
        }
        assert.ok((await choose({ origin, call: { account: "acme" } })).destination);
        assert.equal((await choose({ origin })).lookups.length, 1, "no second lookup without accounts");
    });

    it("is refused if the route has moved away from its service", async () => {
        const origin = { service: "old", softwareVersion: "v1", knownBy: "entry-1" };
        assert.equal((await choose({ origin })).reason, FailureReason.NoTarget);
    });

    it("is continued at the sole version of a service only if the route leads to no other service", async () => {
        const origin = { service: "engines", softwareVersion: "v1" };
        assert.deepEqual((await choose({ origin })).destination, { service: "engines", softwareVersion: "v1" });
        assert.equal((await choose({ origin, route: split })).reason, FailureReason.UnknownOrigin);
    });
});

describe("a call that begins a stream", () => {
    it("is not looked up, and neither is one of a route that can't be resumed", async () => {
        const begun = { resumedCallId: undefined, lastEventId: undefined };
        assert.deepEqual((await choose({ call: begun })).lookups, []);
        assert.deepEqual((await choose({ route: { isResumable: false } })).lookups, []);
    });
});

describe("the identifier of a stream", () => {
    it("is that of the call that brought the first event, for all calls of its caller and for no other caller", () => {
        const first = identifyStream(createCall({ callId: "c1", resumedCallId: undefined }));
        assert.equal(identifyStream(createCall()), first);
        assert.equal(identifyStream(createCall({ callId: "c3", host: "SHOP.example" })), first);
        assert.notEqual(identifyStream(createCall({ forwardedFields: ["Authorization", "Bearer two"] })), first);
        assert.equal(identifyStream(createCall({ resumedCallId: "x".repeat(5_000) })).length, first.length);
    });
});
