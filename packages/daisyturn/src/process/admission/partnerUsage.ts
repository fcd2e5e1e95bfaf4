import { type Clock, createDecayingRate, type DecayingRate, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange, type Membership, type ProcessIdentity } from "../peers/index.js";

/** Tracks the engine time that each partner uses over all entry processes. */
export interface PartnerUsage {
    /** Adds the engine time, in milliseconds, of an admitted request. */
    charge(partner: string, engineTime: number): void;
    /** Sets the engine time, in milliseconds, that waits for admission in this process. */
    setWaiting(partner: string, engineTime: number): void;
    /** Recent milliseconds of engine time per second. */
    usageRate(partner: string): number;
    /** The same for this process alone. */
    localUsageRate(partner: string): number;
    /** Whether any process has work of the partner waiting. */
    isWaiting(partner: string): boolean;
    /** Lists the waiting work by process and partner. */
    listWaiting(): readonly WaitingWork[];
    /** Partners with recent usage or waiting work. */
    partners(): readonly string[];
    /** Records that the partner has interactive work with this limit for the gap between tokens, in milliseconds. */
    recordGapLimit(partner: string, limit: number): void;
    /** Strictest gap limit of the recent interactive work of other partners; Infinity if there is none. */
    strictestGapOfOthers(partner: string): number;
}

/** A partner's work that waits for admission in one process. */
export interface WaitingWork {
    readonly processId: string;
    readonly partner: string;
    /** Engine time in milliseconds. */
    readonly engineTime: number;
}

/** What {@link createPartnerUsage} needs. */
export interface PartnerUsageOptions {
    readonly processId: string;
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
}

/** Time over which usage is averaged. A partner that was idle regains its share after about this time. */
const usageMemoryMilliseconds = 2_000;
/** Partners below this usage rate, in milliseconds per second, are ignored. */
const negligibleUsageRate = 1;
/** Time for which a partner's gap limit applies to other partners after its last interactive request. */
const gapLimitMilliseconds = 10_000;

interface ReportedUsage {
    readonly partner: string;
    /** Engine time in milliseconds charged since the process started. */
    readonly charged: number;
    readonly waiting: number;
    /** Strictest gap limit in milliseconds of recent interactive work; absent if there is none. */
    readonly gapLimit?: number;
}

interface PartnerUsageSection {
    readonly uses: readonly ReportedUsage[];
}

interface PartnerRecord {
    charged: number;
    waiting: number;
    gapLimit: number;
    /** Monotonic time until which `gapLimit` applies. */
    gapLimitUntil: number;
    readonly rate: DecayingRate;
}

interface PeerRecord extends PartnerRecord {
    readonly incarnation: string;
}

