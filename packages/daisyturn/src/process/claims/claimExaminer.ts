import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { ServiceAnswer } from "../../ports/plainService.js";
import { absentVersion, type Row } from "../../ports/tableService.js";
import type { Membership, PeerNetwork, ProcessIdentity } from "../peers/index.js";
import { type ClaimInquiry, InquiryReplyKind, queryOwner, replyToInquiry } from "./claimInquiry.js";
import type { ClaimLimits } from "./claimLimits.js";
import { createClaimObservations } from "./claimObservations.js";
import { type ClaimRow, ClaimRowState, createUnknownRow, parseClaimRow } from "./claimRow.js";
import { ClaimWriteOutcome, type ClaimWriter } from "./claimWriter.js";
import type { OwnClaims } from "./ownClaims.js";

/** Result of examining an existing claim row. */
export enum ExaminedKind {
    /** The key may be claimed by overwriting this version of the row. */
    Free = "free",
    Answered = "answered",
    /** Answered, but the answer was too large to be stored. */
    AnsweredNotKept = "answered_not_kept",
    MayHaveRun = "may_have_run",
    /** The owner is running the call, or may be. */
    Running = "running",
    /** The key was used for a different call. */
    KeyReused = "key_reused",
}

export interface ExaminedClaim {
    readonly kind: ExaminedKind;
    /** With Free. */
    readonly version?: number;
    /** With Answered. */
    readonly answer?: ServiceAnswer;
    /** With Running: whether the owner itself reported it. */
    readonly ownerReplied?: boolean;
}

/** Determines the state of claims of other processes and settles abandoned ones. */
export interface ClaimExaminer {
    /**
     * Takes up to the time for which an owner may delay its reply.
     * @param callHash hash of the call that the key is to be claimed for; undefined to accept any call
     * @param deadline monotonic time
     */
    examine(present: Row, callHash: string | undefined, deadline: number): Promise<ExaminedClaim>;
}

/** Dependencies and limits of the examiner. */
export interface ClaimExaminerOptions {
    readonly self: ProcessIdentity;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly ownClaims: OwnClaims;
    readonly writer: ClaimWriter;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly limits: ClaimLimits;
}

/** The row was written by another process while this one tried to settle it. */
interface ChangedRow {
    /** Undefined if the row is now absent. */
    readonly changedTo: Row | undefined;
}

/**
 * Creates the examiner of one process.
 *
 * A claim of another process is settled only with proof that its owner sends nothing more: the owner's own reply, or
 * the end of that incarnation. In the second case the row becomes Unknown, never Free: the owner may have sent the call
 * before it ended. Only the owner's reply that it did not send the call frees a key.
 */
export function createClaimExaminer(options: ClaimExaminerOptions): ClaimExaminer {
    const { self, network, membership, ownClaims, writer, clock, eventLog, limits } = options;
    const observations = createClaimObservations(clock);

    const examine = async (present: Row, callHash: string | undefined, deadline: number): Promise<ExaminedClaim> => {
        let current = present;
        for (;;) {
            const row = parseClaimRow(current.value);
            if (row.state !== ClaimRowState.Free && callHash !== undefined && row.callHash !== callHash) {
                return { kind: ExaminedKind.KeyReused };
            }
            const examined = await examineState(current, row, deadline);
            if (!("changedTo" in examined)) {
                return examined;
            }
            if (!examined.changedTo) {
                return { kind: ExaminedKind.Free, version: absentVersion };
            }
            current = examined.changedTo;
        }
    };

    const examineState = (present: Row, row: ClaimRow, deadline: number) => {
        switch (row.state) {
            case ClaimRowState.Free:
                return { kind: ExaminedKind.Free, version: present.version };
            case ClaimRowState.Answered:
                return row.answer
                    ? { kind: ExaminedKind.Answered, answer: row.answer }
                    : { kind: ExaminedKind.AnsweredNotKept };
            case ClaimRowState.Unknown:
                return { kind: ExaminedKind.MayHaveRun };
            case ClaimRowState.Claimed:
                return examineClaimed(present, row, deadline);
        }
    };

    const examineClaimed = async (
        present: Row,
        row: ClaimRow,
        deadline: number,
    ): Promise<ExaminedClaim | ChangedRow> => {
        const firstSeenAt = observations.record(present.key, present.version);
        if (membership.hasEnded(row.owner)) {
            return settleAfterWait(present, row, firstSeenAt, deadline);
        }
        const reply = await inquire(present, row, deadline);
        switch (reply.kind) {
            case InquiryReplyKind.Answered:
                return { kind: ExaminedKind.Answered, answer: reply.answer };
            case InquiryReplyKind.MayHaveRun:
                return { kind: ExaminedKind.MayHaveRun };
            case InquiryReplyKind.NotSent:
                return { kind: ExaminedKind.Free, version: present.version };
            case InquiryReplyKind.Forgotten:
                return settle(present, row, deadline);
            case InquiryReplyKind.Ended:
                return settleAfterWait(present, row, firstSeenAt, deadline);
            case InquiryReplyKind.Running:
                return { kind: ExaminedKind.Running, ownerReplied: true };
            case InquiryReplyKind.NoReply:
                return { kind: ExaminedKind.Running, ownerReplied: false };
        }
    };

    const inquire = (present: Row, row: ClaimRow, deadline: number) => {
        const inquiry: ClaimInquiry = {
            rowKey: present.key,
            claimId: row.claimId,
            incarnation: row.owner.incarnation,
        };
        return row.owner.processId === self.processId
            ? replyToInquiry(inquiry, self, ownClaims, clock)
            : queryOwner(network, row.owner, inquiry, clock, deadline);
    };

    const settleAfterWait = (present: Row, row: ClaimRow, firstSeenAt: number, deadline: number) => {
        const settleFrom = firstSeenAt + limits.settleWaitMilliseconds;
        return clock.monotonicNow() < settleFrom
            ? { kind: ExaminedKind.Running, ownerReplied: false }
            : settle(present, row, deadline);
    };

    const settle = async (present: Row, row: ClaimRow, deadline: number): Promise<ExaminedClaim | ChangedRow> => {
        const answer = await writer.write({
            rowKey: present.key,
            expectedVersion: present.version,
            row: createUnknownRow(row, clock.wallNow(), limits, self.processId),
            deadline,
        });
        switch (answer.outcome) {
            case ClaimWriteOutcome.Committed:
                observations.forget(present.key);
                eventLog.record(EventKind.ClaimSettled, {
                    request: row.requestId,
                    claim: row.claimId,
                    owner: row.owner.processId,
                });
                return { kind: ExaminedKind.MayHaveRun };
            case ClaimWriteOutcome.Conflict:
                return { changedTo: answer.present };
            case ClaimWriteOutcome.NotWritten:
            case ClaimWriteOutcome.Unknown:
                return { kind: ExaminedKind.Running, ownerReplied: false };
        }
    };

    return { examine };
}
