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
    readOrUndefined,
} from "./notification.js";

/** Asks a coordinator which way a prompt is to go. */
export interface PlacementRequest {
    readonly from: string;
    /** Number of the question, unique to the sender. */
    readonly askId: number;
    readonly availabilityZone: string;
    readonly service: string;
    readonly route: string;
    readonly prompt: PromptDescription;
    readonly bodyBytes: number;
    /** Targets that failed the call, or that the sender does not trust. */
    readonly avoid: readonly string[];
    readonly isWholeOnly: boolean;
    /** Milliseconds within which the first event is on time; negative once it is late. */
    readonly aim: number;
    readonly pauseAim: number;
    /** Milliseconds until the caller leaves, unless its answer has begun by then. */
    readonly patience: number;
}

/** A step of the way, with the estimates that it was chosen by. */
export interface PlacementStep {
    readonly targetId: string;
    readonly work: number;
    readonly wait: number;
    readonly leastWork: number;
    readonly keptTokens: number;
    readonly fetchFrom?: string;
}

/** Answers a {@link PlacementRequest}. */
export interface PlacementAnswer {
    readonly from: string;
    readonly askId: number;
    /** Counts the placements that the receiver was given by the sender. */
    readonly number: number;
    readonly prefill?: PlacementStep;
    /** Absent where no engine can take the prompt. */
    readonly decode?: PlacementStep;
    readonly firstEvent: number;
    readonly soonestEvent: number;
    readonly reading: number;
    readonly isDeferred: boolean;
    readonly isOwed: boolean;
    /** As in `PromptDecision`; absent where the sender does not tell it. */
    readonly lateness?: number;
}

export const requestMethod = "place";
export const answerMethod = "placed";

/** Writes a question. */
export function encodePlacementRequest({ prompt, ...ask }: PlacementRequest): Buffer {
    const parts = prompt.parts.map(({ partId, tokens }) => [partId, tokens]);
    return encodeNotification(requestMethod, { ...ask, prompt: { ...prompt, parts } });
}

/** Reads a question; undefined where a field is missing or can't be. */
export function readPlacementRequest({ method, params }: Notification): PlacementRequest | undefined {
    return method === requestMethod ? readOrUndefined(() => readRequestParams(params)) : undefined;
}

/** Writes an answer. */
export function encodePlacementAnswer(answer: PlacementAnswer): Buffer {
    return encodeNotification(answerMethod, answer);
}

/** Reads an answer; undefined where a field is missing or can't be. */
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
        isWholeOnly: params["isWholeOnly"] === true,
        aim: readSigned(params["aim"]),
        pauseAim: readAmount(params["pauseAim"]),
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

function readNames(value: unknown): string[] {
    if (!Array.isArray(value)) {
        throw new Error("not a list");
    }
    return value.filter(isName);
}

function readSigned(value: unknown): number {
    const magnitude = readOptionalAmount(Math.abs(value as number));
    if (magnitude === undefined) {
        throw new Error("not a number");
    }
    return value as number;
}
