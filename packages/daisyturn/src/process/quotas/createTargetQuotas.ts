import type { Clock } from "daisyturn-utils";
import type { TargetLimits } from "../forwarding/limits/requests/createTargetLimits.js";
import type { TargetAvailability } from "../forwarding/targets/createTargetAvailability.js";
import type { Quotas } from "./createQuotas.js";
import type { AnnouncedRate } from "./quotaMessages.js";

/** How a request for a token ended. Used as a metric label. */
export enum TokenResult {
    Granted = "granted",
    Denied = "denied",
    /** No home has answered. */
    Unanswered = "unanswered",
}

/** What {@link createTargetQuotas} needs. */
export interface TargetQuotasOptions {
    readonly quotas: Pick<Quotas, "take">;
    readonly limits: Pick<TargetLimits, "findNamed">;
    readonly availability: Pick<TargetAvailability, "recordThrottle">;
    readonly recordToken: (result: TokenResult) => void;
    readonly clock: Clock;
}

/** Takes tokens for requests to targets that name a limit. */
export interface TargetQuotas {
    /** Whether a request to the target needs a token. */
    needsToken(targetId: string): boolean;
    /** Takes a token. Without one, the target takes no requests of this process until the time that the home names. */
    acquire(targetId: string): Promise<boolean>;
}

const targetPrefix = "target:";
/** Shortest time for which a target without tokens is left alone. */
const minThrottleMilliseconds = 5;

export function createTargetQuotas(options: TargetQuotasOptions): TargetQuotas {
    const { quotas, limits, availability, recordToken, clock } = options;
    return {
        needsToken: targetId => limits.findNamed(targetId) !== undefined,
        acquire: async targetId => {
            const named = limits.findNamed(targetId);
            if (!named) {
                return true;
            }
            const age = Math.max(0, clock.monotonicNow() - named.namedAt);
            const answer = await quotas.take({ quota: targetPrefix + targetId, perSecond: named.limit, age });
            if (answer.isGranted) {
                recordToken(TokenResult.Granted);
                return true;
            }
            recordToken(answer.isUnanswered ? TokenResult.Unanswered : TokenResult.Denied);
            const wait = Math.max(answer.wait, minThrottleMilliseconds);
            availability.recordThrottle(targetId, clock.monotonicNow() + wait);
            return false;
        },
    };
}

/** Records the limit of a target that another process has learned. */
export function recordAnnouncedLimit(
    limits: Pick<TargetLimits, "recordRemote">,
    { quota, perSecond, age }: AnnouncedRate,
): void {
    if (quota.startsWith(targetPrefix)) {
        limits.recordRemote(quota.slice(targetPrefix.length), perSecond, age);
    }
}
