import { ExecutionVerdict } from "daisyturn-utils";

/**
 * Owns whether a call can still be sent, and whether a target may have run it, from the moment its head is read until it is
 * answered. Every send passes the gate right before its first byte; every answer closes it, before its status is chosen.
 */
export interface DispatchGate {
    /**
     * Lets a send begin; undefined once the call has been answered.
     * @param isRun whether the target is to run the call. A separate prefill makes no answer and is not a run.
     */
    begin(isRun: boolean): Dispatch | undefined;
    /** Whether a target may have run the call. */
    verdict(): ExecutionVerdict;
    /** Ends all sending. @returns the final verdict */
    close(): ExecutionVerdict;
}

/** A send that has begun. Until its target says otherwise, it may have run the call. */
export interface Dispatch {
    markNotRun(): void;
}

/** Statuses that guarantee to the caller that the call has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status guarantees to the caller that the call has not run and never will. */
export function impliesNotRun(status: number): boolean {
    return notRunStatuses.has(status);
}

/** Creates the gate of one call. */
export function createDispatchGate(): DispatchGate {
    const possibleRuns = new Set<Dispatch>();
    let isOpen = true;

    const verdict = () => possibleRuns.size > 0 ? ExecutionVerdict.MayHaveRun : ExecutionVerdict.NotRun;

    return {
        begin: isRun => {
            if (!isOpen) {
                return undefined;
            }
            const dispatch: Dispatch = { markNotRun: () => void possibleRuns.delete(dispatch) };
            if (isRun) {
                possibleRuns.add(dispatch);
            }
            return dispatch;
        },
        verdict,
        close: () => {
            isOpen = false;
            return verdict();
        },
    };
}
