import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { type EngineOrders, OrderAnswer } from "../../../ports/engineOrders.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import type { Lease, LeaseManager } from "../../lease/index.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetHealth } from "../targets/createTargetHealth.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { PrefillDemand } from "../views/createPrefillDemand.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { createLostEngines } from "./createLostEngines.js";
import { createRecentPeak, type RecentPeak } from "./createRecentPeak.js";
import { countDecodersNeeded, leastDecoders, planStage } from "./planStage.js";

/** What {@link changeStages} needs. */
export interface ChangeStagesOptions {
    readonly holder: string;
    readonly listServices: () => readonly string[];
    /** Tokens of KV cache that one engine of a service holds. */
    readonly kvTokens: (service: string) => number;
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly demand: PrefillDemand;
    readonly closed: ClosedTargets;
    readonly orders: EngineOrders;
    readonly leaseManager: LeaseManager;
    /** Whether this process is the one to plan: of those that hear each other, one is enough. */
    readonly isPlanner: () => boolean;
    /** After its last order, a holder keeps the lease for so long, so that no other gives orders right after it. */
    readonly leaseMilliseconds: number;
    /** Milliseconds until all processes have heard that an engine is closed. */
    readonly closingMilliseconds: () => number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

const planMilliseconds = 500;
/** Peaks of what decodes count for so long: some of the swings between long prompts and long answers. */
const peakMilliseconds = 15_000;
/** A need that lasts this many looks is acted upon: longer than the bursts that a change would come too late for. */
const looksForReading = 4;
/** Without an engine of a stage, or with the last one decoding, each second costs answers. */
const looksWhenMissing = 2;
/** Going back gains little and costs seconds of an engine, so only after a demand that stays low. */
const looksForDecoding = 40;
const callTimeoutMilliseconds = 1_000;
/** A change takes seconds; an engine that has not changed by then is open again. */
const changeTimeoutMilliseconds = 8_000;
/** After an order that failed, others come first. */
const pauseMilliseconds = 4_000;
/** While so many engines of a service change at once, the others bear the load. */
const enginesPerChange = 8;
const enginesPerChangeWhenMissing = 2;

/**
 * Follows the mix of long prompts and long answers with the stages of the engines, until the signal is aborted. One
 * process at a time gives orders, under a lease, each with the lease's fencing number and the engine's order count.
 */
export async function changeStages(options: ChangeStagesOptions, signal: AbortSignal): Promise<void> {
    const { targets, loads, health, demand, closed, orders, leaseManager, clock, eventLog } = options;
    const lostEngines = createLostEngines(options);
    const needs = new Map<string, { stage: EngineStage; looks: number; }>();
    const changing = new Map<string, number>();
    const peaks = new Map<string, RecentPeak>();
    let lastNeedAt = -Infinity;
    let keeping: { readonly stop: AbortController; } | undefined;

    const keepLease = () => {
        lastNeedAt = clock.monotonicNow();
        if (!keeping) {
            const stop = new AbortController();
            keeping = { stop };
            void leaseManager.run(stop.signal);
        }
    };

    const dropLease = () => {
        if (keeping && clock.monotonicNow() - lastNeedAt > options.leaseMilliseconds && changing.size === 0) {
            keeping.stop.abort();
            keeping = undefined;
        }
    };

    /**
     * Lists the engines of a service without those found lost. The entry of a terminated engine takes seconds to expire,
     * so where calls fail and the healthy engines could not serve alone, engine status is read directly.
     */
    const listLiveEngines = (service: string) => {
        const listed = targets.open(service).filter(target => target.stage !== undefined);
        const healthy = listed.filter(({ targetId }) => !health.isFailing(targetId));
        const insufficientStage = healthy.length < listed.length ? findInsufficientStage(healthy) : undefined;
        const isSuspected = ({ targetId }: ListedTarget) => lostEngines.isSuspected(targetId);
        lostEngines.check(insufficientStage === undefined ? listed.filter(isSuspected) : listed);
        if (listed.some(isSuspected)) {
            keepLease();
        }
        const engines = listed.filter(({ targetId }) => !lostEngines.isLost(targetId));
        return { engines, hasLostEngines: engines.length < listed.length };
    };

    const look = (service: string) => {
        const { engines, hasLostEngines } = listLiveEngines(service);
        const { readers, decoders } = splitByStage(engines);
        const decodingFill = findFill(decoders, options.kvTokens(service));
        const view = {
            readers: readers.length,
            decoders: decoders.length,
            demand: demand.engines(service),
            decodingFill,
            peakFill: notePeak(service, decodingFill),
        };
        // A single remaining engine can answer prompts only if it decodes.
        const isLastReader = hasLostEngines && engines.length === 1 && view.readers === 1;
        const plannedStage = engines.length > 1 ? planStage(view) : undefined;
        const stage = isLastReader ? EngineStage.Decode : plannedStage;
        const known = needs.get(service);
        if (!stage) {
            needs.delete(service);
            return;
        }
        const looks = known?.stage === stage ? known.looks + 1 : 1;
        needs.set(service, { stage, looks });
        const isFull = countChanging(engines) >= limitOf(engines, view.readers === 0 || view.decoders === 0);
        if (looks < looksNeeded(stage, view.readers, view.decoders, hasLostEngines) || isFull) {
            return;
        }
        keepLease();
        const lease = leaseManager.current();
        const target = chooseTarget(engines, stage);
        if (lease && target) {
            eventLog.record(EventKind.RolePlanned, { target: target.targetId, stage, ...view });
            void change(target, stage, lease, view.decoders === 0);
        }
    };

    const notePeak = (service: string, decodingFill: number) => {
        const peak = peaks.get(service) ?? createRecentPeak(clock, peakMilliseconds);
        peaks.set(service, peak);
        peak.note(decodingFill);
        return peak.most();
    };

    const findFill = (decoders: readonly ListedTarget[], kvTokens: number) => {
        const calls = sum(decoders, engine => loads.calls(engine.targetId));
        const tokens = sum(decoders, engine => loads.tokens(engine.targetId));
        return Math.max(calls / sum(decoders, engine => engine.slots), tokens / (decoders.length * kvTokens)) || 0;
    };

    /** Without any engine of a stage nothing is served, so then more than one may change at once. */
    const limitOf = (engines: readonly ListedTarget[], isMissing: boolean) =>
        Math.ceil(engines.length / (isMissing ? enginesPerChangeWhenMissing : enginesPerChange));

    const countChanging = (engines: readonly ListedTarget[]) =>
        engines.filter(engine => (changing.get(engine.targetId) ?? 0) > clock.monotonicNow()).length;

    /** The engine of the other stage with the fewest calls in progress; engines with failing calls come last. */
    const chooseTarget = (engines: readonly ListedTarget[], stage: EngineStage) =>
        engines
            .filter(engine => engine.stage !== stage && !changing.has(engine.targetId))
            .sort((left, right) =>
                Number(health.isFailing(left.targetId)) - Number(health.isFailing(right.targetId))
                || loads.calls(left.targetId) - loads.calls(right.targetId)
            )[0];

    /** @param receivesNoWork whether no new work can reach the target, so that the closing wait is skipped */
    const change = async (target: ListedTarget, stage: EngineStage, lease: Lease, receivesNoWork: boolean) => {
        const until = clock.monotonicNow() + changeTimeoutMilliseconds;
        changing.set(target.targetId, until);
        closed.close(target.targetId, until);
        if (!receivesNoWork) {
            await clock.sleepUntil(clock.monotonicNow() + options.closingMilliseconds(), signal);
        }
        const answer = await order(target, stage, lease);
        eventLog.record(EventKind.OrderSent, {
            target: target.targetId,
            stage,
            fencing: lease.fencingNumber,
            outcome: answer,
        });
        lastNeedAt = clock.monotonicNow();
        if (answer === OrderAnswer.Accepted || answer === OrderAnswer.Unknown) {
            await waitForStage(target, stage, until);
        }
        closed.reopen(target.targetId);
        if (answer === OrderAnswer.Rejected) {
            // A rejected order does not count towards the limit of concurrent changes.
            changing.set(target.targetId, -Infinity);
        }
        if (answer !== OrderAnswer.Accepted) {
            await clock.sleepUntil(clock.monotonicNow() + pauseMilliseconds, signal);
        }
        changing.delete(target.targetId);
    };

    /** The lease is looked at last, right before the order is sent. */
    const order = async (target: ListedTarget, stage: EngineStage, lease: Lease): Promise<OrderAnswer> => {
        const status = await orders.readStatus(target, clock.monotonicNow() + callTimeoutMilliseconds);
        // An engine that has started anew counts its orders anew, and the list tells its new start soon.
        const isOrderable = status.isOk && status.value.targetId === target.targetId && !status.value.isBusy
            && status.value.stage !== stage;
        if (!isOrderable || !targets.isOpen(target.targetId) || signal.aborted || !lease.isHeld()) {
            return OrderAnswer.Rejected;
        }
        return orders.changeStage({
            target,
            stage,
            holder: options.holder,
            fencingNumber: lease.fencingNumber,
            expectedOrders: status.value.orders,
        }, clock.monotonicNow() + callTimeoutMilliseconds);
    };

    const waitForStage = async (target: ListedTarget, stage: EngineStage, until: number) => {
        const hasChanged = () => targets.find(target.targetId)?.stage === stage;
        while (!hasChanged() && clock.monotonicNow() < until && !signal.aborted) {
            await clock.sleepUntil(clock.monotonicNow() + planMilliseconds / 2, signal);
        }
        if (hasChanged()) {
            eventLog.record(EventKind.OrderConfirmed, { target: target.targetId, stage });
        }
    };

    while (!signal.aborted) {
        await clock.sleepUntil(clock.monotonicNow() + planMilliseconds, signal);
        if (options.isPlanner() && !signal.aborted) {
            options.listServices().forEach(look);
        }
        else {
            needs.clear();
        }
        dropLease();
    }
    keeping?.stop.abort();
}

function splitByStage(engines: readonly ListedTarget[]) {
    return {
        readers: engines.filter(({ stage }) => stage === EngineStage.Prefill),
        decoders: engines.filter(({ stage }) => stage !== EngineStage.Prefill),
    };
}

function findInsufficientStage(engines: readonly ListedTarget[]): EngineStage | undefined {
    const { readers, decoders } = splitByStage(engines);
    if (decoders.length < countDecodersNeeded(engines.length)) {
        return EngineStage.Decode;
    }
    return readers.length === 0 ? EngineStage.Prefill : undefined;
}

function looksNeeded(stage: EngineStage, readers: number, decoders: number, hasLostEngines: boolean): number {
    if (hasLostEngines && stage === EngineStage.Decode && decoders < leastDecoders) {
        return 1;
    }
    if (readers === 0 || decoders <= leastDecoders) {
        return looksWhenMissing;
    }
    return stage === EngineStage.Prefill ? looksForReading : looksForDecoding;
}

function sum<Item>(items: readonly Item[], amount: (item: Item) => number): number {
    return items.reduce((total, item) => total + amount(item), 0);
}
