import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";
import type { LoadExchange, Membership } from "../peers/index.js";

/**
 * Estimates the work that peers have sent to engines since their last digest. Between two exchanges every process sees
 * the engines' queues drain. If each process filled the whole free capacity, together they would overload the engines
 * several times over.
 */
export interface UnpublishedPeerWork {
    /** Adds milliseconds of prefill that a peer has published. */
    recordPublished(processId: string, prefillMilliseconds: number): void;
    /** Milliseconds of prefill, over all engines, that live peers have probably sent since their last digests. */
    estimatePrefillMilliseconds(): number;
}

/** What {@link createUnpublishedPeerWork} needs. */
export interface UnpublishedPeerWorkOptions {
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
}

const rateMemoryMilliseconds = 1_000;
/** A peer that has published nothing for longer may have ended, so no more work than for this time is assumed. */
const maxSilenceMilliseconds = 1_000;

/** Creates an estimate without any peers. */
export function createUnpublishedPeerWork(options: UnpublishedPeerWorkOptions): UnpublishedPeerWork {
    const { exchange, membership, clock } = options;
    const rates = new Map<string, DecayingRate>();

    const estimatePeer = (processId: string, now: number) => {
        const rate = rates.get(processId);
        const silence = Math.min(maxSilenceMilliseconds, now - exchange.lastReceivedAt(processId, now));
        return rate ? rate.perSecond(now) / 1_000 * silence : 0;
    };

    return {
        recordPublished: (processId, prefillMilliseconds) => {
            const now = clock.monotonicNow();
            const rate = rates.get(processId) ?? createDecayingRate(rateMemoryMilliseconds, now);
            rates.set(processId, rate);
            rate.add(prefillMilliseconds, now);
        },
        estimatePrefillMilliseconds: () => {
            const now = clock.monotonicNow();
            return membership.livePeers().reduce((sum, peer) => sum + estimatePeer(peer.processId, now), 0);
        },
    };
}
