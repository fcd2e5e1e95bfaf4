import type { Dispatcher } from "undici";
import { createInterimAnswers, isFinal } from "../../../connection/target/interimAnswers.js";

/** Progress of a request. It determines the verdict of a failure, so it is updated before the first byte is written. */
export interface RequestProgress {
    /** Set immediately before the first byte of the request is written to a connected socket. */
    started: boolean;
    /** Set by the sender when it abandons the request, which is then never started. */
    abandoned: boolean;
    /** Checked immediately before the first byte is written; the request is not sent if it returns false. */
    readonly mayStart?: () => boolean;
    /** Set if `mayStart` kept the request from being started. */
    rejected?: boolean;
}

/**
 * Wraps a dispatcher so that it sets `started` in the `opaque` option of each request, a {@link RequestProgress}.
 * undici calls `onRequestStart` after it has chosen a connected socket and before it writes to it. If it was never
 * called, no byte was sent. This covers every cause of failure, which a list of error codes would not.
 */
export function trackRequestProgress(dispatcher: Dispatcher): Dispatcher {
    return dispatcher.compose(dispatch => (options, handler) => {
        const { opaque } = options as Dispatcher.RequestOptions<RequestProgress>;
        return dispatch(options, opaque ? createTrackingHandler(opaque, handler) : handler);
    });
}

function createTrackingHandler(
    progress: RequestProgress,
    handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
    const interimAnswers = createInterimAnswers();
    return {
        onRequestStart: (controller, context) => {
            const mayStart = !progress.started && !progress.abandoned;
            progress.rejected = mayStart && progress.mayStart?.() === false;
            if (!mayStart || progress.rejected) {
                // undici may requeue a request when a connection ends, but a request must be sent at most once.
                controller.abort(new Error("The request was already sent, was abandoned, or may no longer be sent."));
                return;
            }
            progress.started = true;
            handler.onRequestStart?.(controller, context);
        },
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart: (controller, status, ...parameters) => {
            const failure = isFinal(status) ? undefined : interimAnswers.record(status);
            if (failure) {
                controller.abort(new Error(failure.message));
                return;
            }
            handler.onResponseStart?.(controller, status, ...parameters);
        },
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };
}
