import type { Failure } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { StreamEnd, StreamTokens } from "../../ports/engine.js";
import type { CallerExchange, EventWriter } from "../callerExchange.js";
import { type CompletionNames, createCompletionWriter } from "../completion/completionText.js";
import { buildErrorBody } from "./answer.js";

/** Where an answer comes from at the moment. */
export interface AnswerSource {
    readonly engine: string;
    readonly streamId: string;
    /** Tokens delivered before this stream began. */
    readonly offset: number;
}

/** Carries one completion to the caller, streamed or whole. */
export interface AnswerChannel {
    /** Tells that the following tokens come from this stream. */
    announce(source: AnswerSource): void;
    /** A promise is returned only if the caller reads too slowly. */
    deliver(tokens: StreamTokens): Promise<void> | undefined;
    finish(end: StreamEnd): void;
    /** Tells the failure inside a stream that has begun; otherwise hands it back for a refusal. */
    fail(failure: Failure): Result<void, Failure>;
}

/** What a streamed answer is made with. */
export interface StreamedChannelOptions {
    readonly names: CompletionNames;
    readonly includeUsage: boolean;
    /** Makes the token with which the caller can go on elsewhere. */
    readonly signResumeToken: (source: AnswerSource) => string;
    /** Set where the caller goes on with an answer and has its beginning. */
    readonly resumeToken?: string;
}

/** Creates a channel that passes each piece on as a server-sent event. */
export function createStreamedChannel(exchange: CallerExchange, options: StreamedChannelOptions): AnswerChannel {
    const texts = createCompletionWriter(options.names);
    let resumeToken = options.resumeToken;
    let writer: EventWriter | undefined;

    /** The header goes out with the first token, so that until then a refusal still has its own status. */
    const write = (event: string) => {
        if (writer) {
            return writer.write(event);
        }
        writer = exchange.openEventStream(resumeToken === undefined ? {} : { "X-Resume-Token": resumeToken });
        return writer.write(`${describeBeginning()}${event}`);
    };

    /** A caller that goes on has the beginning, but not the token of an engine that made the rest anew. */
    const describeBeginning = () => {
        if (options.resumeToken === undefined) {
            return texts.opening(resumeToken);
        }
        return resumeToken === undefined || resumeToken === options.resumeToken ? "" : texts.moved(resumeToken);
    };

    const announce = (source: AnswerSource) => {
        resumeToken = options.signResumeToken(source);
        if (writer) {
            void writer.write(texts.moved(resumeToken));
        }
    };

    const finish = (end: StreamEnd) => {
        void write(texts.closing(end, options.includeUsage));
        writer?.end();
    };

    const fail = (failure: Failure): Result<void, Failure> => {
        if (!writer) {
            return err(failure);
        }
        void writer.write(`data: ${JSON.stringify(buildErrorBody(failure))}\n\n`);
        writer.end();
        return ok(undefined);
    };

    return {
        announce,
        deliver: tokens => write(texts.tokens(tokens.text, tokens.offset + tokens.tokenCount)),
        finish,
        fail,
    };
}

/** Creates a channel that answers only once the answer is whole. */
export function createWholeChannel(exchange: CallerExchange, names: CompletionNames): AnswerChannel {
    const texts = createCompletionWriter(names);
    let text = "";
    return {
        announce: () => undefined,
        deliver: tokens => {
            text += tokens.text;
            return undefined;
        },
        finish: end => {
            exchange.answer({ status: 200, contentType: "application/json", body: texts.whole(text, end) });
        },
        fail: failure => err(failure),
    };
}
