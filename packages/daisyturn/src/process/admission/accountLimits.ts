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
 * Limits the request rate and the concurrency of client accounts over all entry processes, without a write to the
 * store for each request.
 *
 * Every process has a token bucket for the cell-wide rate of the account. Requests that it admits are deducted
 * immediately, requests that peers admit when their reports arrive. In the long run, the rate is therefore exact. If
 * several processes admit requests before they receive each other's reports, the bucket goes below zero and later
 * requests wait until it is refilled. A second bucket limits each process to its fraction of the demand, which keeps
 * this overshoot small.
 *
 * Bounds, with N processes that receive each other's reports within `delay`: at any time since the start, no more than
 * `rate * time + N * (burst + rate * delay)` requests are admitted, and the concurrency exceeds its limit only by the
 * requests that are admitted within the delay. A process without contact to a majority is limited to 1/N of the
 * limits, so a network partition adds at most the fractions of the isolated processes.
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

/** Seconds of unused rate that an account can accumulate; the burst is at least one request. */
export const burstSeconds = 1;
const millisecondsPerSecond = 1_000;
/** Time over which demand is averaged to compute the fractions of the processes. */
const demandMemoryMilliseconds = 2_000;
/** Factor by which a process may exceed its fraction; otherwise fractions that add up to less than 1 waste rate. */
const fractionSlack = 1.1;
/** Peers are notified immediately when less than this fraction of an account's burst is left. */
const urgentBurstFraction = 0.5;
/** Retry delay for an account that has reached its concurrency limit. */
const concurrencyRetryMilliseconds = 250;
/** Records of accounts that have not been used for this long are removed. */
const idleRetentionMilliseconds = 30_000;
const maxRecordsPerSweep = 200;

/** What a process reports to its peers about one account. `asked` and `admitted` count from zero since `since`. */
interface ReportedAccount {
    readonly partner: string;
    readonly name: string;
    /** Creation time of the record; differs if the record was removed and created again. */
    readonly since: number;
    readonly asked: number;
    readonly admitted: number;
    readonly concurrent: number;
}

interface AccountSection {
    readonly accounts: readonly ReportedAccount[];
}

interface PeerUsage {
    readonly incarnation: string;
    readonly reported: ReportedAccount;
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
    /** Requests that the whole cell may admit; below zero if several processes admitted requests at the same time. */
    cellBucket: number;
    /** Requests that this process may admit by its fraction. */
    ownBucket: number;
    /** Monotonic times. */
    refilledAt: number;
    usedAt: number;
    readonly peers: Map<string, PeerUsage>;
}

