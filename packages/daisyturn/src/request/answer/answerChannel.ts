import type { Failure } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { StreamEnd, StreamTokens } from "../../ports/engine.js";
import type { CallerExchange, EventWriter } from "../callerExchange.js";
import { type CompletionNames, createCompletionWriter } from "../completion/completionText.js";
import { buildErrorBody } from "./answer.js";

/** The engine stream that currently provides an answer. */
export interface AnswerSource {
    readonly engine: string;
    readonly streamId: string;
    /** Number of tokens delivered before this stream started. */
    readonly offset: number;
    /** Software version of the engine; empty if it does not report one. */
    readonly softwareVersion: string;
}

/** Sends one completion to the caller, streamed or as one answer. */
export interface AnswerChannel {
    /** Sets the stream that provides the following tokens. */
    setSource(source: AnswerSource): void;
    /** Sends tokens. Returns a promise only if the caller reads too slowly. */
    deliver(tokens: StreamTokens): Promise<void> | undefined;
    finish(end: StreamEnd): void;
    /** Sends the failure as an event if the stream has started; otherwise returns it, to refuse the request. */
    fail(failure: Failure): Result<void, Failure>;
}

/** Options of {@link createStreamedChannel}. */
export interface StreamedChannelOptions {
    readonly names: CompletionNames;
    readonly includeUsage: boolean;
    /** Creates the token with which the caller can resume the answer at any entry process. */
    readonly signResumeToken: (source: AnswerSource) => string;
    /** The caller's token, if it resumes an answer whose beginning it already has. */
    readonly resumeToken?: string;
}

/** Creates a channel that sends tokens as server-sent events when they arrive. */
export function createStreamedChannel(exchange: CallerExchange, options: StreamedChannelOptions): AnswerChannel {
    const completionWriter = createCompletionWriter(options.names);
    let resumeToken = options.resumeToken;
    let eventWriter: EventWriter | undefined;

    /** Sends the header with the first event, so that a refusal before it still has its own status. */
    const write = (event: string) => {
        if (eventWriter) {
            return eventWriter.write(event);
        }
        eventWriter = exchange.openEventStream(resumeToken === undefined ? {} : { "X-Resume-Token": resumeToken });
        return eventWriter.write(`${createOpeningEvents()}${event}`);
    };

    /** A caller that resumes has the first event, but needs a new token if another engine generates the rest. */
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

/** Creates a channel that sends the answer once it is complete. */
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
