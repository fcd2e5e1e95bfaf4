import type { Dispatcher } from "undici";
import { AnswerEnd, determineEnd } from "../../../connection/target/answerEnd.js";
import type { IncomingFields } from "../../forwardedCall.js";
import type { ObservedConnection } from "./observedClient.js";

/**
 * Fails a request whose answer has no length and is cut off by a reset. undici takes any close of the connection for the end
 * of such an answer.
 */
export function failAfterReset(
    handler: Dispatcher.DispatchHandler,
    connection: ObservedConnection,
): Dispatcher.DispatchHandler {
    let end = AnswerEnd.Framed;
    return {
        onRequestStart: (...parameters) => handler.onRequestStart?.(...parameters),
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart: (controller, status, fields, ...parameters) => {
            end = determineEnd("GET", status, fields as IncomingFields);
            handler.onResponseStart?.(controller, status, fields, ...parameters);
        },
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd: (controller, trailers) => {
            if (end === AnswerEnd.ConnectionClosed && !connection.hasEnded()) {
                handler.onResponseError?.(controller, new Error("The connection was reset within the answer."));
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };
}
