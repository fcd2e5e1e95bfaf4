import { type Clock, createOnFirstUse, EventKind, type EventLog, type IdSource } from "daisyturn-utils";
import { z } from "zod";
import { DutyAnswer } from "../../../ports/duties/fleetDuties.js";
import { absentVersion, TransactionOutcome } from "../../../ports/tableService.js";
import { fencingCondition, type Lease } from "../../lease/index.js";
import { type StoreClient, StorePriority } from "../../store/index.js";
import type { DutyCalls } from "../dutyCalls.js";
import type { FleetTime } from "./createFleetTime.js";
import type { UsageExchange } from "./createUsageExchange.js";

/** What {@link createUsageReporter} needs. */
export interface UsageReporterOptions {
    readonly calls: DutyCalls;
    readonly exchange: Pick<UsageExchange, "collect"> & { readonly time: Pick<FleetTime, "at" | "isAgreed">; };
    readonly storeClient: StoreClient;
    readonly windowMilliseconds: number;
    /** Time from the end of a window until its report is due. */
    readonly dueMilliseconds: number;
    /** Called after each report, with the platform's answer. */
    readonly onReported?: (answer: DutyAnswer) => void;
    readonly ids: IdSource;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Key of the row with the reports that were stored last, oldest first. */
export const usageRowKey = "duties/usage";

const rowSchema = createOnFirstUse(() =>
    z.object({
        reports: z.array(z.object({
            window: z.number().int().nonnegative(),
            isAccepted: z.boolean(),
            counts: z.array(z.tuple([z.string(), z.number().int().positive()])),
        })),
    })
);

/** The stored report of one window. Its counts never change, since the platform may have received them. */
export type StoredReport = z.infer<ReturnType<typeof rowSchema>>["reports"][number];

/** What a holder knows of the row; read anew by each holder, and after a write of unknown outcome. */
interface KnownReports {
    readonly fencingNumber: number;
    version: number;
    reports: StoredReport[];
    /** The next window to collect. */
    next: number;
    /** Monotonic time at which a window was first collected; undefined before. */
    firstCollectedAt?: number;
}

const checkIntervalMilliseconds = 250;
/**
 * Counts arrive within a message's interval and its repetitions. A plain call of 2 s is counted up to 1 s after its time,
 * and a process that was suspended for some time sends its counts afterwards.
 */
const settlingMilliseconds = 2_500;
/** Time before a report is due that is left to store and send it, also by the next holder. */
const reserveMilliseconds = 3_000;
/** A holder asks for at least this long before it goes without a group, also if windows are overdue. */
const minWaitMilliseconds = 2_000;
/** Counts of this time are kept by coordinators, so a new holder looks for windows that were not reported. */
const lookBackMilliseconds = 30_000;
const storeTimeoutMilliseconds = 2_000;
/** Accepted reports that stay in the row, for operators. */
const retainedReports = 6;

/** Parses the row; no reports if it is absent or invalid. */
export function parseUsageRow(value: unknown): StoredReport[] {
    return rowSchema().safeParse(value).data?.reports ?? [];
}

/** Creates the task that reports each window once while this process holds the duties. */
export function createUsageReporter(options: UsageReporterOptions) {
    const { calls, exchange, storeClient, windowMilliseconds, dueMilliseconds, ids, clock, eventLog } = options;
    let known: KnownReports | undefined;

    const now = () => exchange.time.at(clock.monotonicNow());

    /** Reads the row, so that a window which an earlier holder has stored is sent again with the same bytes. */
    const readRow = async ({ fencingNumber }: Lease) => {
        const limit = clock.monotonicNow() + storeTimeoutMilliseconds;
        const rows = await storeClient.read([usageRowKey], StorePriority.Other, limit);
        if (rows.isErr) {
            return;
        }
        const [row] = rows.value;
        const reports = row ? parseUsageRow(row.value) : [];
        const first = Math.floor((now() - lookBackMilliseconds) / windowMilliseconds);
        const next = Math.max(first, (reports.at(-1)?.window ?? -1) + 1);
        known = { fencingNumber, version: row?.version ?? absentVersion, reports, next };
    };

    /** Sends what is stored and not known to be accepted, oldest first. @returns whether all is accepted */
    const sendStored = async (row: KnownReports) => {
        for (const report of row.reports.filter(({ isAccepted }) => !isAccepted)) {
            const counts = new Map(report.counts);
            const answer = await calls.reportUsage({ window: report.window, counts });
            if (answer === undefined) {
                return false;
            }
            options.onReported?.(answer);
            eventLog.record(EventKind.UsageReported, {
                window: report.window,
                accounts: counts.size,
                total: report.counts.reduce((total, [, count]) => total + count, 0),
                fencing: row.fencingNumber,
                answer,
            });
            if (answer !== DutyAnswer.Accepted) {
                return false;
            }
            report.isAccepted = true;
        }
        return true;
    };

    /** Whether the next window may still wait for groups that have not answered. */
    const mayWait = ({ next, firstCollectedAt = clock.monotonicNow() }: KnownReports) =>
        now() < (next + 1) * windowMilliseconds + dueMilliseconds - reserveMilliseconds
        || clock.monotonicNow() < firstCollectedAt + minWaitMilliseconds;

    /** Stores the report of the next window before it is sent. Its counts are final from then on. */
    const storeNext = async (row: KnownReports, lease: Lease) => {
        const window = row.next;
        row.firstCollectedAt ??= clock.monotonicNow();
        const { counts, isComplete } = await exchange.collect(window);
        if (calls.current()?.fencingNumber !== lease.fencingNumber || (!isComplete && mayWait(row))) {
            return;
        }
        if (!isComplete) {
            eventLog.record(EventKind.Fault, { reason: "not all groups have sent their counts", window });
        }
        if (counts.size === 0) {
            row.next = window + 1;
            return;
        }
        const reports = [...row.reports.slice(-retainedReports), { window, isAccepted: false, counts: [...counts] }];
        const answer = await storeClient.commit(
            {
                writeId: ids.next("wu"),
                conditions: [fencingCondition(lease), { key: usageRowKey, expectedVersion: row.version }],
                writes: [{ key: usageRowKey, value: { reports } }],
            },
            StorePriority.Other,
            Math.min(clock.monotonicNow() + storeTimeoutMilliseconds, lease.deadline()),
        );
        if (answer.outcome === TransactionOutcome.Committed && answer.version !== undefined) {
            known = { ...row, version: answer.version, reports, next: window + 1 };
        }
        else {
            known = undefined;
        }
    };

    const step = async () => {
        const lease = calls.current();
        // The clock of a process that has just started may be wrong, and a window that has not ended would be stored.
        if (!lease || !exchange.time.isAgreed()) {
            known = undefined;
            return;
        }
        if (known?.fencingNumber !== lease.fencingNumber) {
            await readRow(lease);
        }
        while (known && calls.current() && await sendStored(known)) {
            if ((known.next + 1) * windowMilliseconds + settlingMilliseconds > now()) {
                return;
            }
            await storeNext(known, lease);
        }
    };

    return {
        run: async (signal: AbortSignal) => {
            while (!signal.aborted) {
                await step();
                await clock.sleepUntil(clock.monotonicNow() + checkIntervalMilliseconds, signal);
            }
        },
    };
}
