import { ArrivalResult, SendPart } from "../../../process/forwarding/index.js";

/** The arrivals of one call at targets, as the retry budget of the fleet counts them. */
export interface CallArrivals {
    /**
     * Records a send that reached its target, or may have.
     * @returns whether it is a repeat
     */
    record(part: SendPart, result: ArrivalResult): boolean;
}

/**
 * Creates the arrivals of a call that has not been sent. The first arrival is no repeat, and the first prefill that an
 * engine accepts is no arrival. A prefill of unknown outcome counts as not accepted.
 */
export function createCallArrivals(): CallArrivals {
    let counted = 0;
    let hasAcceptedPrefill = false;
    return {
        record: (part, result) => {
            if (part === SendPart.Prefill && result === ArrivalResult.Answered && !hasAcceptedPrefill) {
                hasAcceptedPrefill = true;
                return false;
            }
            counted += 1;
            return counted > 1;
        },
    };
}
