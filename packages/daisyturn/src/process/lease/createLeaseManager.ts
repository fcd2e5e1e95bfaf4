import { type Clock, EventKind, type EventLog, type IdSource, type Random } from "daisyturn-utils";
import { absentVersion, RejectionCause, type Row, TransactionOutcome } from "../../ports/tableService.js";
import type { ProcessIdentity } from "../peers/index.js";
import { type StoreClient, StorePriority } from "../store/index.js";
import { createLeaseTenure, type LeaseTenure, readClocks } from "./createLeaseTenure.js";
import { type Lease, type LeaseManager, LeaseState } from "./lease.js";
import { fencingRowKey, type FencingValue, parseFencingValue, renewalRowKey } from "./leaseRows.js";
import { releaseTransaction, renewalTransaction, takeoverTransaction } from "./leaseTransactions.js";

/** Dependencies and settings of a lease manager. */
export interface LeaseManagerOptions {
    readonly name: string;
    readonly self: ProcessIdentity;
    readonly storeClient: StoreClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
    /** Time after a renewal during which no other process may acquire the lease. */
    readonly leaseMilliseconds?: number;
    /** How much earlier than the lease expires its holder stops; covers clocks that run at different rates. */
    readonly marginMilliseconds?: number;
    readonly renewalIntervalMilliseconds?: number;
    /** How often a process without the lease reads its rows. */
    readonly pollIntervalMilliseconds?: number;
    readonly callLimitMilliseconds?: number;
    /** Returns the latest era of the store that this process has seen. By default, the store has no eras. */
    readonly storeEra?: () => number;
    /** Returns false while this process must not acquire the lease, for example while it drains. */
    readonly mayAcquire?: () => boolean;
    /**
     * Returns false while this process must not take the lease over from another one. It still observes the rows, so that
     * the waiting time counts from then. By default, it may.
     */
    readonly mayTakeOver?: () => boolean;
}

const defaultLeaseMilliseconds = 5_000;
const defaultMarginMilliseconds = 500;
const defaultRenewalIntervalMilliseconds = 1_500;
const defaultPollIntervalMilliseconds = 1_000;
const defaultCallLimitMilliseconds = 2_000;
/** Delay after a renewal that was not sent or whose outcome is unknown. */
const renewalRetryMilliseconds = 200;

/**
 * Size of the range of fencing numbers reserved for each era. Separate ranges prevent reuse of numbers that a restore
 * has removed from the store. Numbers are exact for eras below 2^21 and versions below 2^32.
 */
const fencingNumbersPerEra = 2 ** 32;

/** State of the lease rows as last read, and the time since which it has been unchanged. */
interface Observation {
    readonly fencingVersion: number;
    readonly renewalVersion: number;
    readonly era: number;
    readonly fencing?: FencingValue;
    /** Monotonic time of this process after the read that first returned these versions. */
    readonly firstSeenAt: number;
}

