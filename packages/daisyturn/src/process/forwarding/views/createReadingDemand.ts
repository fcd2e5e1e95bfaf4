import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";
import { findForgetTime } from "./findForgetTime.js";

/** Milliseconds of reading a second, as an engine that only reads would need them. */
export type ServiceDemand = readonly [service: string, millisecondsPerSecond: number];

/** How much reading of prompts is asked of a service's engines, by all processes together. */
export interface ReadingDemand {
    note(service: string, milliseconds: number): void;
    listOwn(): readonly ServiceDemand[];
    /** @param pause milliseconds until the peer tells it anew */
    notePeer(peerId: string, demand: readonly ServiceDemand[], pause: number): void;
    /** Engines that would read without a pause. */
    engines(service: string): number;
}

/** Prompts of the last seconds count: long enough to even out single long ones. */
const memoryMilliseconds = 2_500;
/** What a peer told counts for so long at least. */
const peerMemoryMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;

/** Creates the view of one process. */
export function createReadingDemand(clock: Clock): ReadingDemand {
    const own = new Map<string, DecayingRate>();
    const peers = new Map<string, {
        /** Monotonic time. */
        readonly forgottenAt: number;
        readonly demand: ReadonlyMap<string, number>;
    }>();
    const ownRate = (service: string) => own.get(service)?.perSecond(clock.monotonicNow()) ?? 0;

    return {
        note: (service, milliseconds) => {
            let rate = own.get(service);
            if (!rate) {
                rate = createDecayingRate(memoryMilliseconds, clock.monotonicNow());
                own.set(service, rate);
            }
            rate.add(milliseconds, clock.monotonicNow());
        },
        listOwn: () => [...own.keys()].map(service => [service, ownRate(service)] as const),
        notePeer: (peerId, demand, pause) => {
            const forgottenAt = findForgetTime(clock.monotonicNow(), pause, peerMemoryMilliseconds);
            peers.set(peerId, { forgottenAt, demand: new Map(demand) });
        },
        engines: service => {
            const now = clock.monotonicNow();
            let sum = ownRate(service);
            for (const peer of peers.values()) {
                sum += peer.forgottenAt >= now ? peer.demand.get(service) ?? 0 : 0;
            }
            return sum / millisecondsPerSecond;
        },
    };
}
