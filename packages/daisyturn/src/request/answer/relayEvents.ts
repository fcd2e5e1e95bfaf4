import { type Failure, FailureReason, mayHaveRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { type StreamEnd, type StreamEvent, StreamEventKind, type StreamTokens } from "../../ports/engine.js";
import { addTokens, type AnswerProgress } from "./answerProgress.js";

/** Receives tokens in order. If it returns a promise, the stream waits until that resolves. */
export type TokenSink = (tokens: StreamTokens) => Promise<void> | undefined;

/**
 * Relays an engine's events and checks that no token is missing, duplicated or out of order and that the end mark
 * agrees with the delivered tokens. A stream without a valid end mark is a failure; it is never presented as a short
 * answer.
 */
export async function relayEvents(
    events: AsyncIterable<StreamEvent>,
    progress: AnswerProgress,
    sink: TokenSink,
    signal: AbortSignal,
): Promise<Result<StreamEnd, Failure>> {
    for await (const event of events) {
        if (signal.aborted) {
            break;
        }
        if (event.kind === StreamEventKind.Broken) {
            return err(event.failure);
        }
        if (event.kind === StreamEventKind.End) {
            return event.outputTokens === progress.offset
                ? ok(event)
                : err(broken("The engine's stream ended before its last token."));
        }
        if (event.offset !== progress.offset) {
            return err(broken("The engine's stream is out of sequence."));
        }
        addTokens(progress, event);
        const pause = sink(event);
        if (pause) {
            await pause;
        }
    }
    return err(signal.aborted ? signal.reason as Failure : broken("The engine's stream has no end mark."));
}

function broken(message: string): Failure {
    return mayHaveRun(FailureReason.StreamBroken, message);
}