/** Creates the manager of one lease; it does nothing before `run` is called. */
export function createLeaseManager(options: LeaseManagerOptions): LeaseManager {
    const { name, self, storeClient, clock, random, ids, eventLog } = options;
    const leaseMilliseconds = options.leaseMilliseconds ?? defaultLeaseMilliseconds;
    const marginMilliseconds = options.marginMilliseconds ?? defaultMarginMilliseconds;
    const renewalInterval = options.renewalIntervalMilliseconds ?? defaultRenewalIntervalMilliseconds;
    const pollInterval = options.pollIntervalMilliseconds ?? defaultPollIntervalMilliseconds;
    const callLimit = options.callLimitMilliseconds ?? defaultCallLimitMilliseconds;
    const storeEra = options.storeEra ?? (() => 0);
    const fencingKey = fencingRowKey(name);
    const renewalKey = renewalRowKey(name);
    const acquiredListeners: ((lease: Lease) => void)[] = [];
    const lostListeners: ((lease: Lease) => void)[] = [];
    const releaseTasks: (() => Promise<void>)[] = [];
    let tenure: LeaseTenure | undefined;
    let tenureEra = 0;
    let observation: Observation | undefined;
    let renewalCount = 0;

    const run = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            if (tenure) {
                await renewPeriodically(tenure, signal);
            }
            else {
                await tryAcquire(signal);
            }
        }
        await release();
    };

    const renewPeriodically = async (held: LeaseTenure, signal: AbortSignal) => {
        await clock.sleepUntil(clock.monotonicNow() + renewalInterval, signal);
        while (!signal.aborted && !held.hasEnded() && !await renew(held)) {
            await clock.sleepUntil(clock.monotonicNow() + renewalRetryMilliseconds, signal);
        }
        if (held.hasEnded()) {
            lose(held, "deadline passed, lease acquired by another process, or store rolled back");
        }
    };

    /** Returns whether the renewal was committed. A renewal with unknown outcome does not extend the deadline. */
    const renew = async (held: LeaseTenure) => {
        const sentAt = readClocks(clock);
        renewalCount += 1;
        const limit = Math.min(sentAt.monotonic + callLimit, held.lease.deadline());
        const answer = await storeClient.commit(
            renewalTransaction(held.lease, ids.next("wr"), self.incarnation, renewalCount),
            StorePriority.Lease,
            limit,
        );
        if (answer.outcome === TransactionOutcome.Committed) {
            held.extend(sentAt);
            return true;
        }
        if (answer.outcome === TransactionOutcome.Rejected && answer.cause === RejectionCause.ConditionFailed) {
            held.end();
        }
        return false;
    };

    const tryAcquire = async (signal: AbortSignal) => {
        await observe();
        if (signal.aborted) {
            return;
        }
        const acquirableAt = observation && mayAcquire(options, observation)
            ? findAcquirableAt(observation, self, leaseMilliseconds)
            : Infinity;
        if (observation && acquirableAt <= clock.monotonicNow()) {
            await takeOver(observation);
        }
        if (!tenure) {
            const nextPoll = clock.monotonicNow() + pollInterval * (0.75 + 0.5 * random.fraction());
            const wakeAt = acquirableAt > clock.monotonicNow() ? Math.min(nextPoll, acquirableAt) : nextPoll;
            await clock.sleepUntil(wakeAt, signal);
        }
    };

    const observe = async () => {
        const limit = clock.monotonicNow() + callLimit;
        const answer = await storeClient.read([fencingKey, renewalKey], StorePriority.Lease, limit);
        if (answer.isErr) {
            return;
        }
        const fencingRow = findRow(answer.value, fencingKey);
        const fencingVersion = fencingRow?.version ?? absentVersion;
        const renewalVersion = findRow(answer.value, renewalKey)?.version ?? absentVersion;
        const era = storeEra();
        const isUnchanged = observation?.fencingVersion === fencingVersion
            && observation.renewalVersion === renewalVersion && observation.era === era;
        if (!isUnchanged) {
            const fencing = fencingRow && parseFencingValue(fencingRow.value);
            observation = { fencingVersion, renewalVersion, era, fencing, firstSeenAt: clock.monotonicNow() };
        }
    };

    const takeOver = async (seen: Observation) => {
        const takeoverSentAt = readClocks(clock);
        const { era } = seen;
        const value = createValue((seen.fencing?.fencingNumber ?? 0) + 1, era);
        const answer = await storeClient.commit(
            takeoverTransaction(name, ids.next("wr"), value, seen),
            StorePriority.Lease,
            takeoverSentAt.monotonic + callLimit,
        );
        if (answer.outcome !== TransactionOutcome.Committed || answer.version === undefined) {
            return;
        }
        // A delayed takeover from an earlier era may overwrite the row with a lower number, so the number is derived from
        // the version of the commit, which is unique within an era.
        const fencingNumber = era > 0 ? era * fencingNumbersPerEra + answer.version : value.fencingNumber;
        const acquired = createLeaseTenure({
            name,
            clock,
            fencingNumber,
            fencingRow: { key: fencingKey, version: answer.version },
            takeoverSentAt,
            usableMilliseconds: leaseMilliseconds - marginMilliseconds,
            isEraCurrent: () => storeEra() === era,
        });
        if (acquired.hasEnded()) {
            return;
        }
        tenure = acquired;
        tenureEra = era;
        eventLog.record(EventKind.LeaseAcquired, { lease: name, fencing: fencingNumber });
        acquiredListeners.forEach(listener => listener(acquired.lease));
    };

    const createValue = (fencingNumber: number, era: number): FencingValue => (
        { holder: self, fencingNumber, leaseMilliseconds, released: false, ...(era > 0 && { era }) }
    );

    const lose = (held: LeaseTenure, reason: string) => {
        held.end();
        tenure = undefined;
        observation = undefined;
        eventLog.record(EventKind.LeaseLost, { lease: name, fencing: held.lease.fencingNumber, reason });
        lostListeners.forEach(listener => listener(held.lease));
    };

    // The next holder relies on a release as proof that nothing more is sent under the lease, so all work in progress
    // ends first.
    const release = async () => {
        const held = tenure;
        if (!held) {
            return;
        }
        const { fencingNumber } = held.lease;
        lose(held, "stopping");
        await Promise.all(releaseTasks.map(task => task()));
        if (storeEra() !== tenureEra) {
            // Versions are reused after a restore, so the release could match another holder's row.
            return;
        }
        const answer = await storeClient.commit(
            releaseTransaction(held.lease, ids.next("wr"), createValue(fencingNumber, tenureEra)),
            StorePriority.Lease,
            clock.monotonicNow() + callLimit,
        );
        eventLog.record(EventKind.LeaseReleased, { lease: name, fencing: fencingNumber, verdict: answer.outcome });
    };

    return {
        current: () => tenure && !tenure.hasEnded() ? tenure.lease : undefined,
        inspect: async () => {
            await observe();
            return observation && describeState(observation, self);
        },
        run,
        onAcquired: listener => acquiredListeners.push(listener),
        onLost: listener => lostListeners.push(listener),
        beforeRelease: task => releaseTasks.push(task),
    };
}

