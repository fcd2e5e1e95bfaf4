import { EventKind } from "daisyturn-utils";
import { DutyAnswer } from "../../../ports/duties/fleetDuties.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineScaling } from "../../../version/forwarding/forwardingConfiguration.js";
import { prefillDemandDecayMilliseconds } from "../views/createPrefillDemand.js";
import { chooseOrders, type FleetView, type NumberOrder, OrderReason } from "./chooseOrders.js";
import { createDemandWindow, demandWindowMilliseconds, recentWindowMilliseconds } from "./createDemandWindow.js";
import { createEngineLedger, type ListedEngines } from "./createEngineLedger.js";
import { countZone, EngineKind, engineKinds, type FleetNumbers, type KindNumbers, noEngines } from "./fleetNumbers.js";
import { type EngineNeeds, forecastNeeds, type StageWork } from "./forecastNeeds.js";
import type { EngineNumbers, OrderEnginesOptions } from "./orderEnginesOptions.js";

/** Orders of the engines of one service while this process holds the lease. */
export interface ServiceFleet {
    /** Looks at the demand and the list, and sends the orders that are due. */
    tick(scaling: EngineScaling): void;
    list(): readonly EngineNumbers[];
}

/** Time between two returns of engines, in which the effect of the first is observed. */
const returnPauseMilliseconds = 3_000;
/** Engines are given back down to the most that was needed within this time. */
const returnNeedsMilliseconds = 4_000;
/** Interval between two plans for cheaper or fewer engines, which are not urgent, and between two looks at caches. */
const planMilliseconds = 1_000;
/** Margin beyond the start of engines, after which the list has those that an earlier holder has ordered. */
const settleMilliseconds = 3_000;
/** Work that was not measured for this long, because the lease was lost, is measured anew. */
const maxGapMilliseconds = 1_500;
/** Losses are replaced by the last known needs for this long while the work is not known; nothing is given back then. */
const keptNeedsMilliseconds = 30_000;
/** Orders for a zone that are no shortage, in a minute. */
const maxOrdersPerMinute = 6;
const minuteMilliseconds = 60_000;

/** Creates the orders of one service. The numbers listed at the first tick count as its orders. */
export function createServiceFleet(
    service: string,
    { listEngines, measureWork, countProcesses, calls, clock, eventLog }: OrderEnginesOptions,
): ServiceFleet {
    const beganAt = clock.monotonicNow();
    const window = createDemandWindow(prefillDemandDecayMilliseconds);
    let bootMilliseconds = 0;
    const ledger = createEngineLedger({ bootMilliseconds: () => bootMilliseconds, clock });
    let listed: readonly ListedEngines[] = [];
    let recentNeeds: { readonly at: number; readonly needs: EngineNeeds; }[] = [];
    let measuredAt = -Infinity;
    let lastNeeds: { readonly at: number; readonly needs: EngineNeeds; } | undefined;
    let returnAt = -Infinity;
    let planAt = -Infinity;
    let cachesAt = -Infinity;
    let cacheEngines = 0;
    /** Monotonic times of orders that were no shortage, by zone. */
    const orderTimes = new Map<string, number[]>();

    const measureNeeds = (): EngineNeeds | undefined => {
        const now = clock.monotonicNow();
        if (now - measuredAt > maxGapMilliseconds) {
            window.record(undefined, now);
            recentNeeds = [];
        }
        measuredAt = now;
        const work = measureWork(service);
        window.record(work, now);
        const mean = window.mean(demandWindowMilliseconds, now);
        const recent = window.mean(recentWindowMilliseconds, now);
        if (!work || !mean || !recent) {
            recentNeeds = [];
            return lastNeeds && now - lastNeeds.at < keptNeedsMilliseconds ? lastNeeds.needs : undefined;
        }
        if (now >= cachesAt) {
            cachesAt = now + planMilliseconds;
            cacheEngines = work.countCacheEngines();
        }
        const needs = forecastNeeds({ mean, recent, cacheEngines });
        lastNeeds = { at: now, needs };
        recentNeeds = [...recentNeeds.filter(({ at }) => at > now - returnNeedsMilliseconds), { at: now, needs }];
        return needs;
    };

    const readView = (scaling: EngineScaling): FleetView => {
        const now = clock.monotonicNow();
        const engines = listEngines(service);
        const zoneNames = [
            ...new Set([...engines.map(engine => engine.availabilityZone), ...scaling.zonePrices.keys()]),
        ]
            .sort();
        listed = zoneNames.flatMap(zone => engineKinds.map(kind => countListed(engines, zone, kind)));
        ledger.update(listed);
        const shares = computeShares(zoneNames, countProcesses());
        const needs = measureNeeds();
        const mayReplace = needs !== undefined && now >= Math.max(returnAt, planAt);
        planAt = mayReplace ? now + planMilliseconds : planAt;
        const mayGiveBack = mayReplace && window.isMeasured(now);
        const isReclaimableOffered = scaling.reclaimablePrice !== undefined;
        return {
            scaling,
            zones: zoneNames.map(zone => ({
                zone,
                share: shares.get(zone) ?? 0,
                available: ledger.available(zone, isReclaimableOffered),
            })),
            ordered: ledger.ordered(),
            serving: sumListed(listed),
            stages: (zone, kind) => countStages(engines, zone, kind),
            needs,
            mayReplace,
            needsBeforeReturn: needs && mayGiveBack ? mergeNeeds(recentNeeds.map(recent => recent.needs)) : undefined,
        };
    };

    const isWithinRate = ({ zone }: NumberOrder) => {
        const since = clock.monotonicNow() - minuteMilliseconds;
        return (orderTimes.get(zone) ?? []).filter(at => at > since).length < maxOrdersPerMinute;
    };

    const findTotal = ({ zone, kind, desired, reason }: NumberOrder, { maxEngines }: EngineScaling) => {
        if (reason === OrderReason.Surplus || reason === OrderReason.Restated) {
            return desired;
        }
        const numbers = ledger.ordered().get(zone) ?? noEngines;
        const room = maxEngines - countZone(numbers) + numbers[kind];
        return Math.max(desired, Math.min(ledger.stated(zone, kind), room));
    };

    const send = async (order: NumberOrder, needs: EngineNeeds | undefined) => {
        const { zone, kind, desired, reason } = order;
        if (reason === OrderReason.Surplus) {
            returnAt = clock.monotonicNow() + returnPauseMilliseconds;
        }
        const sentAt = clock.monotonicNow();
        if (reason !== OrderReason.Shortage) {
            const times = (orderTimes.get(zone) ?? []).filter(at => at > sentAt - minuteMilliseconds);
            orderTimes.set(zone, [...times, sentAt]);
        }
        const isReclaimable = kind === EngineKind.Reclaimable;
        const recordAnswer = ledger.begin(order);
        const answer = await calls.order({ service, availabilityZone: zone, desired, isReclaimable })
            .catch(() => DutyAnswer.Unknown);
        recordAnswer(answer);
        if (answer === undefined) {
            orderTimes.set(zone, (orderTimes.get(zone) ?? []).filter(at => at !== sentAt));
        }
        const isOrdered = (entry: ListedEngines) => entry.zone === zone && entry.kind === kind;
        eventLog.record(EventKind.EnginesOrdered, {
            service,
            zone,
            kind,
            desired,
            listed: listed.find(isOrdered)?.open ?? 0,
            needed: needs?.total,
            prefillWork: needs && Number(needs.work.prefill.toFixed(1)),
            decodeWork: needs && Number(needs.work.decode.toFixed(1)),
            reason,
            answer: answer ?? "not_sent",
        });
    };

    return {
        tick: scaling => {
            ({ bootMilliseconds } = scaling);
            const view = readView(scaling);
            if (clock.monotonicNow() - beganAt < bootMilliseconds + settleMilliseconds) {
                // Orders state totals: one by an incomplete list would take away engines that are not listed yet.
                return;
            }
            const restated = ledger.listRestated();
            const isRestated = (order: NumberOrder) =>
                restated.some(({ zone, kind }) => zone === order.zone && kind === order.kind);
            const chosen = chooseOrders(view)
                .filter(order => !isRestated(order) && !ledger.isBusy(order.zone, order.kind));
            const due = [...restated, ...chosen].filter(order =>
                order.reason === OrderReason.Shortage || isWithinRate(order)
            );
            due.forEach(order => void send({ ...order, desired: findTotal(order, scaling) }, view.needs));
        },
        list: () => {
            const ordered = ledger.ordered();
            return listed.map(({ zone, kind, open }) => ({
                service,
                zone,
                kind,
                desired: (ordered.get(zone) ?? noEngines)[kind],
                listed: open,
            }));
        },
    };
}

