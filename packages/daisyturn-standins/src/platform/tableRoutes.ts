import {
    RejectionCause,
    type Row,
    TablePath,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "daisyturn";
import type { Failure, JsonValue } from "daisyturn-utils";
import type { ServerResponse } from "node:http";
import type { Result } from "true-myth/result";
import { z } from "zod";
import { answerJson } from "../httpAnswers.js";
import { HttpStatus } from "./httpStatus.js";
import { WriteUnit } from "./platformFaults.js";
import type { PlatformState } from "./platformState.js";

const valueSchema = z.custom<JsonValue>(value => value !== undefined);
const writeSchema = z.object({ key: z.string(), value: valueSchema.optional(), writeId: z.string().optional() });
const transactionSchema = z.object({
    writeId: z.string(),
    conditions: z.array(z.object({ key: z.string(), expectedVersion: z.number() })),
    writes: z.array(writeSchema),
});
const readSchema = z.object({ keys: z.array(z.string()) });
const listSchema = z.object({ prefix: z.string(), limit: z.number(), afterKey: z.string().optional() });

const throttledAnswer: TransactionAnswer = { outcome: TransactionOutcome.Rejected, cause: RejectionCause.Throttled };
/** The table service of the stand-in runs in memory, so its calls need no deadline. */
const noDeadline = Number.POSITIVE_INFINITY;

/** Handles requests to the table service; returns false for any other path. */
export async function handleTable(
    state: PlatformState,
    path: string,
    body: string,
    response: ServerResponse,
): Promise<boolean> {
    const { tableService } = state;
    switch (path) {
        case TablePath.Transact:
            await answerTransaction(state, parseTransaction(body), response);
            return true;
        case TablePath.Read: {
            const { keys } = readSchema.parse(JSON.parse(body));
            await answerRows(state, response, () => tableService.read(keys, noDeadline));
            return true;
        }
        case TablePath.List: {
            const { prefix, limit, afterKey } = listSchema.parse(JSON.parse(body));
            await answerRows(state, response, () => tableService.list(prefix, limit, afterKey, noDeadline));
            return true;
        }
        default:
            return false;
    }
}

async function answerTransaction(
    state: PlatformState,
    transaction: Transaction,
    response: ServerResponse,
): Promise<void> {
    const { counts, faults, random, clock } = state;
    counts.transactions += 1;
    const units = faults().writeUnit === WriteUnit.Row ? transaction.writes.length : 1;
    if (!state.writeLimit.tryAcquire(units)) {
        counts.throttled += 1;
        answerJson(response, HttpStatus.TooManyRequests, throttledAnswer);
        return;
    }
    if (random.fraction() < faults().commitLate) {
        response.destroy();
        await clock.sleepUntil(clock.monotonicNow() + faults().commitLateMilliseconds);
        await runTransaction(state, transaction);
        return;
    }
    const answer = await runTransaction(state, transaction);
    if (random.fraction() < faults().loseAnswers) {
        response.destroy();
        return;
    }
    answerJson(response, HttpStatus.Ok, answer);
}

async function runTransaction({ tableService, counts }: PlatformState, transaction: Transaction) {
    const answer = await tableService.transact(transaction, noDeadline);
    if (answer.outcome === TransactionOutcome.Committed) {
        counts.committed += 1;
        counts.rowsWritten += transaction.writes.length;
    }
    return answer;
}

async function answerRows(
    { counts, readLimit }: PlatformState,
    response: ServerResponse,
    readRows: () => Promise<Result<readonly Row[], Failure>>,
): Promise<void> {
    counts.reads += 1;
    if (!readLimit.tryAcquire(1)) {
        counts.throttled += 1;
        answerJson(response, HttpStatus.TooManyRequests, {});
        return;
    }
    answerJson(response, HttpStatus.Ok, { rows: (await readRows()).unwrapOr([]) });
}

/** A write whose value is undefined deletes the row. JSON omits such a field, so it is added here. */
function parseTransaction(body: string): Transaction {
    const transaction = transactionSchema.parse(JSON.parse(body));
    const writes = transaction.writes.map(write => ({ ...write, value: write.value }));
    return { ...transaction, writes };
}
