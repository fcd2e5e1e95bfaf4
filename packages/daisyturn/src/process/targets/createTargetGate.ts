import type { Clock, JsonObject } from "daisyturn-utils";
import type { Target } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import { PeerMethod, type PeerNetwork } from "../peers/index.js";
import { parseQuiesceRequest, parseReleaseNotice } from "./quiesceMessages.js";
import type { TargetGate } from "./targetGate.js";

export interface TargetGateOptions {
    readonly configurationManager: Pick<ConfigurationManager, "current">;
    readonly peerNetwork: PeerNetwork;
    readonly clock: Clock;
    /** Returns whether the VM of a target is leaving, according to the platform's VM list. */
    readonly isVmLeaving: (target: Target) => boolean;
    /** Returns whether this process may dispatch work at all. */
    readonly isInService: () => boolean;
}

/** Maximum time for which one request closes an engine. A live controller repeats its request. */
const maxClosureMilliseconds = 60_000;

/** Creates the gate and registers the handlers of the controller's requests. */
export function createTargetGate(options: TargetGateOptions): TargetGate {
    const { configurationManager, peerNetwork, clock } = options;
    /** Deadlines by target name and order id. */
    const closures = new Map<string, Map<string, number>>();
    const counts = new Map<string, number>();

    const close = (targetName: string, orderId: string, deadline: number) => {
        const deadlines = closures.get(targetName) ?? new Map<string, number>();
        deadlines.set(orderId, deadline);
        closures.set(targetName, deadlines);
    };

    const release = (targetName: string, orderId: string) => {
        closures.get(targetName)?.delete(orderId);
    };

    const isClosedForOrder = (targetName: string) => {
        const deadlines = closures.get(targetName);
        if (!deadlines) {
            return false;
        }
        const now = clock.monotonicNow();
        const expired = [...deadlines].filter(([, deadline]) => deadline <= now);
        expired.forEach(([orderId]) => deadlines.delete(orderId));
        return deadlines.size > 0;
    };

    const isOpen = (targetName: string) => {
        const version = configurationManager.current();
        const target = version.findTarget(targetName);
        return target !== undefined
            && options.isInService()
            && version.holdsOn(targetName).length === 0
            && !isClosedForOrder(targetName)
            && !options.isVmLeaving(target);
    };

    const inFlight = (targetName: string) => counts.get(targetName) ?? 0;

    const enter = (targetName: string) => {
        counts.set(targetName, inFlight(targetName) + 1);
        let hasLeft = false;
        return () => {
            if (!hasLeft) {
                hasLeft = true;
                counts.set(targetName, inFlight(targetName) - 1);
            }
        };
    };

    peerNetwork.handle(PeerMethod.QuiesceEngine, (...[, parameters]): JsonObject => {
        const request = parseQuiesceRequest(parameters);
        // The clocks of the two processes differ, so the request contains a duration instead of a deadline.
        const duration = Math.min(request.forMilliseconds, maxClosureMilliseconds);
        close(request.engineId, request.orderId, clock.monotonicNow() + duration);
        return { inFlight: inFlight(request.engineId) };
    });

    peerNetwork.handle(PeerMethod.ReleaseEngine, (...[, parameters]): JsonObject => {
        const notice = parseReleaseNotice(parameters);
        release(notice.engineId, notice.orderId);
        return {};
    });

    return { isOpen, close, release, enter, inFlight };
}
