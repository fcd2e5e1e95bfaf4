import {
    type Clock,
    createDecayingRate,
    type DecayingRate,
    type Failure,
    FailureReason,
    type JsonObject,
    notRun,
    toJson,
} from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type CallerAccount, ItemKind } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import { ExchangeSection, type LoadExchange, type Membership, type ProcessIdentity } from "../peers/index.js";
import type { AdmissionTicket } from "./admission.js";

/**
 * Rates and concurrencies of accounts over all entry processes, without a write to the store for each request.
 *
 * Every process keeps the whole account: its bucket is emptied by what this process admits, at once, and by what the
 * peers have told they admitted. So the rate is kept exactly in the long run; what several processes admit at once,
 * before they hear of each other, is a debt that later admissions wait for. Beside it, each process spends no faster
 * than its part of the demand, so that there is little debt in the first place.
 *
 * Bounds, with N processes that hear of each other within `delay`: from the first moment on, no more than
 * `rate * time + N * (burst + rate * delay)` is admitted, and the concurrency passes its limit only by what is admitted
 * within the delay. A process that does not hear a majority
 * keeps to 1/N of the limits, so a cut adds at most the cut-off processes' parts.
 */
export interface AccountLimits {
    admit(account: CallerAccount): Result<AdmissionTicket, Failure>;
}

/** What {@link createAccountLimits} needs. */
export interface AccountLimitsOptions {
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly configurationManager: ConfigurationManager;
    readonly clock: Clock;
}

/** Seconds of unused rate that an account may save up; one request at least. */
export const burstSeconds = 1;
const millisecondsPerSecond = 1_000;
/** How long demand is remembered when the parts of the processes are worked out. */
const demandMemoryMilliseconds = 2_000;
/** A process may spend a little faster than its part, or parts that don't add up to one would waste rate. */
const partSlack = 1.1;
/** Peers are told at once of accounts that have less than this part of their burst left. */
const urgentPart = 0.5;
/** When a slot of an account that is at its concurrency may be free again. */
const concurrencyRetryMilliseconds = 250;
/** An account that has not been used for so long is forgotten. */
const idleMilliseconds = 30_000;
const recordsPerSweep = 200;

/** What a process tells about one account. Numbers grow from zero since `since`. */
interface ToldAccount {
    readonly partner: string;
    readonly name: string;
    /** Tells records of one account apart that were begun anew. */
    readonly since: number;
    readonly asked: number;
    readonly admitted: number;
    readonly concurrent: number;
}

interface AccountSection {
    readonly accounts: readonly ToldAccount[];
}

interface PeerUse {
    readonly incarnation: string;
    readonly told: ToldAccount;
    readonly demand: DecayingRate;
}

interface AccountRecord {
    readonly partner: string;
    readonly name: string;
    readonly since: number;
    asked: number;
    admitted: number;
    concurrent: number;
    readonly demand: DecayingRate;
    /** Requests that may be admitted over the cell; below zero after processes admitted at once. */
    cellBucket: number;
    /** Requests that this process may admit. */
    ownBucket: number;
    /** Monotonic times. */
    refilledAt: number;
    usedAt: number;
    readonly peers: Map<string, PeerUse>;
}

