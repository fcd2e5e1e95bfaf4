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
/** Maximum delay of a Node.js timer. */
const maxTimerMilliseconds = 0x7fffffff;

/** The baseline: round robin over engines of the matching role regardless of load, and no admission limits. */
export class NaivePolicies extends EntryPolicies {
    override createRouter(options: RouterOptions): PlanningRouter {
        return createRoundRobinRouter(options);
    }

    override createAdmission(options: AdmissionOptions): RunningAdmission {
        return createUnlimitedAdmission(options);
    }

    override createRolePlanning(): undefined {
        return undefined;
    }
}

function createRoundRobinRouter(options: RouterOptions): PlanningRouter {
    const { loadView, gate, configurationManager, clock } = options;
    const nextIndexes = new Map<string, number>();

    const listOpenEngines = (request: RoutingRequest, roles: readonly EngineRole[]) =>
        loadView.loads()
            .filter(load => roles.includes(load.role()) && gate.isOpen(load.engineId))
            .filter(load =>
                configurationManager.current().findTarget(load.engineId)?.models?.includes(request.profile.model)
                    ?? true
            )
            .map(load => load.engineId)
            .sort();

    const selectNext = (kind: string, engines: readonly string[]) => {
        const index = nextIndexes.get(kind) ?? 0;
        nextIndexes.set(kind, index + 1);
        return engines[index % engines.length];
    };

    const place = (request: RoutingRequest) => {
        const prefillEngine = selectNext("prefill", listOpenEngines(request, [EngineRole.Prefill]));
        const engine = selectNext("decode", listOpenEngines(request, [EngineRole.Decode, EngineRole.Mixed]));
        if (engine === undefined) {
            const retryAt = clock.wallNow() + retryMilliseconds;
            return Result.err<Placement, Failure>(
                notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt),
            );
        }
        return Result.ok<Placement, Failure>(createUntrackedPlacement(engine, prefillEngine));
    };

    return {
        place,
        findCheapestOption: () => undefined,
        reserve: () => undefined,
        cancelReservation: () => undefined,
        onPlaced: () => undefined,
    };
}

/** Creates a placement that records nothing. */
function createUntrackedPlacement(engine: string, prefillEngine: string | undefined): Placement {
    const ignore = () => undefined;
    return {
        engine,
        softwareVersion: "",
        prefillEngine,
        expectedFirstTokenAt: 0,
        recordStream: ignore,
        recordPrefilled: ignore,
        recordFirstToken: ignore,
        recordTokens: ignore,
        end: ignore,
    };
}

function createUnlimitedAdmission({ clock }: AdmissionOptions): RunningAdmission {
    const ticket = { release: () => undefined };
    const run = async (signal: AbortSignal) => {
        await clock.sleepUntil(clock.monotonicNow() + maxTimerMilliseconds, signal);
    };
    return {
        admitModelRequest: async () => Result.ok(ticket),
        admitPlainCall: () => Result.ok(ticket),
        run,
        waitingRequests: () => 0,
    };
}
