import { EventKind } from "daisyturn-utils";
import type { TimedEvent } from "../timeLine/index.js";

/**
 * One forwarded call, reconstructed from the log lines of its process; times are in milliseconds. `reading` is the
 * printed name of the prefill time.
 */
export interface LoggedCall {
    readonly route: string;
    /** Client account of the caller; undefined if the call has none. */
    readonly account?: string;
    /** How the call ended, with the reason where the log line has one. */
    readonly outcome: string;
    /** Length of the prompt; undefined for calls of plain services. */
    readonly tokens?: number;
    /** From the call's arrival to the first byte of its answer. */
    readonly firstByte?: number;
    readonly longestPause?: number;
    /** Duration of the last prefill, and its forecast. */
    readonly reading?: number;
    readonly forecastReading?: number;
}

/** Data from the lines of a call whose last line has not been read yet. */
interface OpenCall {
    readonly route: string;
    readonly tokens?: number;
    dispatched?: TimedEvent;
    forecastReading?: number;
    reading?: number;
}

const prefillPart = "prefill";

/** Groups log lines by call. Calls without their first or last line are omitted and counted as incomplete. */
export async function collectCalls(
    events: AsyncIterable<TimedEvent>,
): Promise<{ readonly calls: readonly LoggedCall[]; readonly incomplete: number; }> {
    const open = new Map<string, OpenCall>();
    const calls: LoggedCall[] = [];
    let endedOnly = 0;
    for await (const event of events) {
        const { request } = event.fields;
        if (request === undefined) {
            continue;
        }
        if (event.kind === EventKind.RequestAccepted) {
            open.set(request, { route: event.fields["route"] ?? "", tokens: readNumber(event, "tokens") });
            continue;
        }
        const call = open.get(request);
        if (event.fields["outcome"] !== undefined) {
            open.delete(request);
            endedOnly += call ? 0 : 1;
            calls.push(...(call ? [endCall(call, event)] : []));
        }
        else if (call) {
            recordStep(call, event);
        }
    }
    return { calls, incomplete: open.size + endedOnly };
}

function recordStep(call: OpenCall, event: TimedEvent): void {
    if (event.kind === EventKind.RequestPlaced && event.fields["reader"] !== undefined) {
        call.forecastReading = (readNumber(event, "readerWait") ?? 0) + (readNumber(event, "readerWork") ?? 0);
    }
    else if (event.kind === EventKind.RequestDispatched) {
        call.dispatched = event;
    }
    else if (event.kind === EventKind.TargetAnswered && call.dispatched?.fields["part"] === prefillPart) {
        call.reading = (readNumber(event, "after") ?? 0) - (readNumber(call.dispatched, "after") ?? 0);
        call.dispatched = undefined;
    }
}

function endCall({ route, tokens, reading, forecastReading }: OpenCall, end: TimedEvent): LoggedCall {
    const { outcome = "", reason } = end.fields;
    return {
        route,
        account: end.fields["account"],
        tokens,
        reading,
        forecastReading,
        outcome: reason === undefined ? outcome : `${outcome}: ${reason}`,
        firstByte: readNumber(end, "firstByte"),
        longestPause: readNumber(end, "longestPause"),
    };
}

function readNumber({ fields }: TimedEvent, name: string): number | undefined {
    const value = fields[name];
    return value === undefined || value === "" || Number.isNaN(Number(value)) ? undefined : Number(value);
}