/** Creates the account limits of one process. */
export function createAccountLimits(options: AccountLimitsOptions): AccountLimits {
    const { exchange, membership, configurationManager, clock } = options;
    const records = new Map<string, AccountRecord>();
    const unsent = new Set<AccountRecord>();
    let hasUrgentUpdate = false;

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

    /** Lists the usage that live peers have reported. Reports of an earlier incarnation of a peer are ignored. */
    const listLivePeerUsage = (record: AccountRecord) =>
        membership.livePeers().flatMap(peer => {
            const usage = record.peers.get(peer.processId);
            return usage?.incarnation === peer.incarnation ? [{ processId: peer.processId, ...usage }] : [];
        });

    /**
     * Computes the fraction of an account's rate that this process may use: its fraction of the demand, or an even
     * fraction of the unused rate if that is larger. By demand alone, a process with few requests so far would refuse
     * the second of two calls while most of the rate is unused.
     */
    const computeFraction = (record: AccountRecord, { requestsPerSecond }: CallerAccount, now: number) => {
        if (!membership.hasMajorityContact()) {
            return 1 / (1 + countOtherProcesses(membership));
        }
        const own = record.demand.perSecond(now);
        const others = listLivePeerUsage(record)
            .reduce((sum, usage) => sum + usage.demand.perSecond(exchange.lastReceivedAt(usage.processId, now)), 0);
        if (own + others === 0) {
            return 1;
        }
        const unused = Math.max(0, 1 - (own + others) / requestsPerSecond);
        return Math.max(own / (own + others), unused / (1 + countOtherProcesses(membership)));
    };

    const refill = (record: AccountRecord, account: CallerAccount, fraction: number, now: number) => {
        const burst = Math.max(1, account.requestsPerSecond * burstSeconds);
        const earned = (now - record.refilledAt) / millisecondsPerSecond * account.requestsPerSecond;
        record.cellBucket = Math.min(burst, record.cellBucket + earned);
        record.ownBucket = Math.min(
            Math.max(1, burst * fraction),
            record.ownBucket + earned * fraction * fractionSlack,
        );
        record.refilledAt = now;
    };

    /** Milliseconds until both buckets allow a request. */
    const computeRateWait = (record: AccountRecord, account: CallerAccount, fraction: number) => {
        const perMillisecond = account.requestsPerSecond / millisecondsPerSecond;
        const cellWait = (1 - record.cellBucket) / perMillisecond;
        const ownWait = (1 - record.ownBucket) / (perMillisecond * fraction * fractionSlack);
        return Math.max(0, cellWait, ownWait);
    };

    const hasFreeSlot = (record: AccountRecord, account: CallerAccount) => {
        const maxConcurrent = account.concurrentRequests;
        if (!membership.hasMajorityContact()) {
            return record.concurrent < Math.max(1, Math.floor(maxConcurrent / (1 + countOtherProcesses(membership))));
        }
        const others = listLivePeerUsage(record).reduce((sum, usage) => sum + usage.reported.concurrent, 0);
        return record.concurrent + others < maxConcurrent;
    };

    const admit = (account: CallerAccount): Result<AdmissionTicket, Failure> => {
        const now = clock.monotonicNow();
        const record = ensureRecord(account.partner, account.name);
        record.demand.add(1, now);
        record.asked += 1;
        record.usedAt = now;
        unsent.add(record);
        const fraction = computeFraction(record, account, now);
        refill(record, account, fraction, now);
        const wait = computeRateWait(record, account, fraction);
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
        hasUrgentUpdate ||= record.cellBucket < account.requestsPerSecond * burstSeconds * urgentBurstFraction;
        return ok(createTicket(record, () => unsent.add(record)));
    };

    /** Checks a limited number of records per call; those still in use move to the end of the map. */
    const removeIdleRecords = () => {
        const oldestUse = clock.monotonicNow() - idleRetentionMilliseconds;
        for (const [key, record] of [...records].slice(0, maxRecordsPerSweep)) {
            records.delete(key);
            if (record.concurrent > 0 || record.usedAt > oldestUse) {
                records.set(key, record);
            }
        }
    };

    const collect = (): JsonObject | undefined => {
        removeIdleRecords();
        const section: AccountSection = { accounts: [...unsent].map(describe) };
        unsent.clear();
        hasUrgentUpdate = false;
        return section.accounts.length > 0 ? toJson(section) : undefined;
    };

    const receiveAccount = (from: ProcessIdentity, reported: ReportedAccount) => {
        const now = clock.monotonicNow();
        const record = ensureRecord(reported.partner, reported.name);
        const known = record.peers.get(from.processId);
        const isContinued = known?.incarnation === from.incarnation && known.reported.since === reported.since;
        const last = isContinued ? known.reported : undefined;
        const demand = known?.demand ?? createDecayingRate(demandMemoryMilliseconds, now);
        const account = configurationManager.current().findItem({ kind: ItemKind.CallerAccount, ...reported });
        if (account?.kind === ItemKind.CallerAccount) {
            refill(record, account, computeFraction(record, account, now), now);
        }
        demand.add(reported.asked - (last?.asked ?? 0), now);
        record.cellBucket -= reported.admitted - (last?.admitted ?? 0);
        record.usedAt = now;
        record.peers.set(from.processId, { incarnation: from.incarnation, reported, demand });
    };

    exchange.register({
        section: ExchangeSection.AccountUse,
        isUrgent: () => hasUrgentUpdate,
        collect,
        receive: (content, from) => {
            const section = content as unknown as AccountSection;
            section.accounts.forEach(reported => receiveAccount(from, reported));
        },
    });
    // A peer that was isolated has missed reports in the meantime.
    membership.onChange(() => records.forEach(record => record.admitted > 0 && unsent.add(record)));
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

function describe({ partner, name, since, asked, admitted, concurrent }: AccountRecord): ReportedAccount {
    return { partner, name, since, asked, admitted, concurrent };
}

/** Counts other processes whose incarnation is not proven to have ended: they may still admit requests. */
function countOtherProcesses(membership: Membership): number {
    return membership.others().filter(member => !membership.hasEnded(member.identity)).length;
}
