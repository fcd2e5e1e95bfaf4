/** Ends a wait early: an `AbortSignal`, or the signal of an {@link Interruption}, which costs far less. */
export interface WaitSignal {
    readonly aborted: boolean;
    addEventListener(type: "abort", listener: () => void, options?: { readonly once?: boolean; }): void;
    removeEventListener(type: "abort", listener: () => void): void;
}

type AbortListening = readonly [type: "abort", listener: () => void];

/** Ends the waits of one task early. */
export interface Interruption {
    readonly signal: WaitSignal;
    interrupt(): void;
}

/**
 * Creates an interruption that has not happened. Waits begin and end hundreds of times a second in each process. An
 * `AbortController` in its place would dispatch an event for each, and create an error with a stack trace.
 */
export function createInterruption(): Interruption {
    const listeners = new Set<() => void>();
    let aborted = false;
    return {
        signal: {
            get aborted() {
                return aborted;
            },
            addEventListener: (...[, listener]: AbortListening) => void listeners.add(listener),
            removeEventListener: (...[, listener]: AbortListening) => void listeners.delete(listener),
        },
        interrupt: () => {
            aborted = true;
            const interrupted = [...listeners];
            listeners.clear();
            interrupted.forEach(listener => listener());
        },
    };
}

/** The listeners of each `AbortSignal` that tasks wait with. */
const waitingBySignal = new WeakMap<AbortSignal, Set<() => void>>();

/**
 * Calls a listener once the signal is aborted. An `AbortSignal` gets one event listener for all tasks that wait with it:
 * adding and removing one searches the list of all others.
 * @returns removes the listener
 */
export function onInterrupted(signal: WaitSignal, listener: () => void): () => void {
    if (!(signal instanceof AbortSignal)) {
        signal.addEventListener("abort", listener, { once: true });
        return () => signal.removeEventListener("abort", listener);
    }
    const waiting = waitingBySignal.get(signal) ?? watch(signal);
    waiting.add(listener);
    return () => void waiting.delete(listener);
}

function watch(signal: AbortSignal): Set<() => void> {
    const waiting = new Set<() => void>();
    waitingBySignal.set(signal, waiting);
    signal.addEventListener("abort", () => {
        const interrupted = [...waiting];
        waiting.clear();
        interrupted.forEach(listener => listener());
    }, { once: true });
    return waiting;
}
