import type { Clock } from "daisyturn-utils";
import { type EngineOrder, EnginePhase, EngineRole, OrderAnswer, OrderKind } from "../ports/engine.js";

/** Handles orders to a fake engine and stores the state that they change. */
export interface FakeOrderHandler {
    role: EngineRole;
    phase: EnginePhase;
    draining: boolean;
    readonly models: string[];
    readonly adapters: string[];
    version: string;
    lastOrderId: string | undefined;
    highestFencingNumber: number;
    /** Accepted orders, in order. Overlapping or conflicting orders are visible here. */
    readonly effects: EngineOrder[];
    /** Whether the next change stops partway, in phase Stuck. */
    stopNextPartway: boolean;
    handle(order: EngineOrder): OrderAnswer;
    /** Aborts a change that is in progress. */
    crash(): void;
}

/** Initial state and settings of a fake engine's order handling. */
export interface FakeOrderHandlerOptions {
    readonly clock: Clock;
    readonly role?: EngineRole;
    readonly models?: readonly string[];
    readonly adapters?: readonly string[];
    readonly checksFencingNumbers?: boolean;
    /** Duration of a role change or a load, in milliseconds. */
    readonly changeMilliseconds?: number;
}

/** Creates the order handler. Drain and Resume take effect at once, all other orders after `changeMilliseconds`. */
export function createFakeOrderHandler(options: FakeOrderHandlerOptions): FakeOrderHandler {
    const { clock } = options;
    const seenOrderIds = new Set<string>();
    let crashes = 0;

    const finish = (order: EngineOrder) => {
        handler.phase = EnginePhase.Serving;
        switch (order.kind) {
            case OrderKind.ChangeRole:
                handler.role = order.role ?? handler.role;
                break;
            case OrderKind.LoadModel:
                handler.models.push(order.artifact ?? "");
                break;
            case OrderKind.LoadAdapter:
                handler.adapters.push(order.artifact ?? "");
                break;
            case OrderKind.LoadVersion:
                handler.version = order.artifact ?? handler.version;
                break;
            case OrderKind.Drain:
            case OrderKind.Resume:
                break;
        }
    };

    const change = async (order: EngineOrder) => {
        const crashesBefore = crashes;
        handler.phase = EnginePhase.Changing;
        await clock.sleepUntil(clock.monotonicNow() + (options.changeMilliseconds ?? 0));
        if (crashes !== crashesBefore) {
            return;
        }
        if (handler.stopNextPartway) {
            handler.stopNextPartway = false;
            handler.phase = EnginePhase.Stuck;
            return;
        }
        finish(order);
    };

    const handle = (order: EngineOrder): OrderAnswer => {
        if (options.checksFencingNumbers && order.fencingNumber < handler.highestFencingNumber) {
            return OrderAnswer.StaleFencingNumber;
        }
        handler.highestFencingNumber = Math.max(handler.highestFencingNumber, order.fencingNumber);
        if (seenOrderIds.has(order.orderId)) {
            return OrderAnswer.Repeated;
        }
        if (handler.phase === EnginePhase.Changing) {
            return OrderAnswer.Busy;
        }
        seenOrderIds.add(order.orderId);
        handler.lastOrderId = order.orderId;
        handler.effects.push(order);
        if (order.kind === OrderKind.Drain || order.kind === OrderKind.Resume) {
            handler.draining = order.kind === OrderKind.Drain;
        }
        else {
            void change(order);
        }
        return OrderAnswer.Accepted;
    };

    const crash = () => {
        crashes += 1;
        handler.phase = handler.phase === EnginePhase.Changing ? EnginePhase.Stuck : handler.phase;
    };

    const handler: FakeOrderHandler = {
        role: options.role ?? EngineRole.Mixed,
        phase: EnginePhase.Serving,
        draining: false,
        models: [...options.models ?? ["large"]],
        adapters: [...options.adapters ?? []],
        version: "1",
        lastOrderId: undefined,
        highestFencingNumber: 0,
        effects: [],
        stopNextPartway: false,
        handle,
        crash,
    };
    return handler;
}
