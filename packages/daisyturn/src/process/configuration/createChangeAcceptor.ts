import {
    type Clock,
    EventKind,
    type EventLog,
    type Failure,
    FailureReason,
    type IdSource,
    mayHaveRun,
    notRun,
    type Random,
} from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { RejectionCause, type TransactionAnswer, TransactionOutcome } from "../../ports/tableService.js";
import type { AcceptedChange, ChangeRequest } from "../../version/configurationChange.js";
import { validateChange } from "../../version/validateChange.js";
import { isSameChange, type WriteValue } from "./configurationRows.js";
import type { ConfigurationTiming } from "./configurationTiming.js";
import type { ActiveVersion } from "./createActiveVersion.js";
import type { ConfigurationStore, StoreState } from "./createConfigurationStore.js";
import { type ChangeOutcome, ChangeState } from "./fleetConfigurationManager.js";

/** Commits changes to the store, and reports their outcomes. */
export interface ChangeAcceptor {
    /** Returns the accepted change, also if it was accepted earlier under the same write id. */
    accept(request: ChangeRequest, deadline: number): Promise<Result<AcceptedChange, Failure>>;
    outcomeOf(partner: string, writeId: string, deadline: number): Promise<Result<ChangeOutcome, Failure>>;
    cancel(partner: string, writeId: string, deadline: number): Promise<Result<ChangeOutcome, Failure>>;
}