function isOfKind(engine: ListedTarget, zone: string, kind: EngineKind): boolean {
    const isReclaimable = kind === EngineKind.Reclaimable;
    return engine.availabilityZone === zone && (engine.isReclaimable ?? false) === isReclaimable;
}

function countListed(engines: readonly ListedTarget[], zone: string, kind: EngineKind): ListedEngines {
    const counted = engines.filter(engine => isOfKind(engine, zone, kind));
    return {
        zone,
        kind,
        open: counted.filter(({ isLeaving }) => !isLeaving).length,
        leavingAtNotice: kind === EngineKind.Reclaimable
            ? counted.filter(engine => engine.isLeaving && engine.leavesInMilliseconds !== undefined).length
            : 0,
    };
}

function countStages(engines: readonly ListedTarget[], zone: string, kind: EngineKind) {
    const open = engines.filter(engine => !engine.isLeaving && isOfKind(engine, zone, kind));
    const prefill = open.filter(({ stage }) => stage === EngineStage.Prefill).length;
    return { prefill, decode: open.length - prefill };
}

function sumListed(listed: readonly ListedEngines[]): FleetNumbers {
    const fleet = new Map<string, KindNumbers>();
    for (const { zone, kind, open } of listed) {
        fleet.set(zone, { ...fleet.get(zone) ?? noEngines, [kind]: open });
    }
    return fleet;
}

/** A zone without processes, or all of them while none is known, count with an equal part. */
function computeShares(zones: readonly string[], processes: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const total = zones.reduce((sum, zone) => sum + (processes.get(zone) ?? 0), 0);
    return new Map(zones.map(zone => [zone, total > 0 ? (processes.get(zone) ?? 0) / total : 1 / zones.length]));
}

function mergeNeeds(needs: readonly EngineNeeds[]): EngineNeeds {
    const findMax = (amount: (need: EngineNeeds) => number) => Math.max(...needs.map(amount));
    const findMaxWork = (work: (need: EngineNeeds) => StageWork) => ({
        prefill: findMax(need => work(need).prefill),
        decode: findMax(need => work(need).decode),
    });
    return {
        total: findMax(({ total }) => total),
        afterLoss: findMax(({ afterLoss }) => afterLoss),
        stages: findMaxWork(({ stages }) => stages),
        stageReserves: findMaxWork(({ stageReserves }) => stageReserves),
        work: findMaxWork(({ work }) => work),
    };
}
