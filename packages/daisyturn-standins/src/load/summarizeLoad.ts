import { request } from "undici";
import type { Fleet } from "../fleet/launchFleet.js";
import { CallOutcome } from "./callerClient.js";
import type { MixedRecord } from "./mixedLoad.js";

/** Results of a load, as numbers of requests unless stated otherwise. */
export interface LoadSummary {
    readonly sent: number;
    readonly answered: number;
    /** Answers that differ from the engine's expected answer. */
    readonly wrong: number;
    readonly refused: number;
    /** Failed with the verdict that the request may have run. */
    readonly unknown: number;
    /** Requests that were retried at another entry process. */
    readonly moved: number;
    /** Executions by plain services beyond the first of each call. */
    readonly doubled: number;
    /** Refused with the verdict that the request did not run, although a plain service ran it. */
    readonly falselyRefused: number;
    /** Requests without a final answer, and answered calls that no plain service ran. */
    readonly lost: number;
}

interface ExecutionList {
    readonly executions: readonly { readonly idempotencyKey?: string; readonly body: string; }[];
}

/** Compares the answers that callers received with the calls that the plain services ran. */
export async function summarizeLoad(
    fleet: Fleet,
    sent: number,
    records: readonly MixedRecord[],
): Promise<LoadSummary> {
    const executed = (await Promise.all(fleet.services.map(service => readExecutedBodies(service.url)))).flat();
    const executedBodies = new Set(executed);
    const count = (isCounted: (record: MixedRecord) => boolean) => records.filter(isCounted).length;
    const countOutcome = (outcome: CallOutcome) => count(({ record }) => record.outcome === outcome);
    const wasExecuted = (record: MixedRecord) => record.callBody !== undefined && executedBodies.has(record.callBody);
    const neverRan = count(one =>
        one.record.outcome === CallOutcome.Answered && one.callBody !== undefined && !wasExecuted(one)
    );
    return {
        sent,
        answered: countOutcome(CallOutcome.Answered),
        wrong: count(record => record.answerMatches === false),
        refused: countOutcome(CallOutcome.Refused),
        unknown: countOutcome(CallOutcome.Unknown),
        moved: count(({ record }) => record.moves > 0),
        doubled: executed.length - executedBodies.size,
        falselyRefused: count(one => one.record.outcome === CallOutcome.Refused && wasExecuted(one)),
        lost: sent - records.length + countOutcome(CallOutcome.Lost) + neverRan,
    };
}

/** Returns the bodies of the calls that a plain service ran. They identify the calls, as each body is unique. */
async function readExecutedBodies(url: string): Promise<string[]> {
    const answer = await request(`${url}/executions`);
    const { executions } = await answer.body.json() as ExecutionList;
    return executions.map(execution => execution.body);
}
