import { ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun, toJson } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import {
    RejectionCause,
    type Row,
    TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../tableService.js";
import { createPlatformConnection, type HttpPlatformOptions, type PlatformAnswer } from "./platformConnection.js";

export enum TablePath {
    Transact = "/tables/transact",
    Read = "/tables/read",
    List = "/tables/list",
}

/** A table service accessed over HTTP. `close` closes its connections. */
export interface HttpTableService {
    readonly tableService: TableService;
    close(): Promise<void>;
}

const okStatus = 200;
const tooManyRequestsStatus = 429;
const jsonType = "application/json";

const rowSchema = z.object({
    key: z.string(),
    version: z.number().int().positive(),
    value: z.custom<Row["value"]>(value => value !== undefined),
    writeId: z.string(),
});
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const transactionAnswerSchema = z.discriminatedUnion("outcome", [
    z.object({ outcome: z.literal(TransactionOutcome.Committed), version: z.number().int().positive() }),
    z.object({
        outcome: z.literal(TransactionOutcome.Rejected),
        cause: z.enum([RejectionCause.ConditionFailed, RejectionCause.Throttled]),
        conflicts: z.array(rowSchema).optional(),
    }),
]);

const unknownAnswer: TransactionAnswer = { outcome: TransactionOutcome.Unknown };

/** Creates the HTTP and JSON adapter to the platform's table service. */
export function createHttpTableService(options: HttpPlatformOptions): HttpTableService {
    const connection = createPlatformConnection(options);

    const post = (path: TablePath, body: object, deadline: number) =>
        connection.send({ method: "POST", path, contentType: jsonType, body: JSON.stringify(body) }, deadline);

    const readRows = async (
        path: TablePath,
        body: object,
        deadline: number,
    ): Promise<Result<readonly Row[], Failure>> => {
        const sent = await post(path, body, deadline);
        return sent.isOk ? parseRows(sent.value) : err(sent.error);
    };

    class HttpTables extends TableService {
        override async transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer> {
            const sent = await post(TablePath.Transact, toJson(transaction), deadline);
            return sent.isOk ? parseTransactionAnswer(sent.value) : toAnswerAfterFailure(sent.error);
        }

        override read(keys: readonly string[], deadline: number): Promise<Result<readonly Row[], Failure>> {
            return readRows(TablePath.Read, { keys }, deadline);
        }

        override list(
            prefix: string,
            limit: number,
            afterKey: string | undefined,
            deadline: number,
        ): Promise<Result<readonly Row[], Failure>> {
            return readRows(TablePath.List, { prefix, limit, afterKey }, deadline);
        }
    }

    return { tableService: new HttpTables(), close: connection.close };
}

function toAnswerAfterFailure(failure: Failure): TransactionAnswer {
    return failure.verdict === ExecutionVerdict.NotRun
        ? { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent }
        : unknownAnswer;
}

/** The outcome is unknown unless the service itself states it: an error page or a gateway's 502 does not. */
function parseTransactionAnswer(answer: PlatformAnswer): TransactionAnswer {
    if (answer.status !== okStatus && answer.status !== tooManyRequestsStatus) {
        return unknownAnswer;
    }
    const parsed = transactionAnswerSchema.safeParse(parseJson(answer.body));
    return parsed.success ? parsed.data : unknownAnswer;
}

function parseRows(answer: PlatformAnswer): Result<readonly Row[], Failure> {
    if (answer.status === tooManyRequestsStatus) {
        return err(notRun(FailureReason.RateLimited, "the table service is over its rate"));
    }
    const parsed = answer.status === okStatus ? rowsSchema.safeParse(parseJson(answer.body)) : undefined;
    return parsed?.success
        ? ok(parsed.data.rows)
        : err(mayHaveRun(FailureReason.StoreUnavailable, `the table service answered with status ${answer.status}`));
}

/** Returns undefined if the text is not valid JSON. */
function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
