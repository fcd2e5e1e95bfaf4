import type { IdSource } from "daisyturn-utils";
import type { ServiceAnswer } from "../../ports/plainService.js";

/** How far an attempt of this process to run a call has come. */
export enum ClaimStage {
    /** The row is being written; nothing was sent. */
    Claiming = "claiming",
    Sending = "sending",
    Answered = "answered",
    MayHaveRun = "may_have_run",
    /** Nothing was sent, or what was sent did not run; this attempt never sends again. */
    NotSent = "not_sent",
}

/** Stages after which an attempt sends nothing more. */
export type FinalStage = ClaimStage.Answered | ClaimStage.MayHaveRun | ClaimStage.NotSent;

/** One attempt of this process to run a call. */
export interface OwnClaim {
    readonly rowKey: string;
    readonly claimId: string;
    readonly requestId: string;
    readonly callHash: string;
    /** Resolves once the stage is a final one. */
    readonly ended: Promise<void>;
    /** Resolves once the row can no longer say otherwise than this process knows. */
    readonly settled: Promise<void>;
    stage(): ClaimStage;
    /** With Answered. */
    answer(): ServiceAnswer | undefined;
    startSending(): void;
    end(stage: FinalStage, answer?: ServiceAnswer): void;
    /** Forgets the attempt. */
    markSettled(): void;
}

/**
 * The attempts of this process whose rows are not settled. What is not in here, this process neither sends nor will
 * send: that is what makes its word about a claim a proof.
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
            throw new Error("this process has a claim on the row already");
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

type OwnClaimNames = Pick<OwnClaim, "rowKey" | "claimId" | "requestId" | "callHash">;

function createOwnClaim(names: OwnClaimNames, forget: () => void): OwnClaim {
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
        ...names,
        ended,
        settled,
        stage: () => stage,
        answer: () => answer,
        startSending: () => {
            stage = ClaimStage.Sending;
        },
        end: (finalStage, givenAnswer) => {
            stage = finalStage;
            answer = givenAnswer;
            resolveEnded();
        },
        markSettled: () => {
            forget();
            resolveSettled();
        },
    };
}
