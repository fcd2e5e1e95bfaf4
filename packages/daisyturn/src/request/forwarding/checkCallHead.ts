import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { CallDescription, ForwardedCall } from "../../ports/forwardedCall.js";
import { CallOutcome } from "../../process/forwarding/index.js";
import type { RouteTable } from "../../version/forwarding/createRouteTable.js";
import type { ForwardRoute } from "../../version/forwarding/forwardingConfiguration.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { digestKey, identifyCaller } from "./identifyCaller.js";

/** What is known of a call before its body is read. */
export type CallHead = CallDescription & Pick<ForwardedCall, "host" | "url">;

/** The parts of the process that {@link checkCallHead} uses. */
export type HeadCheckParts = Pick<
    ForwardingParts,
    "configurationManager" | "areKeysCurrent" | "metrics" | "clock" | "eventLog"
>;

/** Finds the route of a call by its host and path. */
export function findRoute(
    table: RouteTable,
    { host, url }: Pick<ForwardedCall, "host" | "url">,
): ForwardRoute | undefined {
    return table.find(host, url.split("?", 1)[0] ?? url);
}

/** Creates the failure of a call that no route takes. */
export function createNoRouteFailure(): Failure {
    return notRun(FailureReason.NotFound, "No route takes this host and path.");
}

/** Refuses a call without a valid key before its body is read. Other faults are found once it is served. */
export function checkCallHead(parts: HeadCheckParts, head: CallHead): Failure | undefined {
    const { configurationManager, metrics, eventLog } = parts;
    const table = configurationManager.current();
    const route = table?.accounts && findRoute(table, head);
    const identified = table && route && identifyCaller(parts, table, route, head);
    if (!identified?.isErr) {
        return undefined;
    }
    metrics.recordCall(route?.kind ?? "unrouted", CallOutcome.Refused, 0, 0);
    eventLog.record(EventKind.RequestRefused, {
        request: head.callId,
        outcome: CallOutcome.Refused,
        reason: identified.error.reason,
        route: route?.name,
        keyDigest: head.key === undefined ? undefined : digestKey(head.key),
        generation: table?.configuration.version,
    });
    return identified.error;
}
