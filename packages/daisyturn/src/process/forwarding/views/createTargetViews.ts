import type { Clock, EventLog } from "daisyturn-utils";
import { EngineActivity, type EngineOrders } from "../../../ports/engineOrders.js";
import { type ClosedTargets, createClosedTargets } from "../targets/createClosedTargets.js";
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
 * @param engineOrders asks engines that send nothing whether they work; without it, none confirms that it does
 */
export function createTargetViews(
    decode: TargetListOptions["decode"],
    clock: Clock,
    eventLog: EventLog,
    engineOrders?: Pick<EngineOrders, "checkActivity">,
): TargetViews {
    const targets = createTargetList({ decode, clock, eventLog });
    const loads = createTargetLoads(clock);
    const askActivity = async (targetId: string) => {
        const target = targets.find(targetId);
        const deadline = clock.monotonicNow() + activityTimeoutMilliseconds;
        return target && engineOrders ? await engineOrders.checkActivity(target, deadline) : EngineActivity.NoAnswer;
    };
    const health = createTargetHealth(clock, eventLog, askActivity);
    const caches = createCacheBeliefs(clock);
    const paces = createPaceView();
    targets.onRemoved(targetId => [loads, health, caches, paces].forEach(view => view.forget(targetId)));
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
