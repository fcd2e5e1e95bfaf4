import type { Clock } from "daisyturn-utils";
import type { Socket } from "node:net";
import { err, ok, type Result } from "true-myth/result";
import type { LinkFailure, TargetLinks } from "../../process/forwarding/index.js";
import { createReachCheck } from "../target/createReachCheck.js";
import { openSocket } from "../target/openSocket.js";
import { TunnelAnswer } from "./tunnelAnswer.js";

/**
 * Connects to a target (host:port) for a peer: directly, never by way of another peer.
 * @returns the connection, or the answer to the peer
 */
export type PeerConnector = (address: string, signal: AbortSignal) => Promise<Result<Socket, TunnelAnswer>>;

/** Shorter than a peer waits for its tunnel, so that it learns what this process found. */
const connectTimeoutMilliseconds = 200;

/** Creates the connector of one process. */
export function createPeerConnector(links: TargetLinks, clock: Clock): PeerConnector {
    const reachesOthers = createReachCheck(links, clock);

    const describeFailure = async (address: string, { isRefused }: LinkFailure): Promise<TunnelAnswer> => {
        if (!await reachesOthers(address)) {
            return TunnelAnswer.Unavailable;
        }
        return isRefused ? TunnelAnswer.TargetRefused : TunnelAnswer.TargetUnanswered;
    };

    return async (address, signal) => {
        const known = links.recentFailure(address);
        if (known) {
            return err(await describeFailure(address, known));
        }
        const deadline = clock.monotonicNow() + connectTimeoutMilliseconds;
        const opened = await openSocket(address, { deadline, clock, signal });
        if (opened.isOk) {
            links.recordOpened(address);
            return ok(opened.value);
        }
        if (!signal.aborted) {
            links.recordFailure(address, opened.error);
        }
        return err(await describeFailure(address, opened.error));
    };
}
