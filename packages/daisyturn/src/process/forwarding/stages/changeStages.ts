import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { EngineOrders } from "../../../ports/engineOrders.js";
import { EngineStage, type ListedTarget } from "../../../ports/listedTarget.js";
import { type LeaseManager, LeaseState } from "../../lease/index.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetHealth } from "../targets/createTargetHealth.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { PrefillDemand } from "../views/createPrefillDemand.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import { createLostEngines } from "./createLostEngines.js";
import { createMissingStageLog, StageDelay } from "./createMissingStageLog.js";
import { createRecentPeak, type RecentPeak } from "./createRecentPeak.js";
import { createStageChanges } from "./createStageChanges.js";
import { countDecodeEnginesNeeded, minDecodeEngines, planStage, type StageView } from "./planStage.js";
import { findVersionWithoutDecoder, listMovableEngines } from "./versionStages.js";

/** What {@link changeStages} needs. */
export interface ChangeStagesOptions {
    readonly holder: string;
    readonly listServices: () => readonly string[];
    /** KV cache capacity of one engine of a service, in tokens. */
    readonly kvTokens: (service: string) => number;
    readonly targets: TargetList;
    readonly loads: TargetLoads;
    readonly health: TargetHealth;
    readonly demand: PrefillDemand;
    readonly closed: ClosedTargets;
    readonly orders: EngineOrders;
    readonly leaseManager: LeaseManager;
    /** Whether this process plans. One planner is enough among processes that can reach each other. */
    readonly isPlanner: () => boolean;
    /** Whether this process is next in line to plan, so that it observes the lease while orders are needed. */
    readonly isStandby: () => boolean;
    /** Whether this process may send orders, which it must not while it stops or is cut off from most targets. */
    readonly mayOrder: () => boolean;
    /** How long the lease is held after the last order, so that no other process sends orders right after it. */
    readonly leaseMilliseconds: number;
    /** Milliseconds until all processes have been informed that an engine is closed. */
    readonly closingMilliseconds: () => number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

const planIntervalMilliseconds = 500;
/** How often services without a decode engine are looked for: each call for them fails until one decodes. */
const checkIntervalMilliseconds = 100;
/** Window of the peak fill of decode engines; spans several swings between long prompts and long answers. */
const peakWindowMilliseconds = 15_000;
/** How long a prefill engine must be needed. In a shorter burst, the change would come too late. */
const prefillNeedMilliseconds = 1_500;
/** Used without a prefill engine or at the minimum of decode engines, where each second of delay loses answers. */
const scarceNeedMilliseconds = 500;
/** Used without a decode engine. Engines that start together are listed within this time. */
const missingNeedMilliseconds = 200;
/** Used while all engines of a software version prefill. In a release, the next one to start may decode. */
const versionNeedMilliseconds = 1_500;
/** Returning an engine to decode gains little and costs seconds of its time, so prefill demand must be low for long. */
const decodeNeedMilliseconds = 19_500;
/** Acquiring a lease may take its whole length and a little more, so it is not given up before twice that. */
const lengthsUntilGivenUp = 2;
/** One engine in this many may change at the same time, because the others must serve the load meanwhile. */
const enginesPerConcurrentChange = 8;
const enginesPerConcurrentChangeWhenMissing = 2;

/**
 * Adapts the stages of the engines to the mix of long prompts and long answers until the signal is aborted. Only the
 * lease holder sends orders; each order carries the lease's fencing number and the engine's order count.
 */
export async function changeStages(options: ChangeStagesOptions, signal: AbortSignal): Promise<void> {
    const { targets, loads, health, demand, leaseManager, clock, eventLog } = options;
    const lostEngines = createLostEngines(options);
    const missingStages = createMissingStageLog(clock, eventLog);
    const needs = new Map<string, { stage: EngineStage; since: number; }>();
    const peaks = new Map<string, RecentPeak>();
    let leaseLastNeededAt = -Infinity;
    let leaseRun: { readonly stop: AbortController; } | undefined;

    const changes = createStageChanges({
        ...options,
        onOrdered: () => {
            leaseLastNeededAt = clock.monotonicNow();
        },
        signal,
    });

    const requireLease = () => {
        leaseLastNeededAt = clock.monotonicNow();
        if (!leaseRun) {
            const stop = new AbortController();
            leaseRun = { stop };
            void leaseManager.run(stop.signal);
        }
    };

    const releaseUnusedLease = () => {
        const lengths = leaseManager.current() ? 1 : lengthsUntilGivenUp;
        const isUnused = clock.monotonicNow() - leaseLastNeededAt > lengths * options.leaseMilliseconds;
        if (leaseRun && isUnused && !changes.isAnyChanging()) {
            leaseRun.stop.abort();
            leaseRun = undefined;
        }
    };

    /**
     * Lists the engines of a service without those found lost. The entry of a terminated engine takes seconds to
     * expire, so where calls fail and the healthy engines could not serve alone, engine status is read directly.
     */
    const listLiveEngines = (service: string) => {
        const listed = listEngines(service);
        const healthy = listed.filter(({ targetId }) => !health.isFailing(targetId));
        const insufficientStage = healthy.length < listed.length ? findInsufficientStage(healthy) : undefined;
        const isSuspected = ({ targetId }: ListedTarget) => lostEngines.isSuspected(targetId);
        lostEngines.check(insufficientStage === undefined ? listed.filter(isSuspected) : listed);
        if (listed.some(isSuspected)) {
            requireLease();
        }
        const engines = listed.filter(({ targetId }) => !lostEngines.isLost(targetId));
        return { engines, hasLostEngines: engines.length < listed.length };
    };

    const isWithoutDecoder = (service: string) => {
        const listed = listEngines(service);
        return listed.length > 0 && splitByStage(listed).decoders.length === 0;
    };

    const listEngines = (service: string) => targets.open(service).filter(target => target.stage !== undefined);

    const planService = (service: string) => {
        const delay = tryToPlan(service);
        if (isWithoutDecoder(service)) {
            missingStages.recordMissing(service, listEngines(service).length, delay);
        }
    };

    /** Plans a change if one is due. @returns what the next one waits for */
    const tryToPlan = (service: string): StageDelay => {
        const { engines, hasLostEngines } = listLiveEngines(service);
        const { readers, decoders } = splitByStage(engines);
        const decodingFill = computeFill(decoders, options.kvTokens(service));
        const view = {
            readers: readers.length,
            decoders: decoders.length,
            demand: demand.engines(service),
            decodingFill,
            peakFill: recordPeak(service, decodingFill),
        };
        const versionWithoutDecoder = findVersionWithoutDecoder(engines, changes.isChanging);
        const stage = versionWithoutDecoder ? EngineStage.Decode : planStage(view);
        if (!stage) {
            needs.delete(service);
            return StageDelay.NotPlanned;
        }
        if (view.decoders === 0) {
            // Acquiring the lease may take as long as the length of a dead holder's one, so it begins at once.
            requireLease();
        }
        const known = needs.get(service);
        const since = known?.stage === stage ? known.since : clock.monotonicNow();
        needs.set(service, { stage, since });
        const isAtChangeLimit = changes.count(engines) >= findChangeLimit(engines, view);
        const maxNeed = versionWithoutDecoder ? versionNeedMilliseconds : Infinity;
        const need = Math.min(findNeedMilliseconds(stage, view, hasLostEngines), maxNeed);
        if (clock.monotonicNow() - since < need || isAtChangeLimit) {
            return isAtChangeLimit ? StageDelay.Changing : StageDelay.Unconfirmed;
        }
        requireLease();
        const lease = leaseManager.current();
        const target = chooseTarget(versionWithoutDecoder ?? engines, stage);
        if (lease && target) {
            eventLog.record(EventKind.RolePlanned, { target: target.targetId, stage, ...view });
            void changes.begin(target, stage, lease, view.decoders === 0);
        }
        return lease ? StageDelay.Changing : StageDelay.AwaitsLease;
    };

    const recordPeak = (service: string, decodingFill: number) => {
        const peak = peaks.get(service) ?? createRecentPeak(clock, peakWindowMilliseconds);
        peaks.set(service, peak);
        peak.record(decodingFill);
        return peak.max();
    };

    const computeFill = (decoders: readonly ListedTarget[], kvTokens: number) => {
        const calls = sum(decoders, engine => loads.calls(engine.targetId));
        const tokens = sum(decoders, engine => loads.tokens(engine.targetId));
        return Math.max(calls / sum(decoders, engine => engine.slots), tokens / (decoders.length * kvTokens)) || 0;
    };

    /**
     * The engine of the other stage with the fewest calls in progress, of the software version that needs it most;
     * engines with failing calls come last.
     */
    const chooseTarget = (engines: readonly ListedTarget[], stage: EngineStage) => {
        const movable = listMovableEngines(engines, stage).filter(engine => !changes.isChanging(engine));
        const working = movable.filter(engine => !health.isFailing(engine.targetId));
        const candidates = working.length > 0 ? working : movable;
        return candidates
            .filter(engine => engine.softwareVersion === candidates[0]?.softwareVersion)
            .sort((left, right) => loads.calls(left.targetId) - loads.calls(right.targetId))[0];
    };

    /**
     * The holder goes on while a service has no decode engine, whoever coordinates meanwhile: that needs no forecast, and
     * each change of the holder costs seconds.
     */
    const planServices = (services: readonly string[], missing: readonly string[]) => {
        if (options.isPlanner()) {
            services.forEach(planService);
        }
        else if (leaseManager.current() && options.mayOrder()) {
            missing.forEach(planService);
        }
        else {
            needs.clear();
            if (missing.length > 0 && options.isStandby()) {
                requireLease();
            }
        }
    };

    /**
     * Takes up the lease that this process held when it last ended: until it expires, nobody else can order. The first
     * one of an era of the store is acquired before it is needed.
     */
    const prepareLease = async () => {
        let state: LeaseState | undefined;
        while (!signal.aborted && state === undefined) {
            state = await leaseManager.inspect();
            await clock.sleepUntil(clock.monotonicNow() + (state ? 0 : planIntervalMilliseconds), signal);
        }
        const isDue = state === LeaseState.Interrupted || state === LeaseState.NotInEra && options.isPlanner();
        if (isDue && options.mayOrder() && !signal.aborted) {
            requireLease();
        }
    };

    void prepareLease();
    let planAt = -Infinity;
    while (!signal.aborted) {
        await clock.sleepUntil(clock.monotonicNow() + checkIntervalMilliseconds, signal);
        const services = options.listServices();
        const missing = services.filter(isWithoutDecoder);
        services.filter(service => !missing.includes(service)).forEach(missingStages.recordPresent);
        if (!signal.aborted && (missing.length > 0 || planAt <= clock.monotonicNow())) {
            planAt = clock.monotonicNow() + planIntervalMilliseconds;
            planServices(services, missing);
        }
        releaseUnusedLease();
    }
    leaseRun?.stop.abort();
}

function splitByStage(engines: readonly ListedTarget[]) {
    return {
        readers: engines.filter(({ stage }) => stage === EngineStage.Prefill),
        decoders: engines.filter(({ stage }) => stage !== EngineStage.Prefill),
    };
}

function findInsufficientStage(engines: readonly ListedTarget[]): EngineStage | undefined {
    const { readers, decoders } = splitByStage(engines);
    if (decoders.length < countDecodeEnginesNeeded(engines.length)) {
        return EngineStage.Decode;
    }
    return readers.length === 0 ? EngineStage.Prefill : undefined;
}

/** Number of engines that may change at the same time. */
function findChangeLimit(engines: readonly ListedTarget[], { readers, decoders }: StageView): number {
    if (decoders === 0) {
        // Nothing is served, so all the engines that must decode change at once, and the others prefill for them.
        const mostChanging = Math.ceil(engines.length / enginesPerConcurrentChangeWhenMissing);
        return Math.min(mostChanging, countDecodeEnginesNeeded(engines.length));
    }
    return Math.ceil(
        engines.length / (readers === 0 ? enginesPerConcurrentChangeWhenMissing : enginesPerConcurrentChange),
    );
}

/** For how long a change must be needed until it is ordered. */
function findNeedMilliseconds(
    stage: EngineStage,
    { readers, decoders }: StageView,
    hasLostEngines: boolean,
): number {
    if (hasLostEngines && stage === EngineStage.Decode && decoders < minDecodeEngines) {
        return 0;
    }
    if (decoders === 0) {
        return missingNeedMilliseconds;
    }
    if (readers === 0 || decoders <= minDecodeEngines) {
        return scarceNeedMilliseconds;
    }
    return stage === EngineStage.Prefill ? prefillNeedMilliseconds : decodeNeedMilliseconds;
}

function sum<Item>(items: readonly Item[], amount: (item: Item) => number): number {
    return items.reduce((total, item) => total + amount(item), 0);
}
