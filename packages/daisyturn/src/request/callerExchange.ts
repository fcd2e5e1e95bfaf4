import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Header fields of an answer. */
export type AnswerHeaders = Readonly<Record<string, string>>;

/** An answer sent in one piece. */
export interface CallerAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
    readonly headers?: AnswerHeaders;
}

/** Writes a stream of server-sent events to the caller. */
export interface EventWriter {
    /**
     * Writes one event. A promise is returned only if the caller reads too slowly; it resolves once the caller has
     * caught up or the exchange's signal is aborted.
     */
    write(event: string): Promise<void> | undefined;
    end(): void;
}

/** One request of a caller and the means to answer it, independent of the transport. */
export interface CallerExchange {
    readonly requestId: string;
    readonly method: string;
    /** Path without the query. */
    readonly path: string;
    /** Query with its leading question mark, or empty. */
    readonly query: string;
    /** Aborted, with a Failure as its reason, once the caller has disconnected or the process stops. */
    readonly signal: AbortSignal;
    /** Value of a header field that may occur only once; names are in lower case. */
    header(name: string): string | undefined;
    /** Reads the complete body as UTF-8 text. */
    readBody(): Promise<Result<string, Failure>>;
    answer(answer: CallerAnswer): void;
    openEventStream(headers: AnswerHeaders): EventWriter;
}
