import { ArrivalResult, type RetryPermit, SendPart, type SpentRepeat } from "../../../process/forwarding/index.js";

/** The arrivals of one call at targets, as the retry budget of the fleet counts them. */
export interface CallArrivals {
    /**
     * Returns how many repeats another placement sends at most.
     * @param hasPrefill whether the placement has a separate prefill
     */
    countRepeats(hasPrefill: boolean): number;
    /** Replaces the permit for the repeats that follow. */
    setPermit(permit: RetryPermit | undefined): void;
    /** Whether the permit covers a placement with a separate prefill. */
    mayPrefill(): boolean;
    /** Releases the repeats that a placement does not need. */
    keepFor(hasPrefill: boolean): void;
    /** Begins a send; undefined if it may be a repeat that the permit does not cover. */
    begin(part: SendPart): BegunArrival | undefined;
    /** Releases all remaining repeats, at the end of the call. */
    end(): void;
}

/** A send that has begun. */
export interface BegunArrival {
    /** Records that the target has begun to answer. Until then, the arrival counts in every window. */
    markAnswered(): void;
    /**
     * Ends the send.
     * @param result undefined if nothing was sent to the target
     * @returns whether it was a repeat
     */
    end(result: ArrivalResult | undefined): boolean;
}

/**
 * Creates the arrivals of a call that has not been sent. The first arrival is no repeat, and the first prefill that an
 * engine accepts is no arrival. A prefill of unknown outcome counts as not accepted.
 */
export function createCallArrivals(): CallArrivals {
    let counted = 0;
    let hasAcceptedPrefill = false;
    let permit: RetryPermit | undefined;

    /** A prefill that may still be the first accepted one counts only if it fails, and no decode follows then. */
    const countArrivals = (hasPrefill: boolean) => hasPrefill && hasAcceptedPrefill ? 2 : 1;

    const countRepeats = (hasPrefill: boolean) =>
        Math.max(0, counted + countArrivals(hasPrefill) - 1) - Math.max(0, counted - 1);

    return {
        countRepeats,
        setPermit: next => {
            permit?.release();
            permit = next;
        },
        mayPrefill: () => countRepeats(true) <= (permit?.remaining ?? 0),
        keepFor: hasPrefill => permit?.release(countRepeats(hasPrefill)),
        begin: part => {
            const isRepeat = counted > 0;
            const spent = isRepeat ? permit?.spend() : undefined;
            if (isRepeat && !spent) {
                return undefined;
            }
            let unsettled = spent;
            const settle = (record: (repeat: SpentRepeat) => void) => {
                if (unsettled) {
                    record(unsettled);
                    unsettled = undefined;
                }
            };
            return {
                markAnswered: () => {
                    if (part !== SendPart.Prefill || hasAcceptedPrefill) {
                        settle(repeat => repeat.recordAnswered());
                    }
                },
                end: result => {
                    const isFree = part === SendPart.Prefill && result === ArrivalResult.Answered
                        && !hasAcceptedPrefill;
                    hasAcceptedPrefill ||= isFree;
                    if (result === undefined || isFree) {
                        settle(repeat => repeat.giveBack());
                        return false;
                    }
                    settle(repeat => result === ArrivalResult.Broken ? repeat.recordBroken() : repeat.recordAnswered());
                    counted += 1;
                    return isRepeat;
                },
            };
        },
        end: () => permit?.release(),
    };
}
