import type { EndedPrompt } from "../../limits/createSizeFairness.js";
import type { ClosingList } from "../../targets/createClosedTargets.js";
import type { PartPlacement } from "../../views/createCacheEstimates.js";
import type { EventIntervalObservation } from "../../views/createEventIntervals.js";
import type { ServiceDemand } from "../../views/createPrefillDemand.js";
import type { PrefillObservation } from "../../views/createPrefillRates.js";
import type { DurationObservation } from "../../views/createSlowdownEstimates.js";
import type { WorkUnderWay } from "../../views/workUnderWay.js";
import { encodeClosingList, readClosingLists } from "./closingLists.js";
import {
    encodeNotification,
    isAmount,
    isName,
    type Notification,
    readAmount,
    readList,
    readName,
    tryRead,
} from "./notification.js";

/** What a process tells its coordinators, or a coordinator those of other groups about its whole group. */
export interface LoadMessage {
    readonly from: string;
    /** Milliseconds until the next message to the same peer. */
    readonly pause: number;
    /** Whether it tells of all processes of the sender's group. */
    readonly isGroup: boolean;
    /** Number of the last placement that the sender took from the receiver; `work` has it and those before it. */
    readonly placed: number;
    readonly work: readonly WorkUnderWay[];
    readonly kept: readonly PartPlacement[];
    readonly demand: readonly ServiceDemand[];
    readonly closed: readonly ClosingList[];
    /** Targets at which calls fail, at the sender or, if `isGroup`, at any process of its group. */
    readonly failing: readonly string[];
    /** What has been observed since the last message. */
    readonly paces: readonly DurationObservation[];
    readonly prefills: readonly PrefillObservation[];
    readonly pauses: readonly EventIntervalObservation[];
    readonly ended: readonly EndedPrompt[];
}

/** Target, calls, milliseconds of work, milliseconds of deferred work, tokens held. */
type WorkEntry = readonly [string, number, number, number, number];

export const loadMethod = "load";
/** Far beyond what a target can have under way, in calls, milliseconds or tokens. */
const largestAmount = 1e9;
/** Thousands of processes tell each other within this time; a longer pause would keep what is told for ever. */
const longestPauseMilliseconds = 600_000;

/** Limits the size of a message when many targets fail at once. */
const mostFailingTargets = 20;

/** Writes a message as the notification that its receivers read. */
export function encodeLoadMessage({ work, closed, failing, ...message }: LoadMessage): Buffer {
    return encodeNotification(loadMethod, {
        ...message,
        work: work.map(encodeWork),
        closed: closed.map(encodeClosingList),
        failing: failing.slice(0, mostFailingTargets).map(targetId => [targetId]),
    });
}

/**
 * Reads a message; undefined where it has no sender or a list is none. An entry with an amount that no process can have is
 * left out, and the others hold: names and sizes of parts come from callers.
 */
export function readLoadMessage({ method, params }: Notification): LoadMessage | undefined {
    return method === loadMethod ? tryRead(() => readParams(params)) : undefined;
}

function readParams(params: Notification["params"]): LoadMessage {
    const isLoad = (value: unknown) => isAmount(value, largestAmount);
    const isFlag = (value: unknown) => typeof value === "boolean";
    return {
        from: readName(params["from"]),
        pause: readAmount(params["pause"], longestPauseMilliseconds),
        isGroup: params["isGroup"] === true,
        placed: readAmount(params["placed"]),
        work: readList<WorkEntry>(params["work"], [isName, isLoad, isLoad, isLoad, isLoad]).map(decodeWork),
        kept: readList(params["kept"], [isName, isName, isLoad]),
        demand: readList(params["demand"], [isName, isLoad]),
        closed: readClosingLists(params["closed"]),
        failing: readList<readonly [string]>(params["failing"] ?? [], [isName]).map(([targetId]) => targetId),
        paces: readList(params["paces"], [isName, isLoad, isLoad, isLoad]),
        prefills: readList(params["prefills"] ?? [], [isName, isLoad, isLoad, isLoad]),
        pauses: readList(params["pauses"], [isName, isLoad]),
        ended: readList(params["ended"], [isName, isLoad, isFlag]),
    };
}

function encodeWork({ targetId, calls, work, deferredWork, tokens }: WorkUnderWay): WorkEntry {
    return [targetId, calls, Math.round(work), Math.round(deferredWork), tokens];
}

function decodeWork([targetId, calls, work, deferredWork, tokens]: WorkEntry): WorkUnderWay {
    return { targetId, calls, work, deferredWork, tokens };
}
