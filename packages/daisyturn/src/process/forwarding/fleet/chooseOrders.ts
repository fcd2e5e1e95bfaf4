import type { EngineScaling } from "../../../version/forwarding/forwardingConfiguration.js";
import {
    addEngines,
    countAfterZoneLoss,
    countEngines,
    countZone,
    EngineKind,
    engineKinds,
    type FleetNumbers,
    noEngines,
} from "./fleetNumbers.js";
import { type EngineNeeds, type StageWork, sumWork } from "./forecastNeeds.js";
import { planNumbers, priceOf, priceOfFleet, type ZoneLimits } from "./planNumbers.js";

/** The state of a service's engines and demand that a decision is based on. */
export interface FleetView {
    readonly scaling: EngineScaling;
    readonly zones: readonly ZoneLimits[];
    /** Numbers that the platform was last asked for, as far as they still count. */
    readonly ordered: FleetNumbers;
    /** Engines that take work and are part of the ordered numbers. */
    readonly serving: FleetNumbers;
    /** Engines that take work, by zone, kind and stage. */
    readonly stages: (zone: string, kind: EngineKind) => StageWork;
    /** What is needed now; undefined while the demand is not known. */
    readonly needs: EngineNeeds | undefined;
    /** Whether cheaper engines may be ordered in place of others now; needs less knowledge than giving these back. */
    readonly mayReplace: boolean;
    /** The most that was needed in the last seconds; undefined if nothing may be given back now. */
    readonly needsBeforeReturn: EngineNeeds | undefined;
}

/** Why an order is made. */
export enum OrderReason {
    /** Fewer engines are ordered than are needed, or a zone has fewer than its minimum. */
    Shortage = "shortage",
    /** Cheaper engines are to replace others. */
    Replacement = "replacement",
    /** More engines are ordered than are needed. */
    Surplus = "surplus",
    /** An order was not answered, or the list does not match it. */
    Restated = "restated",
}

/** A new total number of engines of one kind in one zone. */
export interface NumberOrder {
    readonly zone: string;
    readonly kind: EngineKind;
    readonly desired: number;
    readonly reason: OrderReason;
}

/** Fewer engines than this part of the needs are a shortage. The mean of steady traffic varies by some percent. */
const shortagePart = 0.9;
const shortageMargin = 1.05;
/** The ordered engines are changed if the plan costs less than this part of them. */
const cheaperPart = 0.9;
/** At most one engine in this many is given back at a time. */
const enginesPerReturn = 4;
/** A return of less than one engine in this many waits until more can be given back, to make fewer orders. */
const enginesPerLeastReturn = 16;

const noWork: StageWork = { prefill: 0, decode: 0 };

/** Returns the orders to make now; none if the ordered engines are near the cheapest numbers that meet the needs. */
export function chooseOrders(view: FleetView): readonly NumberOrder[] {
    const { scaling, zones, ordered, needs, needsBeforeReturn } = view;
    const belowMinimum = raiseToMinimum(view);
    if (!needs || belowMinimum.length > 0) {
        return belowMinimum;
    }
    if (isShort(ordered, needs)) {
        // A little more than needed, because a rise that has begun often goes on, and each step of it would be an order.
        const total = Math.ceil(needs.total * shortageMargin);
        return raise(view, planNumbers(scaling, zones, { ...needs, total }), OrderReason.Shortage);
    }
    const needsToMeet = needsBeforeReturn ?? needs;
    if (!view.mayReplace) {
        return [];
    }
    const plan = planNumbers(scaling, zones, needsToMeet);
    const isCheaper = priceOfFleet(scaling, plan) < priceOfFleet(scaling, ordered) * cheaperPart;
    if (!isCheaper || isShort(plan, needsToMeet)) {
        return [];
    }
    const replacements = raise(view, plan, OrderReason.Replacement);
    return needsBeforeReturn ? [...replacements, ...giveBack(view, plan, needsBeforeReturn)] : replacements;
}

function isShort(fleet: FleetNumbers, needs: EngineNeeds): boolean {
    return countEngines(fleet) < Math.ceil(needs.total * shortagePart)
        || countAfterZoneLoss(fleet) < Math.ceil(needs.afterLoss * shortagePart);
}

function raiseToMinimum({ scaling, zones, ordered }: FleetView): readonly NumberOrder[] {
    return zones.flatMap(({ zone, available }) => {
        const numbers = ordered.get(zone) ?? noEngines;
        const missing = scaling.minEngines - countZone(numbers);
        const kind = engineKinds.find(candidate => available[candidate] > numbers[candidate]);
        return missing > 0 && kind
            ? [{ zone, kind, desired: numbers[kind] + missing, reason: OrderReason.Shortage }]
            : [];
    });
}

