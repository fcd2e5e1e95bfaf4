import type { Random } from "daisyturn-utils";
import { createSeededRandom } from "daisyturn-utils";
import { EnginePhase, EngineRole, OrderKind } from "../../../ports/engine.js";
import { createHold } from "../../../version/__fixtures__/items.js";
import { HoldKind } from "../../../version/configurationItems.js";
import type { NewOrderRequest } from "../createOrderCommands.js";
import {
    type ChangeGoal,
    type EngineOrders,
    isRequestOpen,
    type OrderRequest,
    OrderRequestState,
    OrderState,
} from "../rows/orderRows.js";
import { parseEngineOrders, parseOrderRequest } from "../rows/parseOrderRows.js";
import { createOrderWorld, type OrderWorld } from "./orderWorld.js";
import { CallFault } from "./processHost.js";

export interface RaceOptions {
    readonly seed: number;
    readonly checksFencingNumbers: boolean;
    readonly hasHolds: boolean;
    /** Number of faults of single calls, injected into random processes. */
    readonly faultCount: number;
}

export interface RaceRun {
    readonly violations: readonly string[];
    readonly hasSettled: boolean;
    /** Final states of the requests, in the order in which the store committed them. */
    readonly requests: readonly OrderRequest[];
    readonly engine: EngineGoalState;
}

/** The part of an engine's state that changes modify. */
export interface EngineGoalState {
    readonly role: EngineRole;
    readonly models: readonly string[];
    readonly version: string;
}

const partners = ["nyamata", "jizdenka"];
const actionCount = 14;
const maxGapMilliseconds = 2_500;
const maxLagMilliseconds = 3_000;
const maxDelayMilliseconds = 120;
const maxFaultyCall = 160;
const settleMilliseconds = 150_000;
const workMilliseconds = 600;

/** Runs random actions of operators of both partners on one engine while processes fail at random. */
export async function runRacingOperators(options: RaceOptions): Promise<RaceRun> {
    const random = createSeededRandom(options.seed);
    const lags = new Map(["p1", "p2", "p3"].map(name => [name, random.integerBelow(maxLagMilliseconds)]));
    const world = createOrderWorld({
        checksFencingNumbers: options.checksFencingNumbers,
        processCount: 3,
        seed: options.seed,
        drawDelay: () => random.integerBelow(maxDelayMilliseconds),
        configurationLag: name => lags.get(name) ?? 0,
    });
    const overridden: string[] = [];
    const sent = new Set<string>();
    const ended = new Map<string, OrderRequest>();
    world.onCommit(transaction => {
        transaction.writes.forEach(({ key, value }) => {
            if (value !== undefined && key.includes("/engine/")) {
                overridden.push(...findOverriddenHold(world, parseEngineOrders(value), sent));
            }
            if (value !== undefined && key.includes("/request/")) {
                const request = parseOrderRequest(value);
                ended.set(request.requestId, request);
            }
        });
    });
    for (let count = 0; count < options.faultCount; count++) {
        const { host } = world.processes[random.integerBelow(3)]!;
        host.failCall(1 + random.integerBelow(maxFaultyCall), pick(random, Object.values(CallFault)));
    }
    await world.clock.advance(1_500);
    for (let count = 0; count < actionCount; count++) {
        void performRandomAction(world, random, options.hasHolds, count);
        await advanceUnderWork(world, random.integerBelow(maxGapMilliseconds));
    }
    await removeAllHolds(world);
    const hasSettled = await world.advanceUntil(() => continueRun(world), settleMilliseconds);
    const { role, models, version } = world.engine.state();
    await world.stop();
    return {
        violations: [...world.engine.violations, ...overridden],
        hasSettled,
        requests: [...ended.values()],
        engine: { role, models, version },
    };
}

/** Naive model: applies the requests that were carried out one after the other, as one process with one lock would. */
export function applyInOrder(start: EngineGoalState, requests: readonly OrderRequest[]): EngineGoalState {
    const done = requests.filter(request => request.state === OrderRequestState.Done);
    return done.reduce<EngineGoalState>((state, request) => ({
        role: request.role ?? state.role,
        models: request.kind === OrderKind.LoadModel && !state.models.includes(request.artifact!)
            ? [request.artifact!]
            : state.models,
        version: request.kind === OrderKind.LoadVersion ? request.artifact! : state.version,
    }), start);
}

/**
 * Describes the holds that had already been accepted when an order that they forbid was marked as sent. An order that
 * only supersedes a doubtful one is exempt: it leaves the engine unchanged.
 */
function findOverriddenHold(
    world: OrderWorld,
    { change, last, doubtful }: EngineOrders,
    sent: Set<string>,
): readonly string[] {
    const isNew = last?.state === OrderState.Sent && !sent.has(last.order.orderId);
    if (!isNew || !change || doubtful || last.order.kind === OrderKind.Resume) {
        return [];
    }
    sent.add(last.order.orderId);
    const foreign = world.acceptedConfiguration().holdsOn("engine-1").filter(hold => hold.partner !== change.partner);
    return foreign.map(hold => `${last.order.kind} for ${change.partner} against the hold of ${hold.partner}`);
}

async function performRandomAction(world: OrderWorld, random: Random, hasHolds: boolean, count: number): Promise<void> {
    const partner = pick(random, partners);
    const process = pick(random, world.processes);
    if (hasHolds && random.fraction() < 0.5) {
        const holdKind = pick(random, Object.values(HoldKind));
        await world.setHold(createHold(partner, "engine-1", holdKind), random.fraction() < 0.4);
        return;
    }
    const newRequest: NewOrderRequest = {
        requestId: `req-${count}`,
        engineId: "engine-1",
        partner,
        ...pickGoal(random),
    };
    await process.commands.requestOrder(newRequest);
}

function pickGoal(random: Random): ChangeGoal {
    return pick<ChangeGoal>(random, [
        { kind: OrderKind.ChangeRole, role: EngineRole.Decode },
        { kind: OrderKind.ChangeRole, role: EngineRole.Prefill },
        { kind: OrderKind.LoadModel, artifact: "small" },
        { kind: OrderKind.LoadVersion, artifact: "2" },
    ]);
}

async function advanceUnderWork(world: OrderWorld, milliseconds: number): Promise<void> {
    world.engine.startWork(workMilliseconds);
    await world.clock.advance(milliseconds);
}

async function removeAllHolds(world: OrderWorld): Promise<void> {
    for (const partner of partners) {
        await world.setHold(createHold(partner, "engine-1"), false);
    }
}

/** Adds work, proves deaths and ensures that a process is alive; returns whether everything has settled. */
function continueRun(world: OrderWorld): boolean {
    world.engine.startWork(workMilliseconds);
    world.proveDeaths();
    if (world.processes.every(one => one.host.isDead())) {
        world.addProcess("p4");
    }
    const { change, doubtful } = world.orders();
    const state = world.engine.state();
    const isServing = state.phase === EnginePhase.Serving && !state.draining;
    return isServing && !change && !doubtful && !isRequestOpen(world.request());
}

function pick<T>(random: Random, choices: readonly T[]): T {
    return choices[random.integerBelow(choices.length)]!;
}
