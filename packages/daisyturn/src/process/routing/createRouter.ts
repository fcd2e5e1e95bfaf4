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
import { canServe, isComplete } from "./engineFilter.js";
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
    /** How one of several good options is picked; {@link SampledChoice} if absent. */
    readonly choice?: EngineChoice;
}

/** A router that can place a request ahead, for the admission. */
export interface PlanningRouter extends Router {
    /** The cheapest way to serve the request now; none if no engine is open to it. */
    findCheapestOption(request: RoutingRequest): PlacementOption | undefined;
    /**
     * Chooses among the ways that `hasRoom` allows, and counts the work from now on. `place` takes the reserved way if
     * it is still open. Undefined if no way is allowed.
     */
    reserve(request: RoutingRequest, hasRoom: (way: PlacementOption) => boolean): PlacementOption | undefined;
    /** Takes back a reservation that was not placed. */
    cancelReservation(requestId: string): void;
    /** Called whenever work is counted, by a reservation or by a placement without one. */
    onPlaced(listener: (request: RoutingRequest, option: PlacementOption) => void): void;
}

/** Picks one of several options, if one will do. */
type Pick = (ways: readonly PlacementOption[], match: CacheMatch) => PlacementOption | undefined;

interface Reservation {
    readonly placement: Placement;
    readonly option: PlacementOption;
}

interface PickedWay {
    readonly option: PlacementOption;
    readonly match: CacheMatch;
}

/** When to try again if no engine is open at all. */
const noTargetRetryMilliseconds = 1_000;
/** Estimates are not that good: a first token expected this many times later than its deadline is still tried. */
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

    /** Engines to ask, in sets of falling preference: those that failed or are ejected only if nothing else is left. */
    const listTiers = (request: RoutingRequest): EngineLoad[][] => {
        const able = loadView.loads().filter(load => canServe(load, request.profile, configurationManager));
        const untried = able.filter(load => !request.avoid.includes(load.engineId));
        const steady = untried.filter(load => health.acceptsWork(load.engineId));
        return [steady, untried, able].filter(isComplete);
    };

    /** Asks the gate only for what was picked: it is almost always open, and asking for all would cost more. */
    const pickOpen = (ways: readonly PlacementOption[], match: CacheMatch, pick: Pick): PlacementOption | undefined => {
        let left = ways;
        while (left.length > 0) {
            const option = pick(left, match);
            if (!option) {
                return undefined;
            }
            const closed = [option.prefill, option.decode].filter(load => load && !gate.isOpen(load.engineId));
            if (closed.length === 0) {
                return option;
            }
            left = left.filter(other => !closed.includes(other.prefill) && !closed.includes(other.decode));
        }
        return undefined;
    };

    const pickWay = (request: RoutingRequest, pick: Pick): PickedWay | undefined => {
        const match = loadView.caches.match(request.promptBlocks);
        for (const engines of listTiers(request)) {
            const ways = listPlacementOptions(request, engines, match, transfer, options.random, clock.wallNow());
            const option = pickOpen(ways, match, pick);
            if (option) {
                return { option, match };
            }
        }
        return undefined;
    };

    const chooseWay = (request: RoutingRequest, hasRoom: (way: PlacementOption) => boolean) =>
        pickWay(request, (ways, match) => {
            const allowed = ways.filter(hasRoom);
            const context = { request, knownBlocks: match.knownBlocks, processes: loadView.countProcesses() };
            return allowed.length > 0 ? choice.choose(allowed, context) : undefined;
        });

    const startPlacement = (request: RoutingRequest, way: PickedWay): Placement => {
        const { placement, pending } = createPlacement(parts, request, way.option, way.match);
        watch.watch(pending);
        listeners.forEach(listener => listener(request, way.option));
        return placement;
    };

    const place = (original: RoutingRequest): Result<Placement, Failure> => {
        watch.look();
        const reserved = takeReservation(original);
        if (reserved) {
            return ok(reserved);
        }
        const request = expectOutput(original);
        const way = chooseWay(request, () => true);
        if (!way) {
            const retryAt = clock.wallNow() + noTargetRetryMilliseconds;
            return err(notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt));
        }
        const late = findLateness(way.option, request);
        if (late > 0) {
            const retryAt = clock.wallNow() + late;
            return err(notRun(FailureReason.DeadlineUnreachable, "The first token would come too late.", retryAt));
        }
        return ok(startPlacement(request, way));
    };

    const reserve = (original: RoutingRequest, hasRoom: (way: PlacementOption) => boolean) => {
        const request = expectOutput(original);
        const way = chooseWay(request, hasRoom);
        if (way) {
            cancelReservation(request.requestId);
            reservations.set(request.requestId, { placement: startPlacement(request, way), option: way.option });
        }
        return way?.option;
    };

    const cancelReservation = (requestId: string) => {
        reservations.get(requestId)?.placement.end(PlacementOutcome.Refused);
        reservations.delete(requestId);
    };

    /** A reservation made some time ago may name an engine that has closed since, or that failed the request. */
    const takeReservation = (request: RoutingRequest): Placement | undefined => {
        const reserved = reservations.get(request.requestId);
        if (!reserved) {
            return undefined;
        }
        const { prefill, decode } = reserved.option;
        const engines = [prefill, decode].flatMap(load => load?.engineId ?? []);
        if (engines.some(engineId => !gate.isOpen(engineId) || request.avoid.includes(engineId))) {
            cancelReservation(request.requestId);
            return undefined;
        }
        reservations.delete(request.requestId);
        return reserved.placement;
    };

    const expectOutput = (request: RoutingRequest): RoutingRequest => {
        const expectedOutputTokens = lengths.expect(request.profile, request.expectedOutputTokens);
        return { ...request, expectedOutputTokens };
    };

    /** Milliseconds by which the first token would miss its deadline, beyond what estimates may be off. */
    const findLateness = (option: PlacementOption, request: RoutingRequest) => {
        const left = request.firstTokenDeadline - clock.wallNow();
        return Math.max(0, option.firstToken - Math.max(0, left) * deadlineTolerance);
    };

    return {
        place,
        findCheapestOption: request => pickWay(expectOutput(request), findCheapest)?.option,
        reserve,
        cancelReservation,
        onPlaced: listener => listeners.push(listener),
    };
}
