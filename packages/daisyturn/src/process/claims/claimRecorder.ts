import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { type ClaimRow, ClaimRowState, parseClaimRow } from "./claimRow.js";
import { type ClaimWriteAnswer, ClaimWriteOutcome, type ClaimWriter } from "./claimWriter.js";
import type { OwnClaim } from "./ownClaims.js";

/** How long one try waits for the table service. */
const tryLimitMilliseconds = 5_000;
const initialRetryDelayMilliseconds = 250;
const maxRetryDelayMilliseconds = 5_000;

/** Writes down how this process's attempts ended. */
export interface ClaimRecorder {
    /**
     * Writes the final row of an ended attempt, again and again until it stands or can't matter any more; then the
     * attempt is marked as settled.
     * @param expectedVersion version of the attempt's own row, or what its claim demanded if that write is not settled
     */
    record(claim: OwnClaim, expectedVersion: number, row: ClaimRow): Promise<void>;
}

/** What the recorder works with. */
export interface ClaimRecorderOptions {
    readonly writer: ClaimWriter;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Ends the tries when the process stops. */
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
                deadline: clock.monotonicNow() + tryLimitMilliseconds,
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

/** Version to write over in the next try; undefined if none is needed. */
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
    // Another's row or none: the key was given on. Own row in the wanted state: an earlier try took effect.
    if (!isOwn || present.state === row.state) {
        return undefined;
    }
    // The attempt's own claim, or Unknown written by a process that took this one for ended: the owner knows better.
    return isOverwritable(present.state) ? answer.present?.version : undefined;
}

function isOverwritable(state: ClaimRowState): boolean {
    return state === ClaimRowState.Claimed || state === ClaimRowState.Unknown;
}
