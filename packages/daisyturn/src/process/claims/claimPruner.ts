import {
    type Clock,
    EventKind,
    type EventLog,
    type Failure,
    type IdSource,
    type Random,
    toJson,
} from "daisyturn-utils";
import Result from "true-myth/result";
import { z } from "zod";
import { absentVersion, type Row, TransactionOutcome } from "../../ports/tableService.js";
import type { Membership } from "../peers/index.js";
import { type PagedStoreClient, StorePriority } from "../store/index.js";
import { claimRowPrefix, ClaimRowState, parseClaimRow } from "./claimRow.js";

/** What ends the claims of processes that are gone. */
export interface AbandonedClaimSettler {
    /** Settles a claim of an ended process, if this process has seen it unchanged for long enough (monotonic). */
    settleAbandoned(present: Row, deadline: number): Promise<void>;
}

/** Row in which the pruning processes hand the work to each other. */
export const pruningRowKey = "claim-pruning";

const minuteMilliseconds = 60_000;
const turnIntervalMilliseconds = minuteMilliseconds;
const turnLimitMilliseconds = 30_000;
const passIntervalMilliseconds = 10 * minuteMilliseconds;
const rowsPerPage = 100;
const pagesPerTurn = 10;

const pruningRowSchema = z.object({
    /** Wall-clock time of the process that started the pass. */
    passStartedAt: z.number(),
    /** Wall-clock time of the process that started the pass before. */
    horizon: z.number(),
    /** Last key examined at; undefined once the pass is over. */
    cursor: z.string().optional(),
});

type PruningRow = z.infer<typeof pruningRowSchema>;

/** What the pruner works with. */
export interface ClaimPrunerOptions {
    readonly storeClient: PagedStoreClient;
    readonly claimManager: AbandonedClaimSettler;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
}

/** What one turn did. */
export interface PruningTurn {
    readonly examined: number;
    readonly deleted: number;
}

/** Deletes claim rows whose time is over, and settles claims of ended processes that nobody asks for. */
export interface ClaimPruner {
    /** Takes turns until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Goes on with the pass where the last turn of any process left it. */
    runTurn(): Promise<Result<PruningTurn, Failure>>;
}

/**
 * Creates the pruner of one process.
 *
 * A row is deleted once its time is over by two clocks: this process's, and that of whoever started the pass before.
 * One clock that runs ahead therefore deletes nothing as long as the processes take turns. Two processes at once do the
 * same work twice, and every deletion demands the version that was seen.
 */
export function createClaimPruner(options: ClaimPrunerOptions): ClaimPruner {
    const { storeClient, claimManager, membership, clock, random, ids, eventLog } = options;

    const runTurn = async (): Promise<Result<PruningTurn, Failure>> => {
        const deadline = clock.monotonicNow() + turnLimitMilliseconds;
        const found = await storeClient.read([pruningRowKey], StorePriority.Other, deadline);
        if (found.isErr) {
            return Result.err(found.error);
        }
        const present = found.value[0];
        const pass = choosePass(present);
        if (!pass) {
            return Result.ok({ examined: 0, deleted: 0 });
        }
        const turn = await prunePages(pass, deadline);
        if (turn.isOk) {
            await saveProgress(present, { ...pass, cursor: turn.value.cursor }, deadline);
        }
        return turn;
    };

    /** The pass under way, or a new one if the last one is old enough. */
    const choosePass = (present: Row | undefined): PruningRow | undefined => {
        const now = clock.wallNow();
        const last = present && pruningRowSchema.parse(present.value);
        if (last?.cursor !== undefined) {
            return last;
        }
        if (!last) {
            return { passStartedAt: now, horizon: 0 };
        }
        const isDue = Math.abs(now - last.passStartedAt) >= passIntervalMilliseconds;
        return isDue ? { passStartedAt: now, horizon: last.passStartedAt } : undefined;
    };

    const prunePages = async (pass: PruningRow, deadline: number) => {
        const turn = { examined: 0, deleted: 0, cursor: pass.cursor };
        for (let page = 0; page < pagesPerTurn; page++) {
            const rows = await storeClient.listPage(
                claimRowPrefix,
                rowsPerPage,
                turn.cursor,
                StorePriority.Other,
                deadline,
            );
            if (rows.isErr) {
                return Result.err<typeof turn, Failure>(rows.error);
            }
            turn.examined += rows.value.length;
            turn.deleted += await prunePage(rows.value, pass.horizon, deadline);
            turn.cursor = rows.value.length < rowsPerPage ? undefined : rows.value.at(-1)?.key;
            if (turn.cursor === undefined) {
                break;
            }
        }
        return Result.ok<typeof turn, Failure>(turn);
    };

    const prunePage = async (rows: readonly Row[], horizon: number, deadline: number) => {
        const over = Math.min(clock.wallNow(), horizon);
        for (const row of rows.filter(isAbandoned)) {
            await claimManager.settleAbandoned(row, deadline);
        }
        return deleteRows(rows.filter(row => (parseClaimRow(row.value).keepUntil ?? Infinity) < over), deadline);
    };

    const isAbandoned = (row: Row) => {
        const { state, owner } = parseClaimRow(row.value);
        return state === ClaimRowState.Claimed && membership.hasEnded(owner);
    };

    const deleteRows = async (rows: readonly Row[], deadline: number) => {
        if (rows.length === 0) {
            return 0;
        }
        const answer = await storeClient.commit(
            {
                writeId: ids.next("wr"),
                conditions: rows.map(row => ({ key: row.key, expectedVersion: row.version })),
                writes: rows.map(row => ({ key: row.key, value: undefined })),
            },
            StorePriority.Other,
            deadline,
        );
        // Another pruner was there, or a key was claimed anew: the next pass sees what is left.
        return answer.outcome === TransactionOutcome.Committed ? rows.length : 0;
    };

    const saveProgress = (present: Row | undefined, row: PruningRow, deadline: number) =>
        storeClient.commit(
            {
                writeId: ids.next("wr"),
                conditions: [{ key: pruningRowKey, expectedVersion: present?.version ?? absentVersion }],
                writes: [{ key: pruningRowKey, value: toJson(row) }],
            },
            StorePriority.Other,
            deadline,
        );

    const run = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            const pause = turnIntervalMilliseconds * (0.5 + random.fraction());
            await clock.sleepUntil(clock.monotonicNow() + pause, signal);
            const turn = signal.aborted ? undefined : await runTurn();
            if (turn?.isErr) {
                eventLog.record(EventKind.Fault, { reason: turn.error.reason, verdict: turn.error.verdict });
            }
        }
    };

    return { run, runTurn };
}
