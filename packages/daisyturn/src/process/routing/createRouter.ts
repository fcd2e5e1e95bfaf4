import { type Clock, type EventLog, type Failure, FailureReason, notRun, type Random } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ConfigurationManager } from "../configuration/index.js";
import { createEngineHealth } from "../health/index.js";
import {
    type CacheMatch,
    createOutputLengths,
    createTransferRate,
    type EngineLoad,
    type LoadView,
} from "../load/index.js";
import type { TargetGate } from "../targets/index.js";
import { createPlacement, type PlacementParts } from "./createPlacement.js";
import { type EngineChoice, findCheapest, SampledChoice } from "./engineChoice.js";
import { canServe, findSoftwareVersion, groupByVersion, isComplete } from "./engineFilter.js";
import { createOverdueWatch } from "./overdueWatch.js";
import type { PlacementOption } from "./placementCost.js";
import { listPlacementOptions } from "./placementOptions.js";
import { type Placement, PlacementOutcome, type Router, type RoutingRequest } from "./router.js";

/** What {@link createRouter} needs. */
export interface RouterOptions {
    readonly loadView: LoadView;
    readonly gate: TargetGate;
    readonly configurationManager: ConfigurationManager;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    /** Strategy for choosing among the options; {@link SampledChoice} if absent. */
    readonly choice?: EngineChoice;
}

/** A router with reservations, for admission control. */
export interface PlanningRouter extends Router {
    /** Finds the cheapest option for serving the request now. Undefined if no engine is open to it. */
    findCheapestOption(request: RoutingRequest): PlacementOption | undefined;
    /**
     * Chooses among the options that `hasCapacity` allows, and records the work as sent. `place` uses the reserved
     * option if its engines are still open. Undefined if no option is allowed.
     */
    reserve(request: RoutingRequest, hasCapacity: (option: PlacementOption) => boolean): PlacementOption | undefined;
    /** Cancels a reservation that has not been placed, and removes its work. */
    cancelReservation(requestId: string): void;
    /** Registers a listener that is called for each reservation, and for each placement without one. */
    onPlaced(listener: (request: RoutingRequest, option: PlacementOption) => void): void;
}

/** Picks one of several options, if any is suitable. */
type Pick = (candidates: readonly PlacementOption[], match: CacheMatch) => PlacementOption | undefined;

interface Reservation {
    readonly placement: Placement;
    readonly option: PlacementOption;
}

interface PickedOption {
    readonly option: PlacementOption;
    readonly match: CacheMatch;
}

/** Retry delay if no engine is open. */
const noTargetRetryMilliseconds = 1_000;
/**
 * Estimates are imprecise, so a request is refused only if its first token is expected to take more than this multiple
 * of the time left until its deadline.
 */
const deadlineTolerance = 1.25;

