import type { Clock } from "daisyturn-utils";
import { type Membership, PeerMethod, type PeerNetwork, type ProcessIdentity } from "../../peers/index.js";
import { parseQuiesceAnswer, type QuiesceDemand, type TargetGate } from "../../targets/index.js";

/** Keeps new work of all entry VMs away from an engine while it is changed. */
export interface EngineQuiescer {
    /** Closes the engine here and at all live peers, or renews the closing; does not wait for answers. */
    keepClosed(engineId: string, changeId: string): void;
    /** Whether every live peer has said that it has nothing under way there; one that stays silent counts for a while. */
    isIdle(engineId: string, changeId: string): boolean;
    /** Opens the engine again here and at all peers. */
    release(engineId: string, changeId: string): void;
    /** Forgets all closings without opening anything: they lapse, or the next controller renews them. */
    clear(): void;
}

/** What a quiescer needs. */
export interface EngineQuiescerOptions {
    readonly peerNetwork: PeerNetwork;
    readonly membership: Membership;
    readonly targetGate: TargetGate;
    readonly clock: Clock;
}

/** One closing, as this process knows it. */
interface Closing {
    since: number;
    renewedAt: number;
    /** Peers that have answered, with their last count. */
    readonly counts: Map<string, number>;
}

/** How long a closing lasts if it is not renewed: an engine is in use again soon after the controller died. */
const closingMilliseconds = 10_000;
const renewalMilliseconds = 1_000;
/**
 * How long a live peer that does not answer holds up an order. The engine itself has been told to take no new work and
 * its own count says that nothing runs, so a silent peer can at most be refused by it.
 */
const silenceLimitMilliseconds = 5_000;

/** Creates the part that closes and opens engines over all entry VMs of the cell. */
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
            // It has lapsed meanwhile, and what was answered before says nothing any more.
            closing.since = now;
            closing.counts.clear();
        }
        closing.renewedAt = now;
        targetGate.close(engineId, changeId, now + closingMilliseconds);
        const demand = { engineId, orderId: changeId, forMilliseconds: closingMilliseconds };
        membership.livePeers().forEach(peer => void requestQuiesce(peer, demand, closing));
    };

    const requestQuiesce = async (peer: ProcessIdentity, demand: QuiesceDemand, closing: Closing) => {
        const limit = clock.monotonicNow() + renewalMilliseconds;
        const answer = await peerNetwork.request(peer.processId, PeerMethod.QuiesceEngine, { ...demand }, limit);
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
