import { estimateTokenCount, GeneratePart, type GenerateRequest, StreamEventKind, type StreamLine } from "daisyturn";
import { type Answer, createAnswer } from "./expectedAnswer.js";

/** Receives the lines of a stream for one connection. */
export interface StreamReader {
    /** Offset of the next token to write. */
    offset: number;
    /** Time of the last line on the monotonic clock, in real milliseconds. */
    lastWriteAt: number;
    write(line: StreamLine): void;
    end(): void;
    /** Cuts the connection. */
    cut(): void;
}

/** State of one stream and the readers attached to it. */
export interface EngineStream {
    readonly request: GenerateRequest;
    readonly answer: Answer;
    readonly promptTokens: number;
    /** Number of tokens in the complete answer. */
    readonly targetTokens: number;
    generatedTokens: number;
    cachedTokens: number;
    /** The end mark, set once all tokens are generated. */
    end?: StreamLine;
    /** Simulated time of the end. */
    endedAt?: number;
    readonly readers: Set<StreamReader>;
}

/** Creates the stream of a request. */
export function createEngineStream(request: GenerateRequest): EngineStream {
    const answer = createAnswer(request);
    const startOffset = request.startOffset ?? 0;
    const isPrefill = request.part === GeneratePart.Prefill;
    return {
        request,
        answer,
        promptTokens: estimateTokenCount(request.prompt),
        targetTokens: isPrefill ? startOffset : Math.min(answer.naturalLength, request.maxOutputTokens),
        generatedTokens: startOffset,
        cachedTokens: 0,
        readers: new Set(),
    };
}

/** Writes to each reader what it has not received yet: one line with all new tokens, then the end mark. */
export function flushStream(stream: EngineStream, realNow: number): void {
    for (const reader of stream.readers) {
        const tokenCount = stream.generatedTokens - reader.offset;
        if (tokenCount > 0) {
            reader.write({
                kind: StreamEventKind.Tokens,
                streamId: stream.request.streamId,
                offset: reader.offset,
                tokenCount,
                text: stream.answer.text(reader.offset, tokenCount),
            });
            reader.offset = stream.generatedTokens;
            reader.lastWriteAt = realNow;
        }
        if (stream.end) {
            reader.write(stream.end);
            reader.end();
            stream.readers.delete(reader);
        }
    }
}

/** Cuts the connections of all readers and detaches them. */
export function cutReaders(stream: EngineStream): void {
    stream.readers.forEach(reader => reader.cut());
    stream.readers.clear();
}
