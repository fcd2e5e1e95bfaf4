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
import { describeExamined, failWithDeadlinePassed, failWithKeyStillClaimed, viewExamined } from "./claimVerdicts.js";
import {
    type AcquiredClaim,
    AcquireKind,
    createClaimAcquirer,
    createSendPermit,
    retryDelayMilliseconds,
} from "./createClaimAcquirer.js";

/** Time limit of a lookup at the table service. */
const lookUpTimeoutMilliseconds = 2_000;

/** Options of {@link createClaimManager}. */
export interface ClaimManagerOptions {
    readonly self: ProcessIdentity;
    readonly storeClient: StoreClient;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
    readonly limits?: Partial<ClaimLimits>;
    /** Aborted once the process stops recording claims. */
    readonly signal?: AbortSignal;
}

/** A claim's row with only the status of the answer, because only the caller may read the answer itself. */
export interface ClaimInspection {
    readonly state: ClaimRowState;
    readonly claimId: string;
    readonly requestId: string;
    readonly owner: ProcessIdentity;
    /** Whether that incarnation of the owner is proved to have ended. */
    readonly hasOwnerEnded: boolean;
    readonly answerStatus?: number;
    readonly settledBy?: string;
    /** Wall-clock time in milliseconds. */
    readonly keepUntil?: number;
}

/** The claim manager of a process, with the operations for its shutdown and for operators. */
export interface ProcessClaimManager extends ClaimManager, AbandonedClaimSettler {
    /** Number of attempts whose outcome is not yet recorded in their rows. */
    countUnsettled(): number;
    /** Waits until the rows of all attempts are settled. Returns false if the deadline (monotonic) passed before. */
    drain(deadline: number): Promise<boolean>;
    /** Describes the row of a key to operators; undefined if it has no row. */
    inspect(scope: ClaimScope): Promise<Result<ClaimInspection | undefined, Failure>>;
}

/**
 * Creates the claim manager of one process, which claims a key, sends the call once and records the outcome.
 *
 * The row of a key passes from one attempt to the next only if the process of the earlier attempt itself confirms that
 * nothing it sent has run. After any other finding about an attempt, the key stays used.
 */
export function createClaimManager(options: ClaimManagerOptions): ProcessClaimManager {
    const { storeClient, clock, eventLog } = options;
    const limits: ClaimLimits = { ...defaultClaimLimits, ...options.limits };
    const ownClaims = createOwnClaims(options.ids);
    const writer = createClaimWriter(storeClient, options.ids);
    const recorder = createClaimRecorder({ ...options, writer });
    const examiner = createClaimExaminer({ ...options, ownClaims, writer, limits });
    const acquirer = createClaimAcquirer({ ...options, writer, recorder, examiner, limits });
    handleInquiries(options.network, options.self, ownClaims, clock);

    const runOnce = async (request: ClaimRequest, send: SendCall): Promise<Result<ServiceAnswer, Failure>> => {
        const refusal = validateIdempotencyKey(request.idempotencyKey);
        if (refusal) {
            return Result.err(refusal);
        }
        const rowKey = formatClaimRowKey(request);
        const callHash = hashCall(request.call);
        for (let other = ownClaims.find(rowKey); other; other = ownClaims.find(rowKey)) {
            const joinedResult = await joinOwnAttempt(other, callHash, request.deadline);
            if (joinedResult) {
                return joinedResult;
            }
        }
        // There must be no await since the key was found free, so that only one of two concurrent requests gets here.
        const own = ownClaims.open(rowKey, request.requestId, callHash);
        const claim = await acquirer.acquire(own, request.deadline);
        if (claim.kind === AcquireKind.NotAcquired) {
            recordReplay(claim.result, request);
            return claim.result;
        }
        return sendClaimed(own, claim, request, send);
    };

    /** Waits for another request of this process with the same key. Returns undefined once that has freed the key. */
    const joinOwnAttempt = async (other: OwnClaim, callHash: string, deadline: number) => {
        const examined = await awaitOwnAttempt(other, callHash, deadline);
        if (examined.kind !== ExaminedKind.Free) {
            return describeExamined(examined, clock.wallNow() + retryDelayMilliseconds);
        }
        if (!await waitUntilResolved(other.settled, clock, deadline)) {
            return Result.err<ServiceAnswer, Failure>(
                failWithKeyStillClaimed(clock.wallNow() + retryDelayMilliseconds),
            );
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

    const sendClaimed = async (own: OwnClaim, claim: AcquiredClaim, request: ClaimRequest, send: SendCall) => {
        const permit = createSendPermit(clock, claim, request.deadline);
        if (!permit.isValid()) {
            return release(own, claim, request, failWithDeadlinePassed());
        }
        own.startSending();
        const result = await send(request.call, permit).catch(createUnexpectedFailure);
        if (result.isOk) {
            own.end(ClaimStage.Answered, result.value);
            const row = createAnsweredRow(claim.row, result.value, clock.wallNow(), limits);
            void recorder.record(own, claim.version, row);
            return result;
        }
        if (result.error.verdict === ExecutionVerdict.NotRun) {
            return release(own, claim, request, result.error);
        }
        own.end(ClaimStage.MayHaveRun);
        const row = createUnknownRow(claim.row, clock.wallNow(), limits);
        void recorder.record(own, claim.version, row);
        return result;
    };

    /** Frees the key of a call that did not run. A retry is offered to the caller only once the key is free. */
    const release = async (own: OwnClaim, claim: AcquiredClaim, request: ClaimRequest, failure: Failure) => {
        own.end(ClaimStage.NotSent);
        const row = createFreeRow(claim.row, clock.wallNow(), limits);
        void recorder.record(own, claim.version, row);
        const isFree = await waitUntilResolved(own.settled, clock, request.deadline);
        const reported = isFree ? failure : failWithKeyStillClaimed(clock.wallNow() + retryDelayMilliseconds);
        return Result.err<ServiceAnswer, Failure>(reported);
    };

    const createUnexpectedFailure = (error: unknown) => {
        eventLog.record(EventKind.Fault, { reason: String(error) });
        const failure = mayHaveRun(FailureReason.Internal, "The call may have run; sending it failed unexpectedly.");
        return Result.err<ServiceAnswer, Failure>(failure);
    };

    const recordReplay = (result: Result<ServiceAnswer, Failure>, request: ClaimRequest) => {
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
        const deadline = clock.monotonicNow() + lookUpTimeoutMilliseconds;
        const rows = await storeClient.read([rowKey], StorePriority.Claim, deadline);
        if (rows.isErr) {
            return Result.err(rows.error);
        }
        const present = rows.value[0];
        const examined = present ? await examiner.examine(present, undefined, deadline) : { kind: ExaminedKind.Free };
        return Result.ok(viewExamined(examined));
    };

    const inspect = async (scope: ClaimScope): Promise<Result<ClaimInspection | undefined, Failure>> => {
        const deadline = clock.monotonicNow() + lookUpTimeoutMilliseconds;
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
