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

/** Settles claims of processes that have ended. */
export interface AbandonedClaimSettler {
    /**
     * Settles a claim of an ended process if this process has observed it unchanged for long enough.
     * @param deadline monotonic time
     */
    settleAbandoned(present: Row, deadline: number): Promise<void>;
}

/** Key of the row that stores the progress of the current pass, so that any process can continue it. */
export const pruningRowKey = "claim-pruning";

const minuteMilliseconds = 60_000;
const turnIntervalMilliseconds = minuteMilliseconds;
const turnLimitMilliseconds = 30_000;
const passIntervalMilliseconds = 10 * minuteMilliseconds;
const rowsPerPage = 100;
const pagesPerTurn = 10;

const pruningRowSchema = z.object({
    /** Start of the pass, by the wall clock of the process that started it. */
    passStartedAt: z.number(),
    /** Start of the previous pass, by the wall clock of the process that started it. */
    horizon: z.number(),
    /** Last examined key; undefined once the pass is complete. */
    cursor: z.string().optional(),
});

type PruningRow = z.infer<typeof pruningRowSchema>;

export interface ClaimPrunerOptions {
    readonly storeClient: PagedStoreClient;
    readonly claimManager: AbandonedClaimSettler;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
}

/** Row counts of one turn. */
export interface PruningTurn {
    readonly examined: number;
    readonly deleted: number;
}

/** Deletes expired claim rows, and settles abandoned claims of ended processes that no caller requests. */
export interface ClaimPruner {
    /** Runs turns until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Continues the current pass after the last turn of any process. */
    runTurn(): Promise<Result<PruningTurn, Failure>>;
}

/**
 * Creates the pruner of one process.
 *
 * A row is deleted once it has expired by two clocks: that of this process, and that of the process that started the
 * previous pass. A single clock that is ahead therefore deletes nothing as long as passes alternate between processes.
 * Two processes that run turns at the same time only repeat work: every deletion is conditional on the version read.
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

    /** Returns the current pass, or a new one if the last one started long enough ago. */
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
        const expiryLimit = Math.min(clock.wallNow(), horizon);
        for (const row of rows.filter(isAbandoned)) {
            await claimManager.settleAbandoned(row, deadline);
        }
        return deleteRows(rows.filter(row => (parseClaimRow(row.value).keepUntil ?? Infinity) < expiryLimit), deadline);
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
        // On a conflict, another pruner deleted rows or a key was claimed again. The next pass handles what is left.
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
            const delay = turnIntervalMilliseconds * (0.5 + random.fraction());
            await clock.sleepUntil(clock.monotonicNow() + delay, signal);
            const turn = signal.aborted ? undefined : await runTurn();
            if (turn?.isErr) {
                eventLog.record(EventKind.Fault, { reason: turn.error.reason, verdict: turn.error.verdict });
            }
        }
    };

    return { run, runTurn };
}
