import type { EndedPrompt } from "../../limits/createSizeFairness.js";
import type { SpeedEstimate, SpeedSample } from "../../speeds/speedEntries.js";
import type { ClosingList } from "../../targets/createClosedTargets.js";
import type { CachedPart } from "../../views/createCacheEstimates.js";
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
    readOptionalAmount,
    readOptionalFlag,
    readOrUndefined,
} from "./notification.js";
import { encodeEstimates, encodeSamples, readEstimates, readSamples } from "./speedEntries.js";

/**
 * The load of one process, sent to its coordinators, or of a whole group, sent by its coordinator to those of other
 * groups.
 */
export interface LoadMessage {
    readonly from: string;
    /** Maximum milliseconds until the next message to the same peer. */
    readonly pause: number;
    /** Whether the message covers all processes of the sender's group. */
    readonly isGroup: boolean;
    /** Whether the sender's links to most targets are lost; absent if its version does not send it. */
    readonly isCutOff?: boolean;
    /** Whether the store has not answered the sender for some time; absent if its version does not send it. */
    readonly isStoreLost?: boolean;
    /**
     * Number of the last placement that the sender received from the receiver; `work` includes it and all earlier ones.
     */
    readonly placed: number;
    readonly work: readonly WorkUnderWay[];
    /** Prompt parts that targets have presumably cached since the last message. */
    readonly kept: readonly CachedPart[];
    /** Prefill demand by service. */
    readonly demand: readonly ServiceDemand[];
    /** Demand without the slowdowns of engines; absent if the sender's version lacks it. */
    readonly leastDemand?: readonly ServiceDemand[];
    /** The part of it that prefills shared parts at engines that lack them; absent likewise. */
    readonly firstReads?: readonly ServiceDemand[];
    readonly closed: readonly ClosingList[];
    /** Targets at which calls fail, at the sender or, if `isGroup`, at any process of its group. */
    readonly failing: readonly string[];
    /** Estimated and actual durations of calls since the last message. */
    readonly paces: readonly DurationObservation[];
    /** Prefills that have ended since the last message. */
    readonly prefills: readonly PrefillObservation[];
    /** Mean pauses between events of answers since the last message. */
    readonly pauses: readonly EventIntervalObservation[];
    /** Prompts that have ended since the last message. */
    readonly ended: readonly EndedPrompt[];
    /** Number of processes whose load a group message covers; absent otherwise, and if the sender's version lacks it. */
    readonly reporting?: number;
    /** What the sender has learned of the speed of plain targets since the last message; empty if `isGroup`. */
    readonly speeds: readonly SpeedSample[];
    /** What the sender's group knows of it; empty unless `isGroup`. */
    readonly groupSpeeds: readonly SpeedEstimate[];
    /** `CrashEvidence.digest` of the sender; absent if its version does not send it. */
    readonly evidence?: number;
}

/** Target, calls, milliseconds of work, milliseconds of deferred work, tokens. */
type WorkEntry = readonly [string, number, number, number, number];

export const loadMethod = "load";
/** Far more than a target can have in progress, in calls, milliseconds or tokens. */
const maxAmount = 1e9;
/**
 * Even in a fleet of thousands, processes report within this time; a longer pause would retain a report indefinitely.
 */
const maxPauseMilliseconds = 600_000;

/** Limits the size of a message when many targets fail at once. */
const maxFailingTargets = 20;

/** Encodes a message as a notification. */
export function encodeLoadMessage(
    { work, closed, failing, speeds, groupSpeeds, ...message }: LoadMessage,
): Buffer {
    return encodeNotification(loadMethod, {
        ...message,
        work: work.map(encodeWork),
        speeds: encodeSamples(speeds),
        groupSpeeds: encodeEstimates(groupSpeeds),
        closed: closed.map(encodeClosingList),
        failing: failing.slice(0, maxFailingTargets).map(targetId => [targetId]),
    });
}

/**
 * Decodes a message. Returns undefined if it has no sender or if a list is not an array. Entries with impossible
 * amounts are skipped, and the others are used, because names and sizes of parts come from callers.
 */
export function readLoadMessage({ method, params }: Notification): LoadMessage | undefined {
    return method === loadMethod ? readOrUndefined(() => readParams(params)) : undefined;
}

function readParams(params: Notification["params"]): LoadMessage {
    const isLoad = (value: unknown) => isAmount(value, maxAmount);
    const isFlag = (value: unknown) => typeof value === "boolean";
    return {
        from: readName(params["from"]),
        pause: readAmount(params["pause"], maxPauseMilliseconds),
        isGroup: params["isGroup"] === true,
        isCutOff: readOptionalFlag(params["isCutOff"]),
        isStoreLost: readOptionalFlag(params["isStoreLost"]),
        placed: readAmount(params["placed"]),
        work: readList<WorkEntry>(params["work"], [isName, isLoad, isLoad, isLoad, isLoad]).map(decodeWork),
        kept: readList(params["kept"], [isName, isName, isLoad]),
        demand: readList(params["demand"], [isName, isLoad]),
        ...(params["leastDemand"] !== undefined && { leastDemand: readList(params["leastDemand"], [isName, isLoad]) }),
        ...(params["firstReads"] !== undefined && { firstReads: readList(params["firstReads"], [isName, isLoad]) }),
        closed: readClosingLists(params["closed"]),
        failing: readList<readonly [string]>(params["failing"] ?? [], [isName]).map(([targetId]) => targetId),
        paces: readList(params["paces"], [isName, isLoad, isLoad, isLoad]),
        prefills: readList(params["prefills"] ?? [], [isName, isLoad, isLoad, isLoad]),
        pauses: readList(params["pauses"], [isName, isLoad]),
        ended: readList(params["ended"], [isName, isLoad, isFlag]),
        ...(params["reporting"] !== undefined && { reporting: readAmount(params["reporting"]) }),
        speeds: readSamples(params["speeds"]),
        groupSpeeds: readEstimates(params["groupSpeeds"]),
        evidence: readOptionalAmount(params["evidence"]),
    };
}

function encodeWork({ targetId, calls, work, deferredWork, tokens }: WorkUnderWay): WorkEntry {
    return [targetId, calls, Math.round(work), Math.round(deferredWork), tokens];
}

function decodeWork([targetId, calls, work, deferredWork, tokens]: WorkEntry): WorkUnderWay {
    return { targetId, calls, work, deferredWork, tokens };
}
