import type { Clock } from "daisyturn-utils";
import { type EngineOrder, EnginePhase, EngineRole, OrderAnswer, OrderKind } from "../ports/engine.js";

/** The part of a fake engine that orders change. */
export interface FakeOrderDesk {
    role: EngineRole;
    phase: EnginePhase;
    draining: boolean;
    readonly models: string[];
    readonly adapters: string[];
    version: string;
    lastOrderId: string | undefined;
    highestFencingNumber: number;
    /** Orders that took effect, in order: two that overlap or conflict are seen here. */
    readonly effects: EngineOrder[];
    /** The next change stops partway: phase Stuck. */
    stopNextPartway: boolean;
    take(order: EngineOrder): OrderAnswer;
    /** Loses a change that is under way. */
    crash(): void;
}

/** What a fake engine starts with. */
export interface FakeOrderDeskOptions {
    readonly clock: Clock;
    readonly role?: EngineRole;
    readonly models?: readonly string[];
    readonly adapters?: readonly string[];
    readonly checksFencingNumbers?: boolean;
    /** Milliseconds that a change of role or a load takes. */
    readonly changeMilliseconds?: number;
}

/** Creates the part that takes orders. Drain and Resume take effect at once, all others after the change time. */
export function createFakeOrderDesk(options: FakeOrderDeskOptions): FakeOrderDesk {
    const { clock } = options;
    const seenOrderIds = new Set<string>();
    let crashes = 0;

    const finish = (order: EngineOrder) => {
        desk.phase = EnginePhase.Serving;
        switch (order.kind) {
            case OrderKind.ChangeRole:
                desk.role = order.role ?? desk.role;
                break;
            case OrderKind.LoadModel:
                desk.models.push(order.artifact ?? "");
                break;
            case OrderKind.LoadAdapter:
                desk.adapters.push(order.artifact ?? "");
                break;
            case OrderKind.LoadVersion:
                desk.version = order.artifact ?? desk.version;
                break;
            case OrderKind.Drain:
            case OrderKind.Resume:
                break;
        }
    };

    const change = async (order: EngineOrder) => {
        const crashesBefore = crashes;
        desk.phase = EnginePhase.Changing;
        await clock.sleepUntil(clock.monotonicNow() + (options.changeMilliseconds ?? 0));
        if (crashes !== crashesBefore) {
            return;
        }
        if (desk.stopNextPartway) {
            desk.stopNextPartway = false;
            desk.phase = EnginePhase.Stuck;
            return;
        }
        finish(order);
    };

    const take = (order: EngineOrder): OrderAnswer => {
        if (options.checksFencingNumbers && order.fencingNumber < desk.highestFencingNumber) {
            return OrderAnswer.StaleFencingNumber;
        }
        desk.highestFencingNumber = Math.max(desk.highestFencingNumber, order.fencingNumber);
        if (seenOrderIds.has(order.orderId)) {
            return OrderAnswer.Repeated;
        }
        if (desk.phase === EnginePhase.Changing) {
            return OrderAnswer.Busy;
        }
        seenOrderIds.add(order.orderId);
        desk.lastOrderId = order.orderId;
        desk.effects.push(order);
        if (order.kind === OrderKind.Drain || order.kind === OrderKind.Resume) {
            desk.draining = order.kind === OrderKind.Drain;
        }
        else {
            void change(order);
        }
        return OrderAnswer.Accepted;
    };

    const crash = () => {
        crashes += 1;
        desk.phase = desk.phase === EnginePhase.Changing ? EnginePhase.Stuck : desk.phase;
    };

    const desk: FakeOrderDesk = {
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
        take,
        crash,
    };
    return desk;
}
