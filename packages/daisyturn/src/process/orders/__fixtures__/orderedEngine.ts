import type { Clock } from "daisyturn-utils";
import {
    type EngineOrder,
    EnginePhase,
    EngineRole,
    type EngineState,
    OrderAnswer,
    OrderKind,
} from "../../../ports/engine.js";

/** An order that the engine accepted, and when. */
export interface AcceptedOrder {
    readonly order: EngineOrder;
    readonly at: number;
}

/** A simulated engine that checks the invariants of the orders it receives. */
export interface OrderedEngine {
    readonly engineId: string;
    /** Violated invariants; must stay empty. */
    readonly violations: readonly string[];
    readonly taken: readonly AcceptedOrder[];
    order(order: EngineOrder): OrderAnswer;
    /** Records a violation that was detected outside of the engine. */
    recordViolation(violation: string): void;
    state(): EngineState;
    /** Starts a request that runs for the given time; returns false if it is refused as not run. */
    startWork(milliseconds: number): boolean;
    /** Restarts the engine. With `isStuck`, an engine that was changing is stuck afterwards. */
    crash(isStuck?: boolean): void;
}

export interface OrderedEngineOptions {
    readonly engineId: string;
    readonly clock: Clock;
    readonly checksFencingNumbers: boolean;
    readonly changeMilliseconds: number;
    /** Whether the store has the order as the engine's open or doubtful one. */
    readonly isRecordedAsSent: (orderId: string) => boolean;
}

/** Creates an engine that serves in the mixed role with the model `large`. */
export function createOrderedEngine(options: OrderedEngineOptions): OrderedEngine {
    const { engineId, clock, checksFencingNumbers } = options;
    const violations: string[] = [];
    const taken: AcceptedOrder[] = [];
    let incarnation = 1;
    let role = EngineRole.Mixed;
    let models: readonly string[] = ["large"];
    let version = "1";
    let draining = false;
    let stuck = false;
    let lastOrderId: string | undefined;
    let highestSeen = 0;
    let changingUntil = -Infinity;
    let pending: EngineOrder | undefined;
    let streamEnds: number[] = [];

    const now = () => clock.monotonicNow();
    const runningStreams = () => streamEnds.filter(end => end > now()).length;

    const settleChange = () => {
        if (pending && changingUntil <= now()) {
            role = pending.role ?? role;
            models = pending.kind === OrderKind.LoadModel ? [pending.artifact ?? ""] : models;
            version = pending.kind === OrderKind.LoadVersion ? pending.artifact ?? "" : version;
            pending = undefined;
        }
    };

    const phase = () => {
        settleChange();
        if (pending) {
            return EnginePhase.Changing;
        }
        return stuck ? EnginePhase.Stuck : EnginePhase.Serving;
    };

    const order = (given: EngineOrder): OrderAnswer => {
        if (checksFencingNumbers && given.fencingNumber < highestSeen) {
            return OrderAnswer.StaleFencingNumber;
        }
        check(given);
        highestSeen = Math.max(highestSeen, given.fencingNumber);
        if (lastOrderId === given.orderId) {
            return OrderAnswer.Repeated;
        }
        if (phase() === EnginePhase.Changing) {
            return OrderAnswer.Busy;
        }
        lastOrderId = given.orderId;
        taken.push({ order: given, at: now() });
        begin(given);
        return OrderAnswer.Accepted;
    };

    const check = (given: EngineOrder) => {
        const name = `${given.kind} ${given.orderId} (${given.fencingNumber})`;
        if (phase() === EnginePhase.Changing) {
            violations.push(`${name} came during the change by ${pending?.orderId}`);
        }
        if (given.fencingNumber < highestSeen) {
            violations.push(`${name} came after an order with the number ${highestSeen}`);
        }
        if (!options.isRecordedAsSent(given.orderId)) {
            violations.push(`${name} is not the engine's open order in the store`);
        }
        if (changesEngine(given) && runningStreams() > 0) {
            violations.push(`${name} cut ${runningStreams()} streams`);
        }
    };

    const begin = (given: EngineOrder) => {
        if (given.kind === OrderKind.Drain || given.kind === OrderKind.Resume) {
            draining = given.kind === OrderKind.Drain;
            return;
        }
        stuck = false;
        pending = given;
        changingUntil = now() + options.changeMilliseconds;
        streamEnds = [];
    };

    const startWork = (milliseconds: number) => {
        if (draining || phase() !== EnginePhase.Serving) {
            return false;
        }
        streamEnds = [...streamEnds.filter(end => end > now()), now() + milliseconds];
        return true;
    };

    const crash = (isStuck = false) => {
        stuck = isStuck && phase() === EnginePhase.Changing;
        pending = undefined;
        draining = false;
        lastOrderId = undefined;
        streamEnds = [];
        incarnation += 1;
    };

    const state = (): EngineState => ({
        engineId,
        incarnation: `${engineId}-${incarnation}`,
        role,
        phase: phase(),
        draining,
        models,
        adapters: [],
        version,
        runningStreams: runningStreams(),
        queuedRequests: 0,
        lastOrderId,
        highestFencingNumber: checksFencingNumbers ? highestSeen : undefined,
    });

    const recordViolation = (violation: string) => void violations.push(violation);

    return { engineId, violations, taken, order, recordViolation, state, startWork, crash };
}

function changesEngine(order: EngineOrder): boolean {
    return order.kind !== OrderKind.Drain && order.kind !== OrderKind.Resume;
}
