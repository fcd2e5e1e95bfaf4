import { type Clock, EventKind, type EventLog, type Failure } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ServiceAnswer } from "../../ports/plainService.js";
import { absentVersion, type Row } from "../../ports/tableService.js";
import {
    type ClaimExaminer,
    type ClaimLimits,
    type ClaimRecorder,
    type ClaimRow,
    ClaimStage,
    ClaimWriteOutcome,
    type ClaimWriter,
    createClaimedRow,
    createFreeRow,
    type ExaminedClaim,
    ExaminedKind,
    type OwnClaim,
    parseClaimRow,
} from "../../process/claims/index.js";
import type { ProcessIdentity } from "../../process/peers/index.js";
import { type StoreClient, StorePriority } from "../../process/store/index.js";
import type { SendPermit } from "./claimManager.js";
import {
    describeExamined,
    failWithDeadlinePassed,
    failWithKeyStillClaimed,
    failWithStoreDown,
} from "./claimVerdicts.js";

/** Delay that a caller is advised to wait before it retries. */
export const retryDelayMilliseconds = 1_000;
/** Interval at which the row of a claim is read again while its owner does not reply. */
const pollIntervalMilliseconds = 500;

/** Whether an attempt has acquired its row. */
export enum AcquireKind {
    Acquired = "taken",
    NotAcquired = "not_taken",
}

/** The row belongs to this attempt. */
export interface AcquiredClaim {
    readonly kind: AcquireKind.Acquired;
    readonly row: ClaimRow;
    readonly version: number;
    /** Monotonic time after which the call must not be sent. */
    readonly sendDeadline: number;
    /** The same on the wall clock. */
    readonly wallSendDeadline: number;
}

type SendDeadlines = Pick<AcquiredClaim, "sendDeadline" | "wallSendDeadline">;

/** The attempt has ended, and the caller receives the result. */
export interface ClaimNotAcquired {
    readonly kind: AcquireKind.NotAcquired;
    readonly result: Result<ServiceAnswer, Failure>;
}

/** Options of {@link createClaimAcquirer}. */
export interface ClaimAcquirerOptions {
    readonly self: ProcessIdentity;
    readonly storeClient: StoreClient;
    readonly writer: ClaimWriter;
    readonly recorder: ClaimRecorder;
    readonly examiner: ClaimExaminer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly limits: ClaimLimits;
}

/** Acquires rows for attempts. */
export interface ClaimAcquirer {
    /**
     * Waits for a running call of another attempt until the deadline (monotonic). If the claim is not acquired, the
     * attempt has ended.
     */
    acquire(own: OwnClaim, deadline: number): Promise<AcquiredClaim | ClaimNotAcquired>;
}

/**
 * Whether the row of another claim exists. It prevents a write that is still in flight from taking effect, because the
 * write requires another version than that of the row, and rows of claims are deleted long after any write has arrived.
 */
function isRowOfOtherClaim(present: Row | undefined, own: OwnClaim): boolean {
    return present !== undefined && parseClaimRow(present.value).claimId !== own.claimId;
}

/**
 * Creates the permit to send under a claim. It ends at the earlier of two deadlines, one on the monotonic clock and one
 * on the wall clock: the monotonic clock of a VM may stop while its host suspends it, and the wall clock may be set
 * back.
 */
export function createSendPermit(clock: Clock, claim: AcquiredClaim, requestDeadline: number): SendPermit {
    const lastStart = Math.min(claim.sendDeadline, requestDeadline);
    return { isValid: () => clock.monotonicNow() < lastStart && clock.wallNow() < claim.wallSendDeadline };
}

/** Creates the claim acquirer of one process. */
export function createClaimAcquirer(options: ClaimAcquirerOptions): ClaimAcquirer {
    const { storeClient, writer, recorder, examiner, clock, eventLog, limits } = options;
    const retryAt = () => clock.wallNow() + retryDelayMilliseconds;

    const acquire = async (own: OwnClaim, deadline: number): Promise<AcquiredClaim | ClaimNotAcquired> => {
        const row = createClaimedRow(own, options.self);
        let expectedVersion: number | undefined = absentVersion;
        while (clock.monotonicNow() < deadline) {
            // Starts before the write, so that every reader of the row reads it after the start of the send window.
            const sendDeadline = clock.monotonicNow() + limits.sendWindowMilliseconds;
            const sendDeadlines = {
                sendDeadline,
                wallSendDeadline: clock.wallNow() + limits.sendWindowMilliseconds,
            };
            const writeDeadline = Math.min(deadline, sendDeadline);
            const answer = await writer.write({ rowKey: own.rowKey, expectedVersion, row, deadline: writeDeadline });
            switch (answer.outcome) {
                case ClaimWriteOutcome.Committed:
                    return createAcquiredClaim(row, answer.version ?? absentVersion, sendDeadlines);
                case ClaimWriteOutcome.NotWritten:
                    return abandon(own, Result.err(failWithStoreDown(retryAt())));
                case ClaimWriteOutcome.Unknown:
                    if (!isRowOfOtherClaim(answer.present, own)) {
                        return abandonUnsettled(own, row, expectedVersion);
                    }
                    break;
                case ClaimWriteOutcome.Conflict:
                    break;
            }
            const examined: ExaminedClaim = await awaitEnd(answer.present, own.callHash, deadline);
            if (examined.kind !== ExaminedKind.Free) {
                return abandon(own, describeExamined(examined, retryAt()));
            }
            expectedVersion = examined.version ?? absentVersion;
        }
        return abandon(own, Result.err(failWithDeadlinePassed()));
    };

    /** Waits while another attempt runs the call. */
    const awaitEnd = async (
        present: Row | undefined,
        callHash: string,
        deadline: number,
    ): Promise<ExaminedClaim> => {
        let current = present;
        while (current) {
            const examined = await examiner.examine(current, callHash, deadline);
            if (examined.kind !== ExaminedKind.Running || clock.monotonicNow() >= deadline) {
                return examined;
            }
            if (!examined.ownerReplied) {
                await clock.sleepUntil(Math.min(deadline, clock.monotonicNow() + pollIntervalMilliseconds));
                const rows = await storeClient.read([current.key], StorePriority.Claim, deadline);
                current = rows.isOk ? rows.value[0] : current;
            }
        }
        return { kind: ExaminedKind.Free, version: absentVersion };
    };

    const createAcquiredClaim = (row: ClaimRow, version: number, deadlines: SendDeadlines): AcquiredClaim => {
        eventLog.record(EventKind.ClaimTaken, { request: row.requestId, claim: row.claimId });
        return { kind: AcquireKind.Acquired, row, version, ...deadlines };
    };

    /** Ends an attempt whose writes can no longer take effect. */
    const abandon = (own: OwnClaim, result: Result<ServiceAnswer, Failure>): ClaimNotAcquired => {
        own.end(ClaimStage.NotSent);
        own.markSettled();
        return { kind: AcquireKind.NotAcquired, result };
    };

    /** Ends an attempt whose row may have been written or may still be written, and frees the key in that case. */
    const abandonUnsettled = (own: OwnClaim, row: ClaimRow, expectedVersion: number): ClaimNotAcquired => {
        own.end(ClaimStage.NotSent);
        const freeRow = createFreeRow(row, clock.wallNow(), limits);
        void recorder.record(own, expectedVersion, freeRow);
        return { kind: AcquireKind.NotAcquired, result: Result.err(failWithKeyStillClaimed(retryAt())) };
    };

    return { acquire };
}