/** Creates the usage tracking of one process. */
export function createPartnerUsage(options: PartnerUsageOptions): PartnerUsage {
    const { exchange, membership, clock } = options;
    const ownRecords = new Map<string, PartnerRecord>();
    const peerRecords = new Map<string, Map<string, PeerRecord>>();
    let lastSent = "";

    const ensureOwn = (partner: string) => {
        const record = ownRecords.get(partner) ?? createRecord(clock.monotonicNow());
        ownRecords.set(partner, record);
        return record;
    };

    const listLiveRecords = (partner: string): readonly (readonly [string, PeerRecord])[] =>
        membership.livePeers().flatMap(peer => {
            const record = peerRecords.get(peer.processId)?.get(partner);
            return record?.incarnation === peer.incarnation ? [[peer.processId, record] as const] : [];
        });

    const computePeerUsageRate = (partner: string) => {
        const now = clock.monotonicNow();
        const rateOf = ([processId, record]: readonly [string, PeerRecord]) =>
            record.rate.perSecond(exchange.lastReceivedAt(processId, now));
        return listLiveRecords(partner).reduce((sum, entry) => sum + rateOf(entry), 0);
    };

    const localUsageRate = (partner: string) => ownRecords.get(partner)?.rate.perSecond(clock.monotonicNow()) ?? 0;

    const usageRate = (partner: string) => localUsageRate(partner) + computePeerUsageRate(partner);

    const isWaiting = (partner: string) =>
        (ownRecords.get(partner)?.waiting ?? 0) > 0
        || listLiveRecords(partner).some(([, record]) => record.waiting > 0);

    const gapLimitOf = (record: PartnerRecord | undefined) =>
        record && clock.monotonicNow() < record.gapLimitUntil ? record.gapLimit : Infinity;

    const computeStrictestGap = (partner: string) =>
        Math.min(
            gapLimitOf(ownRecords.get(partner)),
            ...listLiveRecords(partner).map(([, record]) => gapLimitOf(record)),
        );

    const listWaiting = (): WaitingWork[] =>
        [...listKnownPartners()].flatMap(partner => [
            { processId: options.processId, partner, engineTime: ownRecords.get(partner)?.waiting ?? 0 },
            ...listLiveRecords(partner).map(([processId, record]) => ({
                processId,
                partner,
                engineTime: record.waiting,
            })),
        ]).filter(work => work.engineTime > 0);

    const listKnownPartners = () =>
        new Set([...ownRecords.keys(), ...[...peerRecords.values()].flatMap(uses => [...uses.keys()])]);

    const collect = (): JsonObject | undefined => {
        const uses = [...ownRecords].map(([partner, record]): ReportedUsage => ({
            partner,
            charged: Math.round(record.charged),
            waiting: Math.round(record.waiting),
            gapLimit: Number.isFinite(gapLimitOf(record)) ? record.gapLimit : undefined,
        }));
        const text = JSON.stringify(uses);
        const hasChanged = text !== lastSent;
        lastSent = text;
        return hasChanged ? toJson<PartnerUsageSection>({ uses }) : undefined;
    };

    const receive = (from: ProcessIdentity, reported: ReportedUsage) => {
        const now = clock.monotonicNow();
        const uses = peerRecords.get(from.processId) ?? new Map<string, PeerRecord>();
        peerRecords.set(from.processId, uses);
        const last = uses.get(reported.partner);
        const isSameIncarnation = last?.incarnation === from.incarnation;
        const rate = last?.rate ?? createDecayingRate(usageMemoryMilliseconds, now);
        rate.add(reported.charged - (isSameIncarnation ? last.charged : 0), now);
        const { charged, waiting, gapLimit } = reported;
        const limit = { gapLimit: gapLimit ?? Infinity, gapLimitUntil: now + gapLimitMilliseconds };
        uses.set(reported.partner, { incarnation: from.incarnation, charged, waiting, ...limit, rate });
    };

    exchange.register({
        section: ExchangeSection.PartnerUse,
        collect,
        receive: (content, from) => {
            const section = content as unknown as PartnerUsageSection;
            section.uses.forEach(reported => receive(from, reported));
        },
    });
    return {
        charge: (partner, engineTime) => {
            const record = ensureOwn(partner);
            record.charged += engineTime;
            record.rate.add(engineTime, clock.monotonicNow());
        },
        setWaiting: (partner, engineTime) => {
            ensureOwn(partner).waiting = engineTime;
        },
        usageRate,
        localUsageRate,
        isWaiting,
        listWaiting,
        partners: () =>
            [...listKnownPartners()].filter(partner => isWaiting(partner) || usageRate(partner) >= negligibleUsageRate),
        recordGapLimit: (partner, limit) => {
            const record = ensureOwn(partner);
            record.gapLimit = Math.min(limit, gapLimitOf(record));
            record.gapLimitUntil = clock.monotonicNow() + gapLimitMilliseconds;
        },
        strictestGapOfOthers: partner =>
            Math.min(...[...listKnownPartners()].filter(other => other !== partner).map(computeStrictestGap)),
    };
}

function createRecord(now: number): PartnerRecord {
    return {
        charged: 0,
        waiting: 0,
        gapLimit: Infinity,
        gapLimitUntil: -Infinity,
        rate: createDecayingRate(usageMemoryMilliseconds, now),
    };
}
