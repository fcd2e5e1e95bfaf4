import { type Clock, createDecayingRate, type DecayingRate } from "daisyturn-utils";
import { computeExpiry } from "./computeExpiry.js";

/** Milliseconds of prefill per second, as needed at an engine that only prefills. */
export type ServiceDemand = readonly [service: string, millisecondsPerSecond: number];

/** Measures the prefill demand on the engines of a service, summed over all processes. */
export interface PrefillDemand {
    record(service: string, milliseconds: number): void;
    listOwn(): readonly ServiceDemand[];
    /** The demand of this process and of the peers of its group that have reported theirs. */
    listGroup(): readonly ServiceDemand[];
    /** @param reportInterval milliseconds until the peer's next report */
    recordPeer(peerId: string, demand: readonly ServiceDemand[], reportInterval: number): void;
    /** Records the demand of another group of processes, reported by its coordinator. */
    recordGroup(coordinatorId: string, demand: readonly ServiceDemand[], reportInterval: number): void;
    /** Number of engines that the demand would keep fully busy. */
    engines(service: string): number;
}

/** Time constant of the decaying rate; long enough to average out single long prompts. */
export const prefillDemandDecayMilliseconds = 2_500;
/** A report is valid for at least this long. */
const minReportValidityMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;

/** Rounds the rates to whole milliseconds a second, to keep messages short. */
export function roundRates(demand: readonly ServiceDemand[]): readonly ServiceDemand[] {
    return demand.map(([service, rate]) => [service, Math.round(rate)] as const);
}

interface ReportedDemand {
    /** Monotonic time. */
    readonly expiresAt: number;
    readonly demand: ReadonlyMap<string, number>;
}

/** Creates the measurement of one process. */
export function createPrefillDemand(clock: Clock): PrefillDemand {
    const own = new Map<string, DecayingRate>();
    const peers = new Map<string, ReportedDemand>();
    const groups = new Map<string, ReportedDemand>();
    const ownRate = (service: string) => own.get(service)?.perSecond(clock.monotonicNow()) ?? 0;

    const recordIn = (
        reports: Map<string, ReportedDemand>,
        senderId: string,
        demand: readonly ServiceDemand[],
        reportInterval: number,
    ) => {
        const expiresAt = computeExpiry(clock.monotonicNow(), reportInterval, minReportValidityMilliseconds);
        reports.set(senderId, { expiresAt, demand: new Map(demand) });
    };

    const sumReported = (reports: ReadonlyMap<string, ReportedDemand>, service: string) => {
        const now = clock.monotonicNow();
        let sum = 0;
        for (const { expiresAt, demand } of reports.values()) {
            sum += expiresAt >= now ? demand.get(service) ?? 0 : 0;
        }
        return sum;
    };

    const groupRate = (service: string) => ownRate(service) + sumReported(peers, service);
    const listServices = () =>
        new Set([...own.keys(), ...[...peers.values()].flatMap(({ demand }) => [...demand.keys()])]);

    return {
        record: (service, milliseconds) => {
            let rate = own.get(service);
            if (!rate) {
                rate = createDecayingRate(prefillDemandDecayMilliseconds, clock.monotonicNow());
                own.set(service, rate);
            }
            rate.add(milliseconds, clock.monotonicNow());
        },
        listOwn: () => [...own.keys()].map(service => [service, ownRate(service)] as const),
        listGroup: () => [...listServices()].map(service => [service, groupRate(service)] as const),
        recordPeer: (peerId, demand, reportInterval) => recordIn(peers, peerId, demand, reportInterval),
        recordGroup: (coordinatorId, demand, reportInterval) => recordIn(groups, coordinatorId, demand, reportInterval),
        engines: service => (groupRate(service) + sumReported(groups, service)) / millisecondsPerSecond,
    };
}
