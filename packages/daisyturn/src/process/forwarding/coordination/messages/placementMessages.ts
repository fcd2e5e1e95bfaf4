import type { PromptDescription, PromptPart } from "../../../../ports/forwardedCall.js";
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

/** Requests a placement for a prompt from a coordinator. */
export interface PlacementRequest {
    readonly from: string;
    /** Number of the request, unique for the sender. */
    readonly askId: number;
    readonly availabilityZone: string;
    readonly service: string;
    readonly route: string;
    readonly prompt: PromptDescription;
    readonly bodyBytes: number;
    /** Targets that have failed the call or that the sender does not trust. */
    readonly avoid: readonly string[];
    /** `softwareVersion` of `TargetRestriction`; a receiver of an earlier version ignores it. */
    readonly softwareVersion?: string;
    /** Whether the prompt may be deferred; absent if the sender's version does not send it. */
    readonly mayDefer?: boolean;
    /** Whether one engine must do both prefill and decode. */
    readonly isWholeOnly: boolean;
    /** Target latency of the first event, in remaining milliseconds; negative once it is late. */
    readonly aim: number;
    /** Target pause between two events, in milliseconds; Infinity if no route of the service sets one. */
    readonly pauseAim: number;
    /** Milliseconds until the caller gives up, unless its answer has started by then. */
    readonly patience: number;
}

/** A step of a placement, with the estimates on which it was chosen. */
export interface PlacementStep {
    readonly targetId: string;
    readonly work: number;
    readonly wait: number;
    /** The same work in milliseconds, without any slowdown of the target. */
    readonly leastWork: number;
    /** Tokens of the prompt that the target is presumed to have cached. */
    readonly keptTokens: number;
    /** Target from which the KV cache of the prompt is fetched. */
    readonly fetchFrom?: string;
}

/** Answers a {@link PlacementRequest}. */
export interface PlacementAnswer {
    readonly from: string;
    readonly askId: number;
    /** Sequence number of the sender's answers. The receiver acknowledges it in its load messages. */
    readonly number: number;
    readonly prefill?: PlacementStep;
    /** Absent if no engine can accept the prompt. */
    readonly decode?: PlacementStep;
    readonly firstEvent: number;
    readonly soonestEvent: number;
    /** Milliseconds that a pure prefill engine needs for the prompt. */
    readonly reading: number;
    readonly isDeferred: boolean;
    /** `isUnderserved` of `PromptDecision`. */
    readonly isOwed: boolean;
    /** `lateness` of `PromptDecision`; absent if the sender's version does not send it. */
    readonly lateness?: number;
}

export const requestMethod = "place";
export const answerMethod = "placed";

export function encodePlacementRequest({ prompt, ...request }: PlacementRequest): Buffer {
    const parts = prompt.parts.map(({ partId, tokens }) => [partId, tokens]);
    return encodeNotification(requestMethod, { ...request, prompt: { ...prompt, parts } });
}

/** Decodes a request. Returns undefined if a field is missing or invalid. */
export function readPlacementRequest({ method, params }: Notification): PlacementRequest | undefined {
    return method === requestMethod ? readOrUndefined(() => readRequestParams(params)) : undefined;
}

export function encodePlacementAnswer(answer: PlacementAnswer): Buffer {
    return encodeNotification(answerMethod, answer);
}

/** Decodes an answer. Returns undefined if a field is missing or invalid. */
export function readPlacementAnswer({ method, params }: Notification): PlacementAnswer | undefined {
    return method === answerMethod ? readOrUndefined(() => readAnswerParams(params)) : undefined;
}

function readRequestParams(params: Notification["params"]): PlacementRequest {
    return {
        from: readName(params["from"]),
        askId: readAmount(params["askId"]),
        availabilityZone: readName(params["availabilityZone"]),
        service: readName(params["service"]),
        route: readName(params["route"]),
        prompt: readPrompt(params["prompt"] as Record<string, unknown>),
        bodyBytes: readAmount(params["bodyBytes"]),
        avoid: readNames(params["avoid"]),
        softwareVersion: readOptionalVersion(params["softwareVersion"]),
        mayDefer: readOptionalFlag(params["mayDefer"]),
        isWholeOnly: params["isWholeOnly"] === true,
        aim: readSigned(params["aim"]),
        // JSON has no infinity: an encoder writes null.
        pauseAim: readOptionalAmount(params["pauseAim"] ?? undefined) ?? Infinity,
        patience: readSigned(params["patience"]),
    };
}

function readPrompt(fields: Readonly<Record<string, unknown>>): PromptDescription {
    const parts = readList<readonly [string, number]>(fields["parts"], [isName, value => isAmount(value)]);
    return {
        model: readName(fields["model"]),
        promptTokens: readAmount(fields["promptTokens"]),
        maxOutputTokens: readAmount(fields["maxOutputTokens"]),
        expectedOutputTokens: readAmount(fields["expectedOutputTokens"]),
        parts: parts.map(([partId, tokens]): PromptPart => ({ partId, tokens })),
    };
}

function readAnswerParams(params: Notification["params"]): PlacementAnswer {
    return {
        from: readName(params["from"]),
        askId: readAmount(params["askId"]),
        number: readAmount(params["number"]),
        prefill: readStep(params["prefill"]),
        decode: readStep(params["decode"]),
        firstEvent: readAmount(params["firstEvent"]),
        soonestEvent: readAmount(params["soonestEvent"]),
        reading: readAmount(params["reading"]),
        isDeferred: params["isDeferred"] === true,
        isOwed: params["isOwed"] === true,
        lateness: params["lateness"] === undefined ? undefined : readSigned(params["lateness"]),
    };
}

function readStep(value: unknown): PlacementStep | undefined {
    if (value === undefined) {
        return undefined;
    }
    const step = value as Record<string, unknown>;
    return {
        targetId: readName(step["targetId"]),
        work: readAmount(step["work"]),
        wait: readAmount(step["wait"]),
        leastWork: readAmount(step["leastWork"]),
        keptTokens: readOptionalAmount(step["keptTokens"]) ?? 0,
        fetchFrom: step["fetchFrom"] === undefined ? undefined : readName(step["fetchFrom"]),
    };
}

/** @throws if the value is defined but not a version, which may be empty */
function readOptionalVersion(value: unknown): string | undefined {
    return value === undefined || value === "" ? value : readName(value);
}

function readNames(value: unknown): string[] {
    if (!Array.isArray(value)) {
        throw new Error("not an array");
    }
    return value.filter(isName);
}

function readSigned(value: unknown): number {
    const magnitude = readOptionalAmount(Math.abs(value as number));
    if (magnitude === undefined) {
        throw new Error("not a valid number");
    }
    return value as number;
}
