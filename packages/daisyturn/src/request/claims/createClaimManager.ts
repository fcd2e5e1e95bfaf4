import { type Clock, EventKind, type EventLog, ExecutionVerdict, type Failure, FailureReason } from "daisyturn-utils";
import { type IdSource, mayHaveRun } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ServiceAnswer } from "../../ports/plainService.js";
import type { Row } from "../../ports/tableService.js";
import {
    type AbandonedClaimSettler,
    type ClaimLimits,
    type ClaimRow,
    type ClaimRowState,
    type ClaimScope,
    ClaimStage,
    createAnsweredRow,
    createClaimExaminer,
    createClaimRecorder,
    createClaimWriter,
    createFreeRow,
    createOwnClaims,
    createUnknownRow,
    defaultClaimLimits,
    type ExaminedClaim,
    ExaminedKind,
    formatClaimRowKey,
    handleInquiries,
    hashCall,
    type OwnClaim,
    parseClaimRow,
    validateIdempotencyKey,
    waitUntilResolved,
} from "../../process/claims/index.js";
import type { Membership, PeerNetwork, ProcessIdentity } from "../../process/peers/index.js";
import { type StoreClient, StorePriority } from "../../process/store/index.js";
import type { ClaimManager, ClaimRequest, SendCall } from "./claimManager.js";
import { describeExamined, failWithDeadlinePassed, failWithKeyHeld, viewExamined } from "./claimVerdicts.js";
import {
    type AcquiredClaim,
    AcquireKind,
    createClaimAcquirer,
    createSendPermit,
    retryAfterMilliseconds,
} from "./createClaimAcquirer.js";

/** How long a look-up waits for the table service. */
const lookUpLimitMilliseconds = 2_000;

/** What the keeper works with. */
export interface ClaimManagerOptions {
    readonly self: ProcessIdentity;
    readonly storeClient: StoreClient;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
    readonly limits?: Partial<ClaimLimits>;
    /** Aborted once the process has nothing more to record. */
    readonly signal?: AbortSignal;
}

/** A claim's row without the caller's answer, which is the caller's alone. */
export interface ClaimInspection {
    readonly state: ClaimRowState;
    readonly claimId: string;
    readonly requestId: string;
    readonly owner: ProcessIdentity;
    /** Whether that run of the owner is proved to have ended. */
    readonly hasOwnerEnded: boolean;
    readonly answerStatus?: number;
    readonly settledBy?: string;
    /** Wall-clock time in milliseconds. */
    readonly keepUntil?: number;
}

/** The keeper of a process, with what the process needs at its end. */
export interface ProcessClaimManager extends ClaimManager, AbandonedClaimSettler {
    /** Attempts whose rows do not say yet how they ended. */
    countUnsettled(): number;
    /** Waits until the rows of all attempts are settled; false if the deadline (monotonic) passed before. */
    drain(deadline: number): Promise<boolean>;
    /** What operators are shown of a key; undefined if it has no row. */
    inspect(scope: ClaimScope): Promise<Result<ClaimInspection | undefined, Failure>>;
}

/**
 * Creates the keeper of one process: claim, send once, record.
 *
 * A key's row goes from one attempt to the next only by the word of the attempt's own process that it sent nothing
 * that ran. Everything else that can be found out of an attempt leaves the key used up.
 */
