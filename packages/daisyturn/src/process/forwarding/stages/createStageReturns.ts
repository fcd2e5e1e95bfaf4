import type { Clock } from "daisyturn-utils";
import { EngineStage } from "../../../ports/listedTarget.js";
import type { TargetList } from "../targets/createTargetList.js";

/** Forecasts when the engines of a service decode again. */
export interface StageReturns {
    /**
     * Called for each prompt that no engine can serve.
     * @returns milliseconds until an engine is expected to decode; undefined if no engine is listed, or the cause is not
     * that none decodes
     */
    estimate(service: string): number | undefined;
}

/** Time that a change takes from the loss of the last decode engine: to be ordered, and the engine's own. */
const expectedMilliseconds = 4_000;
/** Used once the change takes longer than expected. */
const overdueMilliseconds = 1_000;
/** Without a refused prompt for this long, the next one is taken for the start of another outage. */
const quietMilliseconds = 3_000;

interface Outage {
    /** Monotonic times. */
    readonly since: number;
    seenAt: number;
}

export function createStageReturns(targets: Pick<TargetList, "open">, clock: Clock): StageReturns {
    const outages = new Map<string, Outage>();

    const findOutage = (service: string): Outage => {
        const now = clock.monotonicNow();
        const known = outages.get(service);
        const outage = known && now - known.seenAt < quietMilliseconds ? known : { since: now, seenAt: now };
        outage.seenAt = now;
        outages.set(service, outage);
        return outage;
    };

    return {
        estimate: service => {
            const engines = targets.open(service).filter(({ stage }) => stage !== undefined);
            if (engines.length === 0 || engines.some(({ stage }) => stage !== EngineStage.Prefill)) {
                outages.delete(service);
                return undefined;
            }
            const { since } = findOutage(service);
            return Math.max(overdueMilliseconds, since + expectedMilliseconds - clock.monotonicNow());
        },
    };
}
