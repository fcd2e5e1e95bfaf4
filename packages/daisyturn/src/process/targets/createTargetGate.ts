import type { Clock, JsonObject } from "daisyturn-utils";
import type { Target } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import { PeerMethod, type PeerNetwork } from "../peers/index.js";
import { parseQuiesceRequest, parseReleaseNotice } from "./quiesceMessages.js";
import type { TargetGate } from "./targetGate.js";

/** What a target gate is made of. */
export interface TargetGateOptions {
    readonly configurationManager: Pick<ConfigurationManager, "current">;
    readonly peerNetwork: PeerNetwork;
    readonly clock: Clock;
    /** Whether the VM of a target is on its way out, as far as the platform's list tells. */
    readonly isVmLeaving: (target: Target) => boolean;
    /** Whether this process may give out work at all. */
    readonly isInService: () => boolean;
}

/** Longest time for which one request closes an engine; a controller that lives repeats its request. */
const maxClosureMilliseconds = 60_000;

/** Creates the gate and answers the controller's demands on it. */
export function createTargetGate(options: TargetGateOptions): TargetGate {
    const { configurationManager, peerNetwork, clock } = options;
    /** Deadlines by change, by target. */
    const closures = new Map<string, Map<string, number>>();
    const counts = new Map<string, number>();

    const close = (targetName: string, orderId: string, deadline: number) => {
        const ofTarget = closures.get(targetName) ?? new Map<string, number>();
        ofTarget.set(orderId, deadline);
        closures.set(targetName, ofTarget);
    };

    const release = (targetName: string, orderId: string) => {
        closures.get(targetName)?.delete(orderId);
    };

    const isClosedForOrder = (targetName: string) => {
        const ofTarget = closures.get(targetName);
        if (!ofTarget) {
            return false;
        }
        const now = clock.monotonicNow();
        const expired = [...ofTarget].filter(([, deadline]) => deadline <= now);
        expired.forEach(([orderId]) => ofTarget.delete(orderId));
        return ofTarget.size > 0;
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
        // The two processes' clocks are not equal, so the request carries a length, which becomes a deadline here.
        const length = Math.min(request.forMilliseconds, maxClosureMilliseconds);
        close(request.engineId, request.orderId, clock.monotonicNow() + length);
        return { inFlight: inFlight(request.engineId) };
    });

    peerNetwork.handle(PeerMethod.ReleaseEngine, (...[, parameters]): JsonObject => {
        const notice = parseReleaseNotice(parameters);
        release(notice.engineId, notice.orderId);
        return {};
    });

    return { isOpen, close, release, enter, inFlight };
}