/** Creates the router of one process. */
export function createRouter(options: RouterOptions): PlanningRouter {
    const { loadView, gate, configurationManager, clock, eventLog } = options;
    const choice = options.choice ?? new SampledChoice(options.random);
    const lengths = createOutputLengths();
    const transfer = createTransferRate();
    const health = createEngineHealth({ clock, eventLog, exchange: loadView.exchange, listAlternatives });
    const watch = createOverdueWatch(clock, health);
    const parts: PlacementParts = { loadView, health, lengths, transfer, clock, onSettled: watch.forget };
    const listeners: ((request: RoutingRequest, option: PlacementOption) => void)[] = [];
    const reservations = new Map<string, Reservation>();

    /** Engines of the same role that serve one of the engine's models. */
    function listAlternatives(engineId: string): string[] {
        const engine = loadView.find(engineId);
        const models = engine?.state()?.models;
        const isAlternative = (load: EngineLoad) =>
            load.role() === engine?.role()
            && (models === undefined || load.state()?.models.some(model => models.includes(model)) !== false);
        return loadView.loads().filter(isAlternative).map(load => load.engineId);
    }

    /** Lists sets of engines by preference; engines that failed or are ejected are used only if no others are left. */
    const listTiers = (request: RoutingRequest): EngineLoad[][] => {
        const { profile, softwareVersion } = request;
        const capable = loadView.loads().filter(load =>
            canServe(load, profile, configurationManager)
            && (softwareVersion === undefined || findSoftwareVersion(load) === softwareVersion)
        );
        const untried = capable.filter(load => !request.avoid.includes(load.engineId));
        const healthy = untried.filter(load => health.acceptsWork(load.engineId));
        return [healthy, untried, capable].filter(isComplete);
    };

    /** Checks the gate only for the picked engines: it is almost always open, and checking all would cost more. */
    const pickOpen = (
        candidates: readonly PlacementOption[],
        match: CacheMatch,
        pick: Pick,
    ): PlacementOption | undefined => {
        let remaining = candidates;
        while (remaining.length > 0) {
            const option = pick(remaining, match);
            if (!option) {
                return undefined;
            }
            const closed = [option.prefill, option.decode].filter(load => load && !gate.isOpen(load.engineId));
            if (closed.length === 0) {
                return option;
            }
            remaining = remaining.filter(other => !closed.includes(other.prefill) && !closed.includes(other.decode));
        }
        return undefined;
    };

    const pickOption = (request: RoutingRequest, pick: Pick): PickedOption | undefined => {
        const match = loadView.caches.match(request.promptBlocks);
        for (const engines of listTiers(request)) {
            // Prefill and decode run at one software version, because the KV cache of one does not fit another.
            const candidates = groupByVersion(engines).filter(isComplete).flatMap(group =>
                listPlacementOptions(request, group, match, transfer, options.random, clock.wallNow())
            );
            const option = pickOpen(candidates, match, pick);
            if (option) {
                return { option, match };
            }
        }
        return undefined;
    };

    const chooseOption = (request: RoutingRequest, hasCapacity: (option: PlacementOption) => boolean) =>
        pickOption(request, (candidates, match) => {
            const allowed = candidates.filter(hasCapacity);
            const context = { request, knownBlocks: match.knownBlocks, processes: loadView.countProcesses() };
            return allowed.length > 0 ? choice.choose(allowed, context) : undefined;
        });

    const startPlacement = (request: RoutingRequest, picked: PickedOption): Placement => {
        const { placement, pending } = createPlacement(parts, request, picked.option, picked.match);
        watch.watch(pending);
        listeners.forEach(listener => listener(request, picked.option));
        return placement;
    };

    const place = (original: RoutingRequest): Result<Placement, Failure> => {
        watch.checkIfDue();
        const reserved = consumeReservation(original);
        if (reserved) {
            return ok(reserved);
        }
        const request = withExpectedOutput(original);
        const picked = chooseOption(request, () => true);
        if (!picked) {
            const retryAt = clock.wallNow() + noTargetRetryMilliseconds;
            return err(notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt));
        }
        const late = computeLateness(picked.option, request);
        if (late > 0) {
            const retryAt = clock.wallNow() + late;
            return err(notRun(FailureReason.DeadlineUnreachable, "The first token would come too late.", retryAt));
        }
        return ok(startPlacement(request, picked));
    };

    const reserve = (original: RoutingRequest, hasCapacity: (option: PlacementOption) => boolean) => {
        const request = withExpectedOutput(original);
        const picked = chooseOption(request, hasCapacity);
        if (picked) {
            cancelReservation(request.requestId);
            reservations.set(request.requestId, { placement: startPlacement(request, picked), option: picked.option });
        }
        return picked?.option;
    };

    const cancelReservation = (requestId: string) => {
        reservations.get(requestId)?.placement.end(PlacementOutcome.Refused);
        reservations.delete(requestId);
    };

    /** Cancels a reservation whose engine has closed in the meantime or has failed the request. */
    const consumeReservation = (request: RoutingRequest): Placement | undefined => {
        const reserved = reservations.get(request.requestId);
        if (!reserved) {
            return undefined;
        }
        const { prefill, decode } = reserved.option;
        const engines = [prefill, decode].flatMap(load => load?.engineId ?? []);
        const { softwareVersion } = request;
        const isOtherVersion = softwareVersion !== undefined && findSoftwareVersion(decode) !== softwareVersion;
        if (
            isOtherVersion || engines.some(engineId => !gate.isOpen(engineId) || request.avoid.includes(engineId))
        ) {
            cancelReservation(request.requestId);
            return undefined;
        }
        reservations.delete(request.requestId);
        return reserved.placement;
    };

    const withExpectedOutput = (request: RoutingRequest): RoutingRequest => {
        const expectedOutputTokens = lengths.expect(request.profile, request.expectedOutputTokens);
        return { ...request, expectedOutputTokens };
    };

    /** Milliseconds by which the first token would miss its deadline, beyond the tolerance for imprecise estimates. */
    const computeLateness = (option: PlacementOption, request: RoutingRequest) => {
        const left = request.firstTokenDeadline - clock.wallNow();
        return Math.max(0, option.firstToken - Math.max(0, left) * deadlineTolerance);
    };

    return {
        place,
        findCheapestOption: request => pickOption(withExpectedOutput(request), findCheapest)?.option,
        reserve,
        cancelReservation,
        onPlaced: listener => listeners.push(listener),
    };
}