/**
 * Returns the monotonic time from which the lease can be acquired. A lease that is absent, released or was last held by
 * this process is available at once if its row was written in the current era; an absent row counts as era 0.
 * Otherwise the lease is available after its full length without a renewal: a restore may have removed the row of a
 * later holder.
 */
function findAcquirableAt(
    { fencingVersion, fencing, firstSeenAt, era }: Observation,
    self: ProcessIdentity,
    leaseMilliseconds: number,
): number {
    const isFree = fencingVersion === absentVersion || fencing?.released || isHeldBySelf(fencing, self);
    return isFree && (fencing?.era ?? 0) === era
        ? firstSeenAt
        : firstSeenAt + Math.max(leaseMilliseconds, fencing?.leaseMilliseconds ?? 0);
}

function describeState({ fencing, era }: Observation, self: ProcessIdentity): LeaseState {
    if ((fencing?.era ?? 0) !== era) {
        return LeaseState.NotInEra;
    }
    return isHeldBySelf(fencing, self) ? LeaseState.Interrupted : LeaseState.Other;
}

/**
 * Whether the lease was last held by this process, in this or an earlier incarnation. Only one process can listen at an
 * address, so an earlier incarnation at the address of this one has ended and sends nothing more.
 */
function isHeldBySelf(fencing: FencingValue | undefined, self: ProcessIdentity): boolean {
    return fencing !== undefined && !fencing.released && fencing.holder.processId === self.processId
        && fencing.holder.peerAddress === self.peerAddress;
}

function mayAcquire(
    { mayAcquire = () => true, mayTakeOver = () => true, self }: LeaseManagerOptions,
    seen: Observation,
) {
    return mayAcquire() && (isHeldBySelf(seen.fencing, self) || mayTakeOver());
}

function findRow(rows: readonly Row[], key: string): Row | undefined {
    return rows.find(row => row.key === key);
}
