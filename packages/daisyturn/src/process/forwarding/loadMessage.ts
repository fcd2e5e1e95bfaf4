import type { Closing } from "./targets/createClosedTargets.js";
import type { PartPlacement } from "./views/createCacheBeliefs.js";
import type { ServiceDemand } from "./views/createReadingDemand.js";
import type { WorkUnderWay } from "./views/workUnderWay.js";

/** What a process tells its peers. */
export interface LoadMessage {
    readonly from: string;
    /** Milliseconds until the next message to the same peer. */
    readonly pause: number;
    readonly work: readonly WorkUnderWay[];
    readonly kept: readonly PartPlacement[];
    readonly demand: readonly ServiceDemand[];
    readonly closed: readonly Closing[];
}

/** Target, calls, milliseconds of work, milliseconds of deferred work, tokens held. */
type WorkEntry = readonly [string, number, number, number, number];

const method = "load";
const longestName = 200;
/** Far beyond what a target can have under way, in calls, milliseconds or tokens. */
const largestAmount = 1e9;
/** Thousands of processes tell each other within this time; a longer pause would keep what is told for ever. */
const longestPauseMilliseconds = 600_000;
/** A change of stage takes seconds; a target that is closed for longer would be lost to the service. */
const longestClosingMilliseconds = 60_000;

/** Writes a message as the JSON-RPC notification that the peers read. */
export function encodeLoadMessage({ work, ...message }: LoadMessage): Buffer {
    const params = { ...message, work: work.map(encodeWork) };
    return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/**
 * Reads a message; undefined for anything else, since anybody may send datagrams. An entry with an amount that no process
 * can have is left out, and the others hold: names and sizes of parts come from callers.
 */
export function parseLoadMessage(datagram: Buffer): LoadMessage | undefined {
    try {
        const message = JSON.parse(datagram.toString("utf8")) as {
            method?: unknown;
            params?: Record<string, unknown>;
        };
        const { from, pause, work, kept, demand, closed } = message.params ?? {};
        if (message.method !== method || !isName(from) || !isAmount(pause, longestPauseMilliseconds)) {
            return undefined;
        }
        return {
            from,
            pause,
            work: readList<WorkEntry>(work, [isName, isAmount, isAmount, isAmount, isAmount]).map(decodeWork),
            kept: readList(kept, [isName, isName, isAmount]),
            demand: readList(demand, [isName, isAmount]),
            closed: readList(closed, [isName, value => isAmount(value, longestClosingMilliseconds)]),
        };
    }
    catch {
        return undefined;
    }
}

function encodeWork({ targetId, calls, work, deferredWork, tokens }: WorkUnderWay): WorkEntry {
    return [targetId, calls, Math.round(work), Math.round(deferredWork), tokens];
}

function decodeWork([targetId, calls, work, deferredWork, tokens]: WorkEntry): WorkUnderWay {
    return { targetId, calls, work, deferredWork, tokens };
}

function isName(value: unknown): value is string {
    return typeof value === "string" && value !== "" && value.length <= longestName;
}

function isAmount(value: unknown, largest = largestAmount): value is number {
    return typeof value === "number" && value >= 0 && value <= largest;
}

/** @throws where the value is no list */
function readList<Entry>(value: unknown, checks: readonly ((item: unknown) => boolean)[]): Entry[] {
    if (!Array.isArray(value)) {
        throw new Error("not a list");
    }
    const isEntry = (entry: unknown) => Array.isArray(entry) && checks.every((check, index) => check(entry[index]));
    return value.filter(isEntry) as Entry[];
}
