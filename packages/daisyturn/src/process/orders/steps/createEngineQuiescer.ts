import type { Clock } from "daisyturn-utils";
import { type Membership, PeerMethod, type PeerNetwork, type ProcessIdentity } from "../../peers/index.js";
import { parseQuiesceAnswer, type QuiesceRequest, type TargetGate } from "../../targets/index.js";

/** Prevents all entry VMs from sending new work to an engine while it is being changed. */
export interface EngineQuiescer {
    /** Closes the engine in this process and at all live peers, or renews the closing; does not wait for answers. */
    keepClosed(engineId: string, changeId: string): void;
    /**
     * Whether this process and every live peer have no call in flight at the engine. A peer that does not answer counts
     * as busy until the silence limit has passed.
     */
    isIdle(engineId: string, changeId: string): boolean;
    /** Reopens the engine in this process and at all peers. */
    release(engineId: string, changeId: string): void;
    /** Discards all closings without reopening the engines: they expire, or the next controller renews them. */
    clear(): void;
}

export interface EngineQuiescerOptions {
    readonly peerNetwork: PeerNetwork;
    readonly membership: Membership;
    readonly targetGate: TargetGate;
    readonly clock: Clock;
}

/** A closing that this process has requested. */
interface Closing {
    since: number;
    renewedAt: number;
    /** Last reported number of calls in flight, by incarnation of the peer. */
    readonly counts: Map<string, number>;
}

/** Duration of a closing that is not renewed. Limits how long an engine stays unused after the controller ended. */
const closingMilliseconds = 10_000;
const renewalMilliseconds = 1_000;
/**
 * How long a live peer that does not answer delays an order. The engine has already been ordered to accept no new work
 * and reports that nothing is running, so calls of a silent peer can at most be refused by the engine.
 */
const silenceLimitMilliseconds = 5_000;

/** Creates the part that closes and reopens engines at all entry VMs of the cell. */
export function createEngineQuiescer(options: EngineQuiescerOptions): EngineQuiescer {
    const { peerNetwork, membership, targetGate, clock } = options;
    const closings = new Map<string, Closing>();

    const keepClosed = (engineId: string, changeId: string) => {
        const now = clock.monotonicNow();
        const closing = closings.get(changeId)
            ?? { since: now, renewedAt: -Infinity, counts: new Map<string, number>() };
        closings.set(changeId, closing);
        if (now - closing.renewedAt < renewalMilliseconds) {
            return;
        }
        if (now - closing.renewedAt >= closingMilliseconds) {
            // The closing has expired at the peers, so earlier answers are no longer valid.
            closing.since = now;
            closing.counts.clear();
        }
        closing.renewedAt = now;
        targetGate.close(engineId, changeId, now + closingMilliseconds);
        const request = { engineId, orderId: changeId, forMilliseconds: closingMilliseconds };
        membership.livePeers().forEach(peer => void requestQuiesce(peer, request, closing));
    };

    const requestQuiesce = async (peer: ProcessIdentity, request: QuiesceRequest, closing: Closing) => {
        const limit = clock.monotonicNow() + renewalMilliseconds;
        const answer = await peerNetwork.request(peer.processId, PeerMethod.QuiesceEngine, { ...request }, limit);
        const parsed = answer.isOk ? parseQuiesceAnswer(answer.value) : undefined;
        if (parsed) {
            closing.counts.set(peer.incarnation, parsed.inFlight);
        }
    };

    const isIdle = (engineId: string, changeId: string) => {
        const closing = closings.get(changeId);
        if (!closing || targetGate.inFlight(engineId) > 0) {
            return false;
        }
        const counts = membership.livePeers().map(peer => closing.counts.get(peer.incarnation));
        const isSilenceLimitOver = clock.monotonicNow() - closing.since >= silenceLimitMilliseconds;
        return counts.every(count => count === 0 || count === undefined && isSilenceLimitOver);
    };

    const release = (engineId: string, changeId: string) => {
        closings.delete(changeId);
        targetGate.release(engineId, changeId);
        const notice = { engineId, orderId: changeId };
        membership.livePeers().forEach(peer => peerNetwork.notify(peer.processId, PeerMethod.ReleaseEngine, notice));
    };

    return { keepClosed, isIdle, release, clear: () => closings.clear() };
}