export interface ChangeAcceptorOptions {
    readonly store: ConfigurationStore;
    readonly activeVersion: ActiveVersion;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly ids: IdSource;
    readonly timing: ConfigurationTiming;
    /** Advances the active version to the generation of the store. */
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

type Acceptance = Result<AcceptedChange, Failure>;

/** Creates the part of the configuration manager that validates and commits changes. */
export function createChangeAcceptor(options: ChangeAcceptorOptions): ChangeAcceptor {
    const { store, activeVersion, clock, random, eventLog, ids, timing } = options;

    const accept = async (request: ChangeRequest, deadline: number): Promise<Acceptance> => {
        while (clock.monotonicNow() < deadline) {
            const activeGeneration = activeVersion.current().generation;
            const state = await store.readState(request.partner, request.writeId, activeGeneration, deadline);
            if (state.isErr) {
                return err(createReadFailure(state.error));
            }
            const acceptance = state.value.write
                ? await answerRepeated(request, state.value.write, deadline)
                : await tryOnce(request, state.value, activeGeneration, deadline);
            if (acceptance) {
                return acceptance;
            }
        }
        return err(notRun(FailureReason.Conflict, "other changes came first each time", clock.wallNow()));
    };

    /** Returns undefined if the change must be tried again: the active version was behind, or a commit lost a race. */
    const tryOnce = async (
        request: ChangeRequest,
        state: StoreState,
        activeGeneration: number,
        deadline: number,
    ): Promise<Acceptance | undefined> => {
        const { expectedGeneration } = request;
        if (state.generation < activeGeneration) {
            return err(rejectOutdatedStore(state.generation, activeGeneration));
        }
        if (expectedGeneration !== undefined && expectedGeneration !== state.generation) {
            return err(notRun(FailureReason.Conflict, `the fleet stands at generation ${state.generation}`));
        }
        if (state.generation > activeGeneration) {
            const caughtUp = await options.catchUpFromStore(deadline);
            return caughtUp.isErr ? err(createReadFailure(caughtUp.error)) : undefined;
        }
        // If a push arrived during the read, the head version that was read is outdated: the transaction is rejected.
        return await commit(request, state, deadline);
    };

    const commit = async (
        request: ChangeRequest,
        state: StoreState,
        deadline: number,
    ): Promise<Acceptance | undefined> => {
        const valid = validateChange(activeVersion.current(), request);
        if (valid.isErr) {
            return err(valid.error);
        }
        const change = createAcceptedChange(request, valid.value.generation, clock.wallNow());
        const answer = await store.commit(ids.next("cfg"), change, state, deadline);
        if (answer.outcome === TransactionOutcome.Committed) {
            const { generation, partner, writeId } = change;
            eventLog.record(EventKind.ConfigurationAccepted, { generation, partner, write: writeId });
            return ok(change);
        }
        if (hasConflict(answer)) {
            await clock.sleepUntil(clock.monotonicNow() + random.fraction() * timing.raceBackoffMilliseconds);
            return undefined;
        }
        return err(describeFailedCommit(answer, clock.wallNow()));
    };

    const answerRepeated = async (request: ChangeRequest, write: WriteValue, deadline: number): Promise<Acceptance> => {
        if (write.generation === undefined) {
            return err(notRun(FailureReason.Conflict, "the write id was cancelled"));
        }
        if (!isSameChange(write, request)) {
            return err(notRun(FailureReason.IdempotencyKeyReused, "the write id stands for another change"));
        }
        const changes = await store.readChanges([write.generation], deadline);
        const change = changes.isOk ? changes.value[0] : undefined;
        return change
            ? ok(change)
            : err(mayHaveRun(FailureReason.StoreUnavailable, `accepted as generation ${write.generation}`));
    };

    const rejectOutdatedStore = (storeGeneration: number, activeGeneration: number): Failure => {
        const message = `the store stands at generation ${storeGeneration}, behind ${activeGeneration} in force`;
        eventLog.record(EventKind.Fault, { generation: activeGeneration, reason: message });
        return notRun(FailureReason.Internal, message);
    };

    const outcomeOf = async (partner: string, writeId: string, deadline: number) => {
        const state = await store.readState(partner, writeId, 0, deadline);
        return state.map(found => describeOutcome(found.write));
    };

    const cancel = async (
        partner: string,
        writeId: string,
        deadline: number,
    ): Promise<Result<ChangeOutcome, Failure>> => {
        const answer = await store.cancel(ids.next("cfg"), partner, writeId, deadline);
        if (answer.outcome === TransactionOutcome.Committed) {
            return ok({ state: ChangeState.Cancelled });
        }
        // The row that caused the conflict holds the outcome, of the change or of an earlier cancellation.
        return hasConflict(answer)
            ? await outcomeOf(partner, writeId, deadline)
            : err(describeFailedCommit(answer, clock.wallNow()));
    };

    return { accept, outcomeOf, cancel };
}

/**
 * Whether the transaction is known never to take effect, or its effect can be read. After an unknown outcome, a changed
 * row proves the same: versions are never reused, so a send that is still in flight will fail on that row too.
 */
function hasConflict(answer: TransactionAnswer): boolean {
    const isRejected = answer.outcome === TransactionOutcome.Rejected
        && answer.cause === RejectionCause.ConditionFailed;
    return isRejected || (answer.conflicts ?? []).length > 0;
}

function describeFailedCommit(answer: TransactionAnswer, wallNow: number): Failure {
    return answer.outcome === TransactionOutcome.Unknown
        ? mayHaveRun(FailureReason.OutcomeUnknown, "ask again with the same write id")
        : notRun(FailureReason.StoreUnavailable, "the store took nothing", wallNow);
}

function describeOutcome(write: WriteValue | undefined): ChangeOutcome {
    if (!write) {
        return { state: ChangeState.NotAccepted };
    }
    const { generation } = write;
    return generation === undefined
        ? { state: ChangeState.Cancelled }
        : { state: ChangeState.Accepted, generation };
}

function createAcceptedChange(request: ChangeRequest, generation: number, acceptedAt: number): AcceptedChange {
    const { writeId, partner, operator, changes } = request;
    return { generation, writeId, partner, operator, changes, acceptedAt };
}

/** This call sent no transaction, but one sent earlier under the same write id may still take effect. */
function createReadFailure(failure: Failure): Failure {
    return mayHaveRun(
        failure.reason,
        `this call changed nothing; ask again with the same write id: ${failure.message}`,
    );
}
