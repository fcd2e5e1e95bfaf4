import type { Clock, EventLog } from "daisyturn-utils";
import { EngineActivity, type EngineOrders } from "../../../ports/engineOrders.js";
import { type ClosedTargets, createClosedTargets } from "../targets/createClosedTargets.js";
import { type ActivitySource, noActivitySource } from "../targets/createSilenceDetector.js";
import { createTargetHealth, type TargetHealth } from "../targets/createTargetHealth.js";
import { createTargetList, type TargetList, type TargetListOptions } from "../targets/createTargetList.js";
import { type CacheBeliefs, createCacheBeliefs } from "./createCacheBeliefs.js";
import { createEventPace, type EventPace } from "./createEventPace.js";
import { createPaceView, type PaceView } from "./createPaceView.js";
import { createPrefillRates, type PrefillRates } from "./createPrefillRates.js";
import { createReadingDemand, type ReadingDemand } from "./createReadingDemand.js";
import { createTargetLoads, type TargetLoads } from "./createTargetLoads.js";

/** All that one process believes of the targets. */
export interface TargetViews {
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheBeliefs;
    readonly paces: PaceView;
    readonly prefillRates: PrefillRates;
    readonly eventPace: EventPace;
    readonly closed: ClosedTargets;
    readonly demand: ReadingDemand;
}

const activityTimeoutMilliseconds = 300;

/**
 * Creates the views of one process; what is believed of a target ends with it.
 * @param engineOrders asks engines that send nothing whether they work; without it, silence alone counts
 */
export function createTargetViews(
    decode: TargetListOptions["decode"],
    clock: Clock,
    eventLog: EventLog,
    engineOrders?: Pick<EngineOrders, "checkActivity">,
): TargetViews {
    const targets = createTargetList({ decode, clock, eventLog });
    const loads = createTargetLoads(clock);
    const activitySource = createActivitySource(targets, clock, engineOrders);
    const health = createTargetHealth(clock, eventLog, activitySource);
    const caches = createCacheBeliefs(clock);
    const paces = createPaceView();
    targets.onGone(targetId => [loads, health, caches, paces].forEach(view => view.forget(targetId)));
    return {
        targets,
        loads,
        health,
        caches,
        paces,
        prefillRates: createPrefillRates(),
        eventPace: createEventPace(),
        closed: createClosedTargets(clock, eventLog),
        demand: createReadingDemand(clock),
    };
}

function createActivitySource(
    targets: TargetList,
    clock: Clock,
    engineOrders: Pick<EngineOrders, "checkActivity"> | undefined,
): ActivitySource {
    const findEngine = (targetId: string) => {
        const target = targets.find(targetId);
        return target?.stage === undefined ? undefined : target;
    };
    return engineOrders === undefined ? noActivitySource : {
        isAvailable: targetId => findEngine(targetId) !== undefined,
        ask: async targetId => {
            const engine = findEngine(targetId);
            const deadline = clock.monotonicNow() + activityTimeoutMilliseconds;
            return engine ? await engineOrders.checkActivity(engine, deadline) : EngineActivity.NoAnswer;
        },
    };
}