export function createClaimManager(options: ClaimManagerOptions): ProcessClaimManager {
    const { storeClient, clock, eventLog } = options;
    const limits: ClaimLimits = { ...defaultClaimLimits, ...options.limits };
    const ownClaims = createOwnClaims(options.ids);
    const writer = createClaimWriter(storeClient, options.ids);
    const recorder = createClaimRecorder({ ...options, writer });
    const examiner = createClaimExaminer({ ...options, ownClaims, writer, limits });
    const taker = createClaimAcquirer({ ...options, writer, recorder, examiner, limits });
    handleInquiries(options.network, options.self, ownClaims, clock);

    const runOnce = async (request: ClaimRequest, send: SendCall): Promise<Result<ServiceAnswer, Failure>> => {
        const refusal = validateIdempotencyKey(request.idempotencyKey);
        if (refusal) {
            return Result.err(refusal);
        }
        const rowKey = formatClaimRowKey(request);
        const callHash = hashCall(request.call);
        for (let other = ownClaims.find(rowKey); other; other = ownClaims.find(rowKey)) {
            const joined = await joinOwnAttempt(other, callHash, request.deadline);
            if (joined) {
                return joined;
            }
        }
        // No await since the row was found free: of two requests at once only one may get here.
        const own = ownClaims.open(rowKey, request.requestId, callHash);
        const taken = await taker.acquire(own, request.deadline);
        if (taken.kind === AcquireKind.NotAcquired) {
            noteReplay(taken.result, request);
            return taken.result;
        }
        return sendClaimed(own, taken, request, send);
    };

    /** Waits for another request of this process with the same key; undefined once it has made way. */
    const joinOwnAttempt = async (other: OwnClaim, callHash: string, deadline: number) => {
        const examined = await awaitOwnAttempt(other, callHash, deadline);
        if (examined.kind !== ExaminedKind.Free) {
            return describeExamined(examined, clock.wallNow() + retryAfterMilliseconds);
        }
        if (!await waitUntilResolved(other.settled, clock, deadline)) {
            return Result.err<ServiceAnswer, Failure>(failWithKeyHeld(clock.wallNow() + retryAfterMilliseconds));
        }
        return undefined;
    };

    const awaitOwnAttempt = async (own: OwnClaim, callHash: string, deadline: number): Promise<ExaminedClaim> => {
        if (own.callHash !== callHash) {
            return { kind: ExaminedKind.KeyReused };
        }
        await waitUntilResolved(own.ended, clock, deadline);
        return examineOwnAttempt(own);
    };

    const sendClaimed = async (own: OwnClaim, taken: AcquiredClaim, request: ClaimRequest, send: SendCall) => {
        const permit = createSendPermit(clock, taken, request.deadline);
        if (!permit.mayStart()) {
            return release(own, taken, request, failWithDeadlinePassed());
        }
        own.startSending();
        const result = await send(request.call, permit).catch(describeThrown);
        if (result.isOk) {
            own.end(ClaimStage.Answered, result.value);
            const row = createAnsweredRow(taken.row, result.value, clock.wallNow(), limits);
            void recorder.record(own, taken.version, row);
            return result;
        }
        if (result.error.verdict === ExecutionVerdict.NotRun) {
            return release(own, taken, request, result.error);
        }
        own.end(ClaimStage.MayHaveRun);
        const row = createUnknownRow(taken.row, clock.wallNow(), limits);
        void recorder.record(own, taken.version, row);
        return result;
    };

    /** Frees the key of a call that did not run. The caller is told of a new try only once the key is free. */
    const release = async (own: OwnClaim, taken: AcquiredClaim, request: ClaimRequest, failure: Failure) => {
        own.end(ClaimStage.NotSent);
        const row = createFreeRow(taken.row, clock.wallNow(), limits);
        void recorder.record(own, taken.version, row);
        const isFree = await waitUntilResolved(own.settled, clock, request.deadline);
        const told = isFree ? failure : failWithKeyHeld(clock.wallNow() + retryAfterMilliseconds);
        return Result.err<ServiceAnswer, Failure>(told);
    };

    const describeThrown = (error: unknown) => {
        eventLog.record(EventKind.Fault, { reason: String(error) });
        const failure = mayHaveRun(FailureReason.Internal, "The call may have run; sending it failed unexpectedly.");
        return Result.err<ServiceAnswer, Failure>(failure);
    };

    const noteReplay = (result: Result<ServiceAnswer, Failure>, request: ClaimRequest) => {
        if (result.isOk) {
            eventLog.record(EventKind.ClaimReplayed, { request: request.requestId });
        }
    };

    const lookUp = async (partner: string, account: string, service: string, key: string) => {
        const rowKey = formatClaimRowKey({ partner, account, service, idempotencyKey: key });
        const own = ownClaims.find(rowKey);
        if (own) {
            return Result.ok(viewExamined(examineOwnAttempt(own)));
        }
        const deadline = clock.monotonicNow() + lookUpLimitMilliseconds;
        const rows = await storeClient.read([rowKey], StorePriority.Claim, deadline);
        if (rows.isErr) {
            return Result.err(rows.error);
        }
        const present = rows.value[0];
        const examined = present ? await examiner.examine(present, undefined, deadline) : { kind: ExaminedKind.Free };
        return Result.ok(viewExamined(examined));
    };

    const inspect = async (scope: ClaimScope): Promise<Result<ClaimInspection | undefined, Failure>> => {
        const deadline = clock.monotonicNow() + lookUpLimitMilliseconds;
        const rows = await storeClient.read([formatClaimRowKey(scope)], StorePriority.Claim, deadline);
        return rows.map(([present]) => present && inspectRow(parseClaimRow(present.value)));
    };

    const inspectRow = (row: ClaimRow): ClaimInspection => ({
        state: row.state,
        claimId: row.claimId,
        requestId: row.requestId,
        owner: row.owner,
        settledBy: row.settledBy,
        keepUntil: row.keepUntil,
        hasOwnerEnded: options.membership.hasEnded(row.owner),
        answerStatus: row.answer?.status,
    });

    const drain = async (deadline: number) => {
        const settled = Promise.all(ownClaims.all().map(own => own.settled));
        return waitUntilResolved(settled, clock, deadline);
    };

    const settleAbandoned = async (present: Row, deadline: number) => {
        await examiner.examine(present, undefined, deadline);
    };

    return { runOnce, lookUp, inspect, drain, settleAbandoned, countUnsettled: () => ownClaims.all().length };
}

function examineOwnAttempt(own: OwnClaim): ExaminedClaim {
    switch (own.stage()) {
        case ClaimStage.Claiming:
        case ClaimStage.Sending:
            return { kind: ExaminedKind.Running };
        case ClaimStage.Answered:
            return { kind: ExaminedKind.Answered, answer: own.answer() };
        case ClaimStage.MayHaveRun:
            return { kind: ExaminedKind.MayHaveRun };
        case ClaimStage.NotSent:
            return { kind: ExaminedKind.Free };
    }
}
