import { type Clock, FailureReason, mayHaveRun } from "daisyturn-utils";
import type { TargetHealth } from "../../../process/forwarding/index.js";

/** Interval of the checks for a silent target, and the time without bytes that a check requires. */
const silenceCheckIntervalMilliseconds = 350;
/**
 * Time without bytes after which a call that may be repeated is not left on a lost link. Older connections may still work
 * over it, and prompts wait for their prefill.
 */
const lostLinkMilliseconds = 2_000;

/** The watch over one attempt. */
export interface SilenceWatch {
    readonly signal: AbortSignal;
    recordBytesReceived(): void;
    /** Whether the attempt was aborted because its target had fallen silent. */
    isSilent(): boolean;
    end(): void;
}

/** What {@link watchSilence} needs. */
export interface SilenceWatchOptions {
    readonly clock: Clock;
    readonly health: TargetHealth;
    readonly callSignal: AbortSignal;
    readonly targetId: string;
    readonly isRepeatable: boolean;
    /** Whether the call was sent over a link that is lost. */
    readonly isLinkLost: () => boolean;
    /** Ends the record of the call's wait for its target. */
    readonly endWait: () => void;
}

/**
 * Aborts an attempt together with its call and, if it may be repeated, once its target has fallen silent or the link to
 * it is lost.
 */
export function watchSilence(options: SilenceWatchOptions): SilenceWatch {
    const { clock, health, callSignal, targetId, isRepeatable } = options;
    const controller = new AbortController();
    const abortWithCall = () => controller.abort(callSignal.reason);
    let isSilent = false;
    let lastReceivedAt = clock.monotonicNow();
    const hasWaited = (milliseconds: number) => clock.monotonicNow() - lastReceivedAt > milliseconds;
    const check = () => {
        if (options.isLinkLost()) {
            options.endWait();
            if (isRepeatable && hasWaited(lostLinkMilliseconds)) {
                controller.abort(mayHaveRun(FailureReason.TargetFailed, "The link to the target is lost."));
            }
            return;
        }
        if (!isRepeatable) {
            return;
        }
        health.checkSilence(targetId);
        if (health.isSilent(targetId) && hasWaited(silenceCheckIntervalMilliseconds)) {
            isSilent = true;
            controller.abort(mayHaveRun(FailureReason.TargetFailed, "The target has fallen silent."));
        }
    };
    const timer = setInterval(check, silenceCheckIntervalMilliseconds);
    callSignal.addEventListener("abort", abortWithCall, { once: true });
    return {
        signal: controller.signal,
        recordBytesReceived: () => {
            lastReceivedAt = clock.monotonicNow();
        },
        isSilent: () => isSilent,
        end: () => {
            clearInterval(timer);
            callSignal.removeEventListener("abort", abortWithCall);
        },
    };
}
