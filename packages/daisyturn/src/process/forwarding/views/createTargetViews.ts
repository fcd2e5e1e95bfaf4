import type { Clock, EventLog } from "daisyturn-utils";
import { EngineActivity, type EngineOrders } from "../../../ports/engineOrders.js";
import { createTargetLimits, type TargetLimits } from "../limits/requests/createTargetLimits.js";
import { createTargetLinks, type TargetLinks } from "../links/createTargetLinks.js";
import { createTargetSpeeds, type TargetSpeeds } from "../speeds/createTargetSpeeds.js";
import { type ClosedTargets, createClosedTargets } from "../targets/createClosedTargets.js";
import { createTargetAvailability, type TargetAvailability } from "../targets/createTargetAvailability.js";
import { createTargetContinuity, type TargetContinuity } from "../targets/createTargetContinuity.js";
import { createTargetHealth, type TargetHealth } from "../targets/createTargetHealth.js";
import { createTargetList, type TargetList, type TargetListOptions } from "../targets/createTargetList.js";
import { type CacheEstimates, createCacheEstimates } from "./createCacheEstimates.js";
import { createEventIntervals, type EventIntervals } from "./createEventIntervals.js";
import { createPrefillDemand, type PrefillDemand } from "./createPrefillDemand.js";
import { createPrefillRates, type PrefillRates } from "./createPrefillRates.js";
import { createSlowdownEstimates, type SlowdownEstimates } from "./createSlowdownEstimates.js";
import { createTargetLoads, type TargetLoads } from "./createTargetLoads.js";

/** The state and the estimates that one process has of the targets. */
export interface TargetViews {
    readonly targets: TargetList;
    readonly links: TargetLinks;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly caches: CacheEstimates;
    readonly slowdowns: SlowdownEstimates;
    readonly prefillRates: PrefillRates;
    readonly eventIntervals: EventIntervals;
    readonly closed: ClosedTargets;
    readonly availability: TargetAvailability;
    readonly continuity: TargetContinuity;
    readonly limits: TargetLimits;
    readonly demand: PrefillDemand;
    /**
     * The demand without the slowdowns of engines, for services whose engines are ordered. Slowdowns grow with the queues
     * of a short surge, so that orders by them would follow each surge.
     */
    readonly leastDemand: PrefillDemand;
    /** The part of the least demand that prefills shared parts of prompts at engines that lack them. */
    readonly firstReads: PrefillDemand;
    readonly speeds: TargetSpeeds;
}

const activityTimeoutMilliseconds = 300;

/**
 * Creates the views of one process. The data of a target are removed with it.
 * @param engineOrders asks silent engines whether they are active; without it, the answer counts as missing
 */
export function createTargetViews(
    decode: TargetListOptions["decode"],
    clock: Clock,
    eventLog: EventLog,
    engineOrders?: Pick<EngineOrders, "checkActivity">,
): TargetViews {
    const targets = createTargetList({ decode, clock, eventLog });
    const loads = createTargetLoads(clock);
    const queryActivity = async (targetId: string) => {
        const target = targets.find(targetId);
        const deadline = clock.monotonicNow() + activityTimeoutMilliseconds;
        return target && engineOrders ? await engineOrders.checkActivity(target, deadline) : EngineActivity.NoAnswer;
    };
    const health = createTargetHealth(clock, eventLog, queryActivity);
    const links = createTargetLinks(clock, eventLog);
    links.onLost(address => targets.findAt(address).forEach(health.recordLinkLost));
    const caches = createCacheEstimates(clock);
    const slowdowns = createSlowdownEstimates();
    const limits = createTargetLimits(clock, eventLog);
    const closed = createClosedTargets(clock, eventLog);
    const availability = createTargetAvailability(targets, closed, clock, eventLog);
    const continuity = createTargetContinuity(targets, clock, eventLog);
    const speeds = createTargetSpeeds(targets, clock, eventLog);
    const views = [loads, health, caches, slowdowns, limits, availability, speeds];
    targets.onRemoved(targetId => views.forEach(view => view.forget(targetId)));
    return {
        targets,
        links,
        loads,
        health,
        caches,
        slowdowns,
        prefillRates: createPrefillRates(),
        eventIntervals: createEventIntervals(),
        limits,
        closed,
        availability,
        continuity,
        demand: createPrefillDemand(clock),
        leastDemand: createPrefillDemand(clock),
        firstReads: createPrefillDemand(clock),
        speeds,
    };
}
