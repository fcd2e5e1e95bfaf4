import type { Clock } from "daisyturn-utils";
import type { TargetLinks } from "../../process/forwarding/index.js";
import { openSocket } from "./openSocket.js";

/**
 * Finds out whether this process reaches other targets than the one at an address (host:port), so that a failure to
 * reach that one is not the fault of its own links.
 */
export type ReachCheck = (address: string) => Promise<boolean>;

const connectTimeoutMilliseconds = 200;
/** More than one, because a single target may have failed too. */
const maxProbedTargets = 2;

/** Creates the check of one process. It connects to other targets only if none has been reached since the failure. */
export function createReachCheck(
    links: Pick<TargetLinks, "hasOpenedSinceFailure" | "listOthers" | "recordOpened" | "recordFailure">,
    clock: Clock,
    open: typeof openSocket = openSocket,
): ReachCheck {
    const connect = async (address: string): Promise<boolean> => {
        const opened = await open(address, { deadline: clock.monotonicNow() + connectTimeoutMilliseconds, clock });
        if (opened.isErr) {
            links.recordFailure(address, opened.error);
            return false;
        }
        links.recordOpened(address);
        opened.value.destroy();
        return true;
    };

    return async address => {
        if (links.hasOpenedSinceFailure(address)) {
            return true;
        }
        const others = links.listOthers(address).slice(0, maxProbedTargets);
        // Without another target, nothing suggests that the links are at fault.
        return others.length === 0 || (await Promise.all(others.map(connect))).includes(true);
    };
}
