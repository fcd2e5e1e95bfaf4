import {
    type AdmissionOptions,
    EngineRole,
    type Placement,
    type PlanningRouter,
    type RouterOptions,
    type RoutingRequest,
    type RunningAdmission,
} from "daisyturn";
import { EntryPolicies } from "daisyturn-daemon";
import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { Result } from "true-myth/result";

const retryMilliseconds = 1_000;
/** The longest that a timer of node can wait. */
const longestSleepMilliseconds = 0x7fffffff;

/** The baseline: engines of the fitting role in turn, whatever their load, and everybody is let in. */
export class NaivePolicies extends EntryPolicies {
    override createRouter(options: RouterOptions): PlanningRouter {
        return createRoundRobinRouter(options);
    }

    override createAdmission(options: AdmissionOptions): RunningAdmission {
        return createOpenAdmission(options);
    }

    override createRolePlanning(): undefined {
        return undefined;
    }
}

function createRoundRobinRouter(options: RouterOptions): PlanningRouter {
    const { loadView, gate, configurationManager, clock } = options;
    const turns = new Map<string, number>();

    const listOpen = (request: RoutingRequest, roles: readonly EngineRole[]) =>
        loadView.loads()
            .filter(load => roles.includes(load.role()) && gate.isOpen(load.engineId))
            .filter(load =>
                configurationManager.current().findTarget(load.engineId)?.models?.includes(request.profile.model)
                    ?? true
            )
            .map(load => load.engineId)
            .sort();

    const takeTurn = (kind: string, engines: readonly string[]) => {
        const turn = turns.get(kind) ?? 0;
        turns.set(kind, turn + 1);
        return engines[turn % engines.length];
    };

    const place = (request: RoutingRequest) => {
        const prefillEngine = takeTurn("prefill", listOpen(request, [EngineRole.Prefill]));
        const engine = takeTurn("decode", listOpen(request, [EngineRole.Decode, EngineRole.Mixed]));
        if (engine === undefined) {
            const retryAt = clock.wallNow() + retryMilliseconds;
            return Result.err<Placement, Failure>(
                notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt),
            );
        }
        return Result.ok<Placement, Failure>(createUncountedPlacement(engine, prefillEngine));
    };

    return {
        place,
        findCheapestOption: () => undefined,
        reserve: () => undefined,
        cancelReservation: () => undefined,
        onPlaced: () => undefined,
    };
}

/** A placement of which nothing is counted. */
function createUncountedPlacement(engine: string, prefillEngine: string | undefined): Placement {
    const ignore = () => undefined;
    return {
        engine,
        prefillEngine,
        expectedFirstTokenAt: 0,
        recordStream: ignore,
        recordPrefilled: ignore,
        recordFirstToken: ignore,
        recordTokens: ignore,
        end: ignore,
    };
}

function createOpenAdmission({ clock }: AdmissionOptions): RunningAdmission {
    const ticket = { release: () => undefined };
    const run = async (signal: AbortSignal) => {
        await clock.sleepUntil(clock.monotonicNow() + longestSleepMilliseconds, signal);
    };
    return {
        admitModelRequest: async () => Result.ok(ticket),
        admitPlainCall: () => Result.ok(ticket),
        run,
        waitingRequests: () => 0,
    };
}
