import assert from "node:assert/strict";
import { test } from "node:test";
import type { ListedTarget } from "../../../../ports/listedTarget.js";
import type { StreamOrigin } from "../../../../process/origins/createStreamOrigins.js";
import { CallKind } from "../../../../version/forwarding/forwardingConfiguration.js";
import type { CallContext } from "../../callContext.js";
import { recordOrigin } from "../recordOrigin.js";

const target: ListedTarget = {
    targetId: "a@1",
    name: "a",
    service: "s",
    address: "10.0.0.1:80",
    availabilityZone: "z",
    slots: 4,
    isLeaving: false,
    softwareVersion: "v1",
};

/** Records the origin of a stream that a target has begun, and returns its version. */
function recordVersion(isTargetConfirmed: boolean, hasRestarted: boolean): string | undefined {
    const recorded: StreamOrigin[] = [];
    const context = {
        target,
        isTargetConfirmed,
        route: { kind: CallKind.Stream, isResumable: true },
        service: { name: "s" },
        call: { callId: "c", host: "h", forwardedFields: [], deadline: 1 },
    } as unknown as CallContext;
    const origins = { record: (origin: StreamOrigin) => void recorded.push(origin) };
    recordOrigin({ origins, continuity: { hasRestarted: () => hasRestarted } } as never, context);
    assert.equal(context.softwareVersion, recorded[0]?.softwareVersion);
    return recorded[0]?.softwareVersion;
}

// Guards against a stream that the next incarnation of a target began, and that goes on at targets of the listed version.
test("the version of a stream is unknown if another incarnation than the listed one may have begun it", () => {
    assert.equal(recordVersion(true, false), "v1");
    assert.notEqual(recordVersion(false, false), "v1");
    assert.notEqual(recordVersion(true, true), "v1");
});
