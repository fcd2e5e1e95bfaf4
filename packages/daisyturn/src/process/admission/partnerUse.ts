import { type Clock, createDecayingRate, type DecayingRate, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange, type Membership, type ProcessIdentity } from "../peers/index.js";

/** Engine time that each partner's requests take, over all entry processes. */
export interface PartnerUse {
    /** Counts the engine time, in milliseconds, of a request that was admitted. */
    charge(partner: string, engineTime: number): void;
    /** Tells how much engine time waits here for admission. */
    setWaiting(partner: string, engineTime: number): void;
    /** Milliseconds of engine time a second, over the last seconds. */
    used(partner: string): number;
    /** The same, of this process alone. */
    usedHere(partner: string): number;
    /** Whether any process has work of the partner waiting. */
    isWaiting(partner: string): boolean;
    /** Everything that waits, by process and partner. */
    listWaiting(): readonly WaitingWork[];
    /** Partners that have used or waited lately. */
    partners(): readonly string[];
    /** Notes that the partner has interactive work with this limit in milliseconds between tokens. */
    recordGapLimit(partner: string, limit: number): void;
    /** The strictest limit between tokens that another partner's interactive work has had lately; else Infinity. */
    strictestGapOfOthers(partner: string): number;
}

/** A partner's work that waits for admission in one process. */
export interface WaitingWork {
    readonly processId: string;
    readonly partner: string;
    /** Engine time in milliseconds. */
    readonly engineTime: number;
}

/** What {@link createPartnerUse} needs. */
export interface PartnerUseOptions {
    readonly processId: string;
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
}

/** Use is remembered for so long; a partner that was idle gets its share back after about as long. */
const memoryMilliseconds = 2_000;
/** A partner that used less than this many milliseconds a second does not count. */
const negligibleUse = 1;
/** How long a partner's limit between tokens binds others after its last request. */
const gapLimitMilliseconds = 10_000;

interface ToldUse {
    readonly partner: string;
    /** Engine time charged since the process began. */
    readonly charged: number;
    readonly waiting: number;
    /** Strictest limit between tokens, in milliseconds, of interactive work in the last seconds; absent if none. */
    readonly gapLimit?: number;
}

interface PartnerUseSection {
    readonly uses: readonly ToldUse[];
}

interface PartnerRecord {
    charged: number;
    waiting: number;
    gapLimit: number;
    /** Monotonic time until which `gapLimit` counts. */
    gapLimitUntil: number;
    readonly rate: DecayingRate;
}

interface PeerRecord extends PartnerRecord {
    readonly incarnation: string;
}

/** Creates the record of one process. */
export function createPartnerUse(options: PartnerUseOptions): PartnerUse {
    const { exchange, membership, clock } = options;
    const own = new Map<string, PartnerRecord>();
    const peers = new Map<string, Map<string, PeerRecord>>();
    let told = "";

    const ensureOwn = (partner: string) => {
        const record = own.get(partner) ?? createRecord(clock.monotonicNow());
        own.set(partner, record);
        return record;
    };

    const listLive = (partner: string): readonly (readonly [string, PeerRecord])[] =>
        membership.livePeers().flatMap(peer => {
            const record = peers.get(peer.processId)?.get(partner);
            return record?.incarnation === peer.incarnation ? [[peer.processId, record] as const] : [];
        });

    const usedByPeersOf = (partner: string) => {
        const now = clock.monotonicNow();
        const rateOf = ([processId, record]: readonly [string, PeerRecord]) =>
            record.rate.perSecond(exchange.lastReceivedAt(processId, now));
        return listLive(partner).reduce((sum, entry) => sum + rateOf(entry), 0);
    };

    const usedHere = (partner: string) => own.get(partner)?.rate.perSecond(clock.monotonicNow()) ?? 0;

    const used = (partner: string) => usedHere(partner) + usedByPeersOf(partner);

    const isWaiting = (partner: string) =>
        (own.get(partner)?.waiting ?? 0) > 0 || listLive(partner).some(([, record]) => record.waiting > 0);

    const gapLimitOf = (record: PartnerRecord | undefined) =>
        record && clock.monotonicNow() < record.gapLimitUntil ? record.gapLimit : Infinity;

    const strictestGap = (partner: string) =>
        Math.min(gapLimitOf(own.get(partner)), ...listLive(partner).map(([, record]) => gapLimitOf(record)));

    const listWaiting = (): WaitingWork[] =>
        [...known()].flatMap(partner => [
            { processId: options.processId, partner, engineTime: own.get(partner)?.waiting ?? 0 },
            ...listLive(partner).map(([processId, record]) => ({ processId, partner, engineTime: record.waiting })),
        ]).filter(work => work.engineTime > 0);

    const known = () => new Set([...own.keys(), ...[...peers.values()].flatMap(uses => [...uses.keys()])]);

    const collect = (): JsonObject | undefined => {
        const uses = [...own].map(([partner, record]): ToldUse => ({
            partner,
            charged: Math.round(record.charged),
            waiting: Math.round(record.waiting),
            gapLimit: Number.isFinite(gapLimitOf(record)) ? record.gapLimit : undefined,
        }));
        const text = JSON.stringify(uses);
        const isNews = text !== told;
        told = text;
        return isNews ? toJson<PartnerUseSection>({ uses }) : undefined;
    };

    const receive = (from: ProcessIdentity, use: ToldUse) => {
        const now = clock.monotonicNow();
        const uses = peers.get(from.processId) ?? new Map<string, PeerRecord>();
        peers.set(from.processId, uses);
        const last = uses.get(use.partner);
        const isSameRun = last?.incarnation === from.incarnation;
        const rate = last?.rate ?? createDecayingRate(memoryMilliseconds, now);
        rate.add(use.charged - (isSameRun ? last.charged : 0), now);
        const { charged, waiting, gapLimit } = use;
        const limit = { gapLimit: gapLimit ?? Infinity, gapLimitUntil: now + gapLimitMilliseconds };
        uses.set(use.partner, { incarnation: from.incarnation, charged, waiting, ...limit, rate });
    };

    exchange.register({
        section: ExchangeSection.PartnerUse,
        collect,
        receive: (content, from) => {
            const section = content as unknown as PartnerUseSection;
            section.uses.forEach(use => receive(from, use));
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
        used,
        usedHere,
        isWaiting,
        listWaiting,
        partners: () => [...known()].filter(partner => isWaiting(partner) || used(partner) >= negligibleUse),
        recordGapLimit: (partner, limit) => {
            const record = ensureOwn(partner);
            record.gapLimit = Math.min(limit, gapLimitOf(record));
            record.gapLimitUntil = clock.monotonicNow() + gapLimitMilliseconds;
        },
        strictestGapOfOthers: partner => Math.min(...[...known()].filter(other => other !== partner).map(strictestGap)),
    };
}

function createRecord(now: number): PartnerRecord {
    return {
        charged: 0,
        waiting: 0,
        gapLimit: Infinity,
        gapLimitUntil: -Infinity,
        rate: createDecayingRate(memoryMilliseconds, now),
    };
}