/** Creates the limits of one process. */
export function createAccountLimits(options: AccountLimitsOptions): AccountLimits {
    const { exchange, membership, configurationManager, clock } = options;
    const records = new Map<string, AccountRecord>();
    const news = new Set<AccountRecord>();
    let hasUrgentNews = false;

    const ensureRecord = (partner: string, name: string): AccountRecord => {
        const key = `${partner}/${name}`;
        const known = records.get(key);
        if (known) {
            return known;
        }
        const record = createRecord(partner, name, clock.monotonicNow());
        records.set(key, record);
        return record;
    };

    /** What live peers told of an account. What an earlier run of a process told ended with that run. */
    const listLiveUses = (record: AccountRecord) =>
        membership.livePeers().flatMap(peer => {
            const use = record.peers.get(peer.processId);
            return use?.incarnation === peer.incarnation ? [{ processId: peer.processId, ...use }] : [];
        });

    /**
     * The part of an account's rate that this process may use: its part of the demand, or an even part of what nobody
     * asks for if that is more. By demand alone, a process that has hardly been asked would refuse the second of two
     * calls while most of the rate is unused.
     */
    const partOf = (record: AccountRecord, { requestsPerSecond }: CallerAccount, now: number) => {
        if (!membership.hasMajorityContact()) {
            return 1 / (1 + countOthers(membership));
        }
        const own = record.demand.perSecond(now);
        const others = listLiveUses(record)
            .reduce((sum, use) => sum + use.demand.perSecond(exchange.lastReceivedAt(use.processId, now)), 0);
        if (own + others === 0) {
            return 1;
        }
        const unused = Math.max(0, 1 - (own + others) / requestsPerSecond);
        return Math.max(own / (own + others), unused / (1 + countOthers(membership)));
    };

    const refill = (record: AccountRecord, account: CallerAccount, part: number, now: number) => {
        const burst = Math.max(1, account.requestsPerSecond * burstSeconds);
        const earned = (now - record.refilledAt) / millisecondsPerSecond * account.requestsPerSecond;
        record.cellBucket = Math.min(burst, record.cellBucket + earned);
        record.ownBucket = Math.min(Math.max(1, burst * part), record.ownBucket + earned * part * partSlack);
        record.refilledAt = now;
    };

    /** Milliseconds until the buckets hold a request. */
    const waitForRate = (record: AccountRecord, account: CallerAccount, part: number) => {
        const perMillisecond = account.requestsPerSecond / millisecondsPerSecond;
        const ofCell = (1 - record.cellBucket) / perMillisecond;
        const ofOwn = (1 - record.ownBucket) / (perMillisecond * part * partSlack);
        return Math.max(0, ofCell, ofOwn);
    };

    const hasFreeSlot = (record: AccountRecord, account: CallerAccount) => {
        const whole = account.concurrentRequests;
        if (!membership.hasMajorityContact()) {
            return record.concurrent < Math.max(1, Math.floor(whole / (1 + countOthers(membership))));
        }
        const others = listLiveUses(record).reduce((sum, use) => sum + use.told.concurrent, 0);
        return record.concurrent + others < whole;
    };

    const admit = (account: CallerAccount): Result<AdmissionTicket, Failure> => {
        const now = clock.monotonicNow();
        const record = ensureRecord(account.partner, account.name);
        record.demand.add(1, now);
        record.asked += 1;
        record.usedAt = now;
        news.add(record);
        const part = partOf(record, account, now);
        refill(record, account, part, now);
        const wait = waitForRate(record, account, part);
        if (wait > 0) {
            return err(notRun(FailureReason.RateLimited, "The account is at its rate.", clock.wallNow() + wait));
        }
        if (!hasFreeSlot(record, account)) {
            const retryAt = clock.wallNow() + concurrencyRetryMilliseconds;
            return err(notRun(FailureReason.RateLimited, "The account is at its concurrency.", retryAt));
        }
        record.cellBucket -= 1;
        record.ownBucket -= 1;
        record.admitted += 1;
        record.concurrent += 1;
        hasUrgentNews ||= record.cellBucket < account.requestsPerSecond * burstSeconds * urgentPart;
        return ok(createTicket(record, () => news.add(record)));
    };

    /** Looks at some records in turn; those in use go to the end of the line. */
    const forgetIdle = () => {
        const oldest = clock.monotonicNow() - idleMilliseconds;
        for (const [key, record] of [...records].slice(0, recordsPerSweep)) {
            records.delete(key);
            if (record.concurrent > 0 || record.usedAt > oldest) {
                records.set(key, record);
            }
        }
    };

    const collect = (): JsonObject | undefined => {
        forgetIdle();
        const section: AccountSection = { accounts: [...news].map(describe) };
        news.clear();
        hasUrgentNews = false;
        return section.accounts.length > 0 ? toJson(section) : undefined;
    };

    const receiveAccount = (from: ProcessIdentity, told: ToldAccount) => {
        const now = clock.monotonicNow();
        const record = ensureRecord(told.partner, told.name);
        const known = record.peers.get(from.processId);
        const isContinued = known?.incarnation === from.incarnation && known.told.since === told.since;
        const last = isContinued ? known.told : undefined;
        const demand = known?.demand ?? createDecayingRate(demandMemoryMilliseconds, now);
        const account = configurationManager.current().findItem({ kind: ItemKind.CallerAccount, ...told });
        if (account?.kind === ItemKind.CallerAccount) {
            refill(record, account, partOf(record, account, now), now);
        }
        demand.add(told.asked - (last?.asked ?? 0), now);
        record.cellBucket -= told.admitted - (last?.admitted ?? 0);
        record.usedAt = now;
        record.peers.set(from.processId, { incarnation: from.incarnation, told, demand });
    };

    exchange.register({
        section: ExchangeSection.AccountUse,
        isUrgent: () => hasUrgentNews,
        collect,
        receive: (content, from) => {
            const section = content as unknown as AccountSection;
            section.accounts.forEach(told => receiveAccount(from, told));
        },
    });
    // A peer that was cut off has missed what was told meanwhile.
    membership.onChange(() => records.forEach(record => record.admitted > 0 && news.add(record)));
    return { admit };
}

function createRecord(partner: string, name: string, now: number): AccountRecord {
    return {
        partner,
        name,
        since: now,
        asked: 0,
        admitted: 0,
        concurrent: 0,
        demand: createDecayingRate(demandMemoryMilliseconds, now),
        cellBucket: Infinity,
        ownBucket: Infinity,
        refilledAt: now,
        usedAt: now,
        peers: new Map(),
    };
}

function createTicket(record: AccountRecord, onRelease: () => void): AdmissionTicket {
    let released = false;
    return {
        release: () => {
            if (!released) {
                released = true;
                record.concurrent -= 1;
                onRelease();
            }
        },
    };
}

function describe({ partner, name, since, asked, admitted, concurrent }: AccountRecord): ToldAccount {
    return { partner, name, since, asked, admitted, concurrent };
}

/** Other processes whose run is not proved to have ended: they may still be admitting. */
function countOthers(membership: Membership): number {
    return membership.others().filter(member => !membership.hasEnded(member.identity)).length;
}
