import type { IdSource } from "daisyturn-utils";
import type { ServiceAnswer } from "../../ports/plainService.js";

/** Progress of an attempt of this process to run a call. */
export enum ClaimStage {
    /** The row is being written; nothing was sent. */
    Claiming = "claiming",
    Sending = "sending",
    Answered = "answered",
    MayHaveRun = "may_have_run",
    /** The call was not sent, or was sent and did not run; this attempt never sends again. */
    NotSent = "not_sent",
}

/** Stages in which an attempt sends nothing more. */
export type FinalStage = ClaimStage.Answered | ClaimStage.MayHaveRun | ClaimStage.NotSent;

/** An attempt of this process to run a call. */
export interface OwnClaim {
    readonly rowKey: string;
    readonly claimId: string;
    readonly requestId: string;
    readonly callHash: string;
    /** Resolves once the stage is final. */
    readonly ended: Promise<void>;
    /** Resolves once the row can no longer differ from the outcome known to this process. */
    readonly settled: Promise<void>;
    stage(): ClaimStage;
    /** With Answered. */
    answer(): ServiceAnswer | undefined;
    startSending(): void;
    end(stage: FinalStage, answer?: ServiceAnswer): void;
    /** Removes the attempt from the table. */
    markSettled(): void;
}

/**
 * Attempts of this process whose rows are not settled. This process neither sends nor will send a call that is not in
 * this table, so its reply to an inquiry is proof.
 */
export interface OwnClaims {
    /** Starts an attempt; the row must have none. */
    open(rowKey: string, requestId: string, callHash: string): OwnClaim;
    find(rowKey: string): OwnClaim | undefined;
    all(): readonly OwnClaim[];
}

/** Creates the table of one process. */
export function createOwnClaims(ids: IdSource): OwnClaims {
    const claims = new Map<string, OwnClaim>();

    const open = (rowKey: string, requestId: string, callHash: string) => {
        if (claims.has(rowKey)) {
            throw new Error("this process already has a claim on the row");
        }
        const claim = createOwnClaim(
            { rowKey, claimId: ids.next("clm"), requestId, callHash },
            () => claims.delete(rowKey),
        );
        claims.set(rowKey, claim);
        return claim;
    };

    return {
        open,
        find: rowKey => claims.get(rowKey),
        all: () => [...claims.values()],
    };
}

type OwnClaimIds = Pick<OwnClaim, "rowKey" | "claimId" | "requestId" | "callHash">;

function createOwnClaim(ids: OwnClaimIds, remove: () => void): OwnClaim {
    let stage = ClaimStage.Claiming;
    let answer: ServiceAnswer | undefined;
    let resolveEnded: () => void = () => undefined;
    let resolveSettled: () => void = () => undefined;
    const ended = new Promise<void>(resolve => {
        resolveEnded = resolve;
    });
    const settled = new Promise<void>(resolve => {
        resolveSettled = resolve;
    });
    return {
        ...ids,
        ended,
        settled,
        stage: () => stage,
        answer: () => answer,
        startSending: () => {
            stage = ClaimStage.Sending;
        },
        end: (finalStage, finalAnswer) => {
            stage = finalStage;
            answer = finalAnswer;
            resolveEnded();
        },
        markSettled: () => {
            remove();
            resolveSettled();
        },
    };
}
