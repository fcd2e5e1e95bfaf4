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

/** How long a caller is asked to wait before it asks again. */
export const retryDelayMilliseconds = 1_000;
/** How often the row of a claim is read whose owner does not reply. */
const pollIntervalMilliseconds = 500;

/** Whether an attempt has got its row. */
export enum AcquireKind {
    Acquired = "taken",
    NotAcquired = "not_taken",
}

/** The row is this attempt's. */
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

/** The attempt is over; the caller gets the result. */
export interface ClaimNotAcquired {
    readonly kind: AcquireKind.NotAcquired;
    readonly result: Result<ServiceAnswer, Failure>;
}

/** What the taking of claims works with. */
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

/** Gets rows for attempts. */
export interface ClaimAcquirer {
    /** Waits for another's running call up to the deadline (monotonic). An attempt that is not taken has ended. */
    acquire(own: OwnClaim, deadline: number): Promise<AcquiredClaim | ClaimNotAcquired>;
}

/**
 * Whether a row stands that keeps a write which is still on its way from taking effect: the write demands another
 * version than the row has, and rows of claims are deleted long after any write has arrived.
 */
function isRowOfOtherClaim(present: Row | undefined, own: OwnClaim): boolean {
    return present !== undefined && parseClaimRow(present.value).claimId !== own.claimId;
}

/**
 * Leave to send under a claim. Both clocks are asked, and the earlier end counts: the monotonic clock of a VM may stand
 * still while its host suspends it, and the wall clock may be set back.
 */
export function createSendPermit(clock: Clock, claim: AcquiredClaim, requestDeadline: number): SendPermit {
    const lastStart = Math.min(claim.sendDeadline, requestDeadline);
    return { isValid: () => clock.monotonicNow() < lastStart && clock.wallNow() < claim.wallSendDeadline };
}

/** Creates the taker of one process. */
export function createClaimAcquirer(options: ClaimAcquirerOptions): ClaimAcquirer {
    const { storeClient, writer, recorder, examiner, clock, eventLog, limits } = options;
    const retryAt = () => clock.wallNow() + retryDelayMilliseconds;

    const acquire = async (own: OwnClaim, deadline: number): Promise<AcquiredClaim | ClaimNotAcquired> => {
        const row = createClaimedRow(own, options.self);
        let expectedVersion: number | undefined = absentVersion;
        while (clock.monotonicNow() < deadline) {
            // Counted from before the write: whoever sees the row has seen it later than this.
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

    /** Waits while another runs the call. */
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

    /** Ends an attempt none of whose writes can take effect. */
    const abandon = (own: OwnClaim, result: Result<ServiceAnswer, Failure>): ClaimNotAcquired => {
        own.end(ClaimStage.NotSent);
        own.markSettled();
        return { kind: AcquireKind.NotAcquired, result };
    };

    /** Ends an attempt that may have its row or get it yet; it won't use it. */
    const abandonUnsettled = (own: OwnClaim, row: ClaimRow, expectedVersion: number): ClaimNotAcquired => {
        own.end(ClaimStage.NotSent);
        const freeRow = createFreeRow(row, clock.wallNow(), limits);
        void recorder.record(own, expectedVersion, freeRow);
        return { kind: AcquireKind.NotAcquired, result: Result.err(failWithKeyStillClaimed(retryAt())) };
    };

    return { acquire };
}
