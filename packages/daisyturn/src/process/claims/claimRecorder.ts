import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { type ClaimRow, ClaimRowState, parseClaimRow } from "./claimRow.js";
import { type ClaimWriteAnswer, ClaimWriteOutcome, type ClaimWriter } from "./claimWriter.js";
import type { OwnClaim } from "./ownClaims.js";

/** Time limit of one attempt to write the row. */
const writeLimitMilliseconds = 5_000;
const initialRetryDelayMilliseconds = 250;
const maxRetryDelayMilliseconds = 5_000;

/** Records the outcome of this process's attempts in their claim rows. */
export interface ClaimRecorder {
    /**
     * Writes the final row of an ended attempt, with retries until the row is written or no longer belongs to the
     * attempt; then marks the attempt as settled.
     * @param expectedVersion version of the attempt's own row, or the version that its claim expected if the outcome of
     * that write is not settled
     */
    record(claim: OwnClaim, expectedVersion: number, row: ClaimRow): Promise<void>;
}

export interface ClaimRecorderOptions {
    readonly writer: ClaimWriter;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Aborted to end the retries when the process stops. */
    readonly signal?: AbortSignal;
}

/** Creates the recorder of one process. */
export function createClaimRecorder(options: ClaimRecorderOptions): ClaimRecorder {
    const { writer, clock, eventLog, signal } = options;

    const record = async (claim: OwnClaim, expectedVersion: number, row: ClaimRow) => {
        let version: number | undefined = expectedVersion;
        let retryDelay = initialRetryDelayMilliseconds;
        while (!signal?.aborted) {
            const answer: ClaimWriteAnswer = await writer.write({
                rowKey: claim.rowKey,
                expectedVersion: version,
                row,
                deadline: clock.monotonicNow() + writeLimitMilliseconds,
            });
            version = chooseNextVersion(answer, version, row);
            if (version === undefined) {
                eventLog.record(EventKind.ClaimRecorded, {
                    request: claim.requestId,
                    claim: claim.claimId,
                    state: row.state,
                });
                claim.markSettled();
                return;
            }
            if (answer.outcome !== ClaimWriteOutcome.Conflict) {
                await clock.sleepUntil(clock.monotonicNow() + retryDelay, signal);
                retryDelay = Math.min(2 * retryDelay, maxRetryDelayMilliseconds);
            }
        }
    };

    return { record };
}

/** Returns the version to overwrite in the next attempt; undefined if no further attempt is needed. */
function chooseNextVersion(answer: ClaimWriteAnswer, version: number, row: ClaimRow): number | undefined {
    switch (answer.outcome) {
        case ClaimWriteOutcome.Committed:
            return undefined;
        case ClaimWriteOutcome.NotWritten:
        case ClaimWriteOutcome.Unknown:
            return version;
        case ClaimWriteOutcome.Conflict:
            break;
    }
    const present = answer.present && parseClaimRow(answer.present.value);
    const isOwn = present?.claimId === row.claimId;
    // If the row is absent or has another claim, the key has been reassigned. If the own row has the intended state, an
    // earlier write took effect.
    if (!isOwn || present.state === row.state) {
        return undefined;
    }
    // The row is the attempt's own claim, or Unknown as written by a process that presumed this one ended. The owner
    // knows the actual outcome and overwrites it.
    return isOverwritable(present.state) ? answer.present?.version : undefined;
}

function isOverwritable(state: ClaimRowState): boolean {
    return state === ClaimRowState.Claimed || state === ClaimRowState.Unknown;
}
