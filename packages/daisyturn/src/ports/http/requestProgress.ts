import type { Dispatcher } from "undici";

/** How far a request got. It decides between the verdicts, so it is set before the first byte is handed over. */
export interface RequestProgress {
    /** True from the moment before the first byte of the request is written to a connected socket. */
    started: boolean;
    /** Set by the sender when it gives the request up: it is then never begun. */
    abandoned: boolean;
}

/**
 * Makes a dispatcher note in the `opaque` option of each request, a {@link RequestProgress}, that writing began.
 * undici calls `onRequestStart` once a connected socket was chosen and before it writes to it, so a request for which
 * it was never called has sent nothing. This holds for every cause of failure, which a list of error codes would not.
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
    return {
        onRequestStart: (controller, context) => {
            if (progress.started || progress.abandoned) {
                // undici may put a request back into its queue when a connection ends; ours are sent once at most.
                controller.abort(new Error("The request was already sent once, or given up."));
                return;
            }
            progress.started = true;
            handler.onRequestStart?.(controller, context);
        },
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };
}
