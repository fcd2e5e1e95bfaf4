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
    setSource(source: AnswerSource): void;
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
    const completionWriter = createCompletionWriter(options.names);
    let resumeToken = options.resumeToken;
    let eventWriter: EventWriter | undefined;

    /** The header goes out with the first token, so that until then a refusal still has its own status. */
    const write = (event: string) => {
        if (eventWriter) {
            return eventWriter.write(event);
        }
        eventWriter = exchange.openEventStream(resumeToken === undefined ? {} : { "X-Resume-Token": resumeToken });
        return eventWriter.write(`${createOpeningEvents()}${event}`);
    };

    /** A caller that goes on has the beginning, but not the token of an engine that made the rest anew. */
    const createOpeningEvents = () => {
        if (options.resumeToken === undefined) {
            return completionWriter.opening(resumeToken);
        }
        return resumeToken === undefined || resumeToken === options.resumeToken
            ? ""
            : completionWriter.resumeTokenEvent(resumeToken);
    };

    const setSource = (source: AnswerSource) => {
        resumeToken = options.signResumeToken(source);
        if (eventWriter) {
            void eventWriter.write(completionWriter.resumeTokenEvent(resumeToken));
        }
    };

    const finish = (end: StreamEnd) => {
        void write(completionWriter.closing(end, options.includeUsage));
        eventWriter?.end();
    };

    const fail = (failure: Failure): Result<void, Failure> => {
        if (!eventWriter) {
            return err(failure);
        }
        void eventWriter.write(`data: ${JSON.stringify(buildErrorBody(failure))}\n\n`);
        eventWriter.end();
        return ok(undefined);
    };

    return {
        setSource,
        deliver: tokens => write(completionWriter.tokens(tokens.text, tokens.offset + tokens.tokenCount)),
        finish,
        fail,
    };
}

/** Creates a channel that answers only once the answer is whole. */
export function createBufferedChannel(exchange: CallerExchange, names: CompletionNames): AnswerChannel {
    const completionWriter = createCompletionWriter(names);
    let text = "";
    return {
        setSource: () => undefined,
        deliver: tokens => {
            text += tokens.text;
            return undefined;
        },
        finish: end => {
            exchange.answer({ status: 200, contentType: "application/json", body: completionWriter.whole(text, end) });
        },
        fail: failure => err(failure),
    };
}