/** Orders the engines that the plan has in addition, as far as the maximum of a zone leaves room beside the others. */
function raise({ scaling, ordered }: FleetView, plan: FleetNumbers, reason: OrderReason): readonly NumberOrder[] {
    let fleet = ordered;
    const orders: NumberOrder[] = [];
    for (const [zone, planned] of plan) {
        for (const kind of engineKinds) {
            const numbers = fleet.get(zone) ?? noEngines;
            const more = Math.min(planned[kind] - numbers[kind], scaling.maxEngines - countZone(numbers));
            if (more > 0) {
                fleet = addEngines(fleet, zone, kind, more);
                orders.push({ zone, kind, desired: numbers[kind] + more, reason });
            }
        }
    }
    return orders;
}

/**
 * Gives back the most expensive engines that the plan does not have. Those that remain and already serve meet the needs,
 * also after a zone's loss, and each stage keeps what it needs whichever engines the platform removes.
 */
function giveBack(view: FleetView, plan: FleetNumbers, needs: EngineNeeds): readonly NumberOrder[] {
    const { scaling, ordered } = view;
    let { serving } = view;
    let allowed = Math.floor(countEngines(serving) / enginesPerReturn);
    const leastReturn = Math.max(1, Math.floor(allowed * enginesPerReturn / enginesPerLeastReturn));
    let worst = subtractWork(sumStages(view), needs.stages);
    let likely = subtractWork(sumStages(view), needs.stageReserves);
    const surplus = [...ordered]
        .flatMap(([zone, numbers]) => engineKinds.map(kind => ({ zone, kind, number: numbers[kind] })))
        .map(entry => ({ ...entry, count: entry.number - (plan.get(entry.zone) ?? noEngines)[entry.kind] }))
        .filter(({ count }) => count > 0)
        .sort((left, right) => priceOf(scaling, right.zone, right.kind) - priceOf(scaling, left.zone, left.kind));
    return surplus.flatMap(({ zone, kind, number, count }) => {
        const stages = view.stages(zone, kind);
        const isSafe = (fewer: number) => {
            const after = addEngines(serving, zone, kind, -fewer);
            const isEnough = [
                subtractWork(worst, findWorstLoss(stages, fewer)),
                subtractWork(likely, findLikelyLoss(stages, fewer)),
            ].every(({ prefill, decode }) => prefill >= 0 && decode >= 0);
            return countEngines(after) >= needs.total && countAfterZoneLoss(after) >= needs.afterLoss
                && countZone(after.get(zone)) >= scaling.minEngines && isEnough;
        };
        let fewer = Math.min(count, allowed);
        while (fewer > 0 && !isSafe(fewer)) {
            fewer -= 1;
        }
        if (fewer < Math.min(count, leastReturn)) {
            return [];
        }
        serving = addEngines(serving, zone, kind, -fewer);
        worst = subtractWork(worst, findWorstLoss(stages, fewer));
        likely = subtractWork(likely, findLikelyLoss(stages, fewer));
        allowed -= fewer;
        return [{ zone, kind, desired: number - fewer, reason: OrderReason.Surplus }];
    });
}

/** The most engines of each stage that the platform may remove. */
function findWorstLoss(stages: StageWork, fewer: number): StageWork {
    return { prefill: Math.min(fewer, stages.prefill), decode: Math.min(fewer, stages.decode) };
}

/** The mean and one standard deviation of a random choice. */
function findLikelyLoss(stages: StageWork, fewer: number): StageWork {
    const count = Math.max(1, sumWork(stages));
    const lose = (engines: number) => {
        const part = engines / count;
        return Math.min(engines, fewer, fewer * part + Math.sqrt(fewer * part * (1 - part)));
    };
    return { prefill: lose(stages.prefill), decode: lose(stages.decode) };
}

function sumStages({ serving, stages }: FleetView): StageWork {
    return [...serving.keys()]
        .flatMap(zone => engineKinds.map(kind => stages(zone, kind)))
        .reduce(
            (sum, { prefill, decode }) => ({ prefill: sum.prefill + prefill, decode: sum.decode + decode }),
            noWork,
        );
}

function subtractWork(left: StageWork, right: StageWork): StageWork {
    return { prefill: left.prefill - right.prefill, decode: left.decode - right.decode };
}
