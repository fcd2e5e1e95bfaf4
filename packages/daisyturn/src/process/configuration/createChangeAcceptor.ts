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

/** Brings changes into the store, and tells what became of them. */
export interface ChangeAcceptor {
    /** The accepted change, also where the write id was accepted before. */
    accept(request: ChangeRequest, deadline: number): Promise<Result<AcceptedChange, Failure>>;
    outcomeOf(partner: string, writeId: string, deadline: number): Promise<Result<ChangeOutcome, Failure>>;
    cancel(partner: string, writeId: string, deadline: number): Promise<Result<ChangeOutcome, Failure>>;
}

/** What the acceptor needs. */
export interface ChangeAcceptorOptions {
    readonly store: ConfigurationStore;
    readonly activeVersion: ActiveVersion;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly ids: IdSource;
    readonly timing: ConfigurationTiming;
    /** Takes over what the store has beyond the version in force. */
    readonly catchUpFromStore: (deadline: number) => Promise<Result<void, Failure>>;
}

type Acceptance = Result<AcceptedChange, Failure>;

/** Creates the part of the keeper that validates changes and commits them. */
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

    /** Undefined: the store and what is in force here were not at the same generation; try again. */
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
        // If a push came in during the read, the head's version is old and the transaction will be rejected.
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
        // The row that stands in the way tells the outcome, be it of the change or of an earlier cancellation.
        return hasConflict(answer)
            ? await outcomeOf(partner, writeId, deadline)
            : err(describeFailedCommit(answer, clock.wallNow()));
    };

    return { accept, outcomeOf, cancel };
}

/**
 * Whether the transaction is known never to take effect, or its effect can be read. After an unknown outcome, a row
 * found changed tells as much: a version never comes back, so what is still under way will fail on it too.
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

/** This call sent nothing, but an earlier one under the same write id may still take effect. */
function createReadFailure(failure: Failure): Failure {
    return mayHaveRun(
        failure.reason,
        `this call changed nothing; ask again with the same write id: ${failure.message}`,
    );
}
