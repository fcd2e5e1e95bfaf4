import { ExecutionVerdict, type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { FinishReason, type StreamEnd, type StreamEvent, StreamEventKind, type StreamTokens } from "../engine.js";
import { type StreamLine, streamLineSchema, waitingKind } from "./engineMessages.js";
import type { Operation } from "./operation.js";
import { LineTooLongError, readLines } from "./readLines.js";
import { parseJson } from "./refusal.js";
import { describeFailure, type OpenedAnswer } from "./targetHttpClient.js";

const maxLineBytes = 1_048_576;

/** Properties that a complete stream must have. */
export interface EngineStreamOptions {
    readonly streamId: string;
    /** Whether the stream only prefills. Only then must it end without tokens and with a KV handle. */
    readonly isPrefill: boolean;
    /** Tokens delivered before this stream. */
    readonly startOffset: number;
    /** Maximum number of tokens of the complete answer. */
    readonly maxOutputTokens: number;
    /** Maximum number of bytes that are read. */
    readonly maxAnswerBytes: number;
    readonly operation: Operation;
}

/**
 * Reads an engine's stream and checks that no event is missing, repeated or of another stream. The last event is always
 * an End or a Broken. Ends the operation. Leaving the loop early closes the connection, and the engine continues.
 */
export async function* readEngineStream(
    answer: OpenedAnswer,
    options: EngineStreamOptions,
): AsyncGenerator<StreamEvent, void, undefined> {
    const { operation } = options;
    const checker = createSequenceChecker(options);
    try {
        for await (const text of readLines(limitBytes(answer.body, options), maxLineBytes)) {
            const event = checker.check(text);
            if (!event) {
                continue;
            }
            yield event;
            if (event.kind !== StreamEventKind.Tokens) {
                return;
            }
        }
        yield broken(mayHaveRun(FailureReason.StreamBroken, "The stream ended without its end mark."));
    }
    catch (error) {
        yield broken(describeStreamError(error, operation));
    }
    finally {
        answer.body.destroy();
        operation.end();
    }
}

class AnswerTooLargeError extends Error {}

async function* limitBytes(body: OpenedAnswer["body"], options: EngineStreamOptions): AsyncGenerator<Buffer> {
    let byteCount = 0;
    for await (const chunk of body as AsyncIterable<Buffer>) {
        options.operation.recordActivity();
        byteCount += chunk.length;
        if (byteCount > options.maxAnswerBytes) {
            throw new AnswerTooLargeError();
        }
        yield chunk;
    }
}

function describeStreamError(error: unknown, operation: Operation): Failure {
    if (error instanceof LineTooLongError || error instanceof AnswerTooLargeError) {
        return mayHaveRun(FailureReason.BodyTooLarge, "The answer exceeds the limit.");
    }
    const failure = describeFailure(error, operation, ExecutionVerdict.MayHaveRun);
    return operation.cause() === undefined ? { ...failure, reason: FailureReason.StreamBroken } : failure;
}

function broken(failure: Failure): StreamEvent {
    return { kind: StreamEventKind.Broken, failure };
}

/** Checks the sequence of one stream's lines. */
interface SequenceChecker {
    /** Returns the event in a line; undefined for a line without an event. */
    check(text: string): StreamEvent | undefined;
}

function createSequenceChecker(options: EngineStreamOptions): SequenceChecker {
    let offset = options.startOffset;

    const findFault = (line: StreamLine): string | undefined => {
        if (line.streamId !== options.streamId) {
            return "a line belongs to another stream";
        }
        switch (line.kind) {
            case waitingKind:
                return undefined;
            case StreamEventKind.Tokens:
                return findTokensFault(line);
            case StreamEventKind.End:
                return findEndFault(line);
        }
    };

    const findTokensFault = (line: StreamTokens): string | undefined => {
        if (line.offset !== offset) {
            return "an offset is missing or repeated";
        }
        const isWithinLimit = !options.isPrefill && line.offset + line.tokenCount <= options.maxOutputTokens;
        return isWithinLimit ? undefined : "it has more tokens than were asked for";
    };

    const findEndFault = (line: StreamEnd): string | undefined => {
        const isPrefilled = line.finishReason === FinishReason.Prefilled && line.kvHandle !== undefined;
        if (isPrefilled !== options.isPrefill) {
            return "its end mark is that of another part";
        }
        return line.outputTokens === offset ? undefined : "its end mark counts other tokens";
    };

    const check = (text: string): StreamEvent | undefined => {
        const parsed = streamLineSchema.safeParse(parseJson(text));
        if (!parsed.success) {
            return broken(mayHaveRun(FailureReason.StreamBroken, "A line of the stream can't be read."));
        }
        const line = parsed.data;
        const fault = findFault(line);
        if (fault !== undefined) {
            return broken(mayHaveRun(FailureReason.StreamBroken, `The stream is broken: ${fault}.`));
        }
        if (line.kind === waitingKind) {
            return undefined;
        }
        if (line.kind === StreamEventKind.Tokens) {
            offset += line.tokenCount;
        }
        return toEvent(line);
    };

    return { check };
}

/** Removes the fields that are only used on the wire. */
function toEvent(line: Exclude<StreamLine, { kind: typeof waitingKind; }>): StreamEvent {
    if (line.kind === StreamEventKind.Tokens) {
        return { kind: line.kind, offset: line.offset, tokenCount: line.tokenCount, text: line.text };
    }
    const { kind, finishReason, promptTokens, cachedTokens, outputTokens, kvHandle } = line;
    return { kind, finishReason, promptTokens, cachedTokens, outputTokens, ...(kvHandle ? { kvHandle } : {}) };
}
