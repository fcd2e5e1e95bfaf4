import { EventKind } from "daisyturn-utils";
import type { TimedEvent } from "../timeLine/index.js";

/** The last report of one window of usage. */
export interface ReportRow {
    readonly window: number;
    readonly holder: string;
    readonly accounts: number;
    readonly total: number;
    /** Number of times that the report was sent. */
    readonly sends: number;
    /** The platform's answer to the last send, or to an earlier one that it accepted. */
    readonly answer: string;
}

/** Who has the duties of the fleet, and the windows that were reported, in their order. */
export interface DutiesSummary {
    /** Process with the lease; undefined if none has it. */
    readonly holder?: string;
    readonly reports: readonly ReportRow[];
}

const leaseName = "duties";
const acceptedAnswer = "accepted";

/** Reads the holder and the reports from logs. */
export async function collectDuties(events: AsyncIterable<TimedEvent>): Promise<DutiesSummary> {
    let holder: { readonly process: string; readonly incarnation: string; } | undefined;
    const reports = new Map<number, ReportRow>();
    for await (const { kind, process, incarnation, fields } of events) {
        const isOfLease = fields["lease"] === leaseName;
        if (kind === EventKind.LeaseAcquired && isOfLease) {
            holder = { process, incarnation };
        }
        else if (kind === EventKind.LeaseLost && isOfLease && holder?.incarnation === incarnation) {
            holder = undefined;
        }
        else if (kind === EventKind.UsageReported) {
            const window = Number(fields["window"]);
            const known = reports.get(window);
            const isAccepted = known?.answer === acceptedAnswer;
            reports.set(window, {
                window,
                holder: process,
                accounts: Number(fields["accounts"]),
                total: Number(fields["total"]),
                sends: (known?.sends ?? 0) + 1,
                answer: isAccepted ? acceptedAnswer : fields["answer"] ?? "",
            });
        }
    }
    return {
        holder: holder?.process,
        reports: [...reports.values()].sort((left, right) => left.window - right.window),
    };
}
