import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";
import { computeExpiry } from "./computeExpiry.js";

/** Milliseconds of reading a second, as an engine that only reads would need them. */
export type ServiceDemand = readonly [service: string, millisecondsPerSecond: number];

/** How much reading of prompts is asked of a service's engines, by all processes together. */
export interface PrefillDemand {
    record(service: string, milliseconds: number): void;
    listOwn(): readonly ServiceDemand[];
    /** That of this process and of those that have told theirs, other groups not counted. */
    listGroup(): readonly ServiceDemand[];
    /** @param pause milliseconds until the peer tells it anew */
    recordPeer(peerId: string, demand: readonly ServiceDemand[], pause: number): void;
    /** The same of another group of processes, told by its coordinator. */
    recordGroup(coordinatorId: string, demand: readonly ServiceDemand[], pause: number): void;
    /** Engines that would read without a pause. */
    engines(service: string): number;
}

/** Prompts of the last seconds count: long enough to even out single long ones. */
const memoryMilliseconds = 2_500;
/** What a peer told counts for so long at least. */
const peerMemoryMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;

interface ToldDemand {
    /** Monotonic time. */
    readonly forgottenAt: number;
    readonly demand: ReadonlyMap<string, number>;
}

/** Creates the view of one process. */
export function createPrefillDemand(clock: Clock): PrefillDemand {
    const own = new Map<string, DecayingRate>();
    const peers = new Map<string, ToldDemand>();
    const groups = new Map<string, ToldDemand>();
    const ownRate = (service: string) => own.get(service)?.perSecond(clock.monotonicNow()) ?? 0;

    const noteIn = (
        told: Map<string, ToldDemand>,
        teller: string,
        demand: readonly ServiceDemand[],
        pause: number,
    ) => {
        const forgottenAt = computeExpiry(clock.monotonicNow(), pause, peerMemoryMilliseconds);
        told.set(teller, { forgottenAt, demand: new Map(demand) });
    };

    const sumTold = (told: ReadonlyMap<string, ToldDemand>, service: string) => {
        const now = clock.monotonicNow();
        let sum = 0;
        for (const { forgottenAt, demand } of told.values()) {
            sum += forgottenAt >= now ? demand.get(service) ?? 0 : 0;
        }
        return sum;
    };

    const groupRate = (service: string) => ownRate(service) + sumTold(peers, service);
    const listServices = () =>
        new Set([...own.keys(), ...[...peers.values()].flatMap(({ demand }) => [...demand.keys()])]);

    return {
        record: (service, milliseconds) => {
            let rate = own.get(service);
            if (!rate) {
                rate = createDecayingRate(memoryMilliseconds, clock.monotonicNow());
                own.set(service, rate);
            }
            rate.add(milliseconds, clock.monotonicNow());
        },
        listOwn: () => [...own.keys()].map(service => [service, ownRate(service)] as const),
        listGroup: () => [...listServices()].map(service => [service, groupRate(service)] as const),
        recordPeer: (peerId, demand, pause) => noteIn(peers, peerId, demand, pause),
        recordGroup: (coordinatorId, demand, pause) => noteIn(groups, coordinatorId, demand, pause),
        engines: service => (groupRate(service) + sumTold(groups, service)) / millisecondsPerSecond,
    };
}
