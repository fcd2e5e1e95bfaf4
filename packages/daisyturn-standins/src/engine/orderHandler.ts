import { type EngineOrder, EnginePhase, type EngineRole, OrderAnswer, OrderKind } from "daisyturn";
import type { EngineFaults } from "./engineFaults.js";
import type { EngineSettings } from "./engineOptions.js";

/** Order ids retained to detect repeated orders. */
const maxRememberedOrders = 1_000;

/** An order as the engine received it. Tests use the records to detect conflicting orders. */
export interface OrderRecord {
    readonly order: EngineOrder;
    readonly answer: OrderAnswer;
    /** Real wall-clock time in milliseconds. */
    readonly at: number;
    readonly runningStreams: number;
}

/** Applies orders and exposes the engine state that they change. */
export interface OrderHandler {
    readonly role: EngineRole;
    readonly phase: EnginePhase;
    readonly draining: boolean;
    readonly models: readonly string[];
    readonly adapters: readonly string[];
    readonly version: string;
    readonly lastOrderId: string | undefined;
    readonly highestFencingNumber: number;
    handle(order: EngineOrder): OrderAnswer;
}

/** Options of the order handler. */
export interface OrderHandlerOptions {
    readonly settings: EngineSettings;
    readonly faults: EngineFaults;
    /** Highest fencing number that an earlier incarnation received. */
    readonly highestFencingNumber: number;
    /** Whether the previous incarnation ended during a change, which leaves this one stuck. */
    readonly startsStuck: boolean;
    /** Waits in simulated time. Returns early when the engine ends. */
    readonly pause: (milliseconds: number) => Promise<void>;
    readonly isEnded: () => boolean;
    /** Cuts and removes all streams, for a change that reloads the engine. */
    readonly dropStreams: () => void;
    readonly crash: () => void;
}

/** Creates the order handler of one incarnation. */
export function createOrderHandler(options: OrderHandlerOptions): OrderHandler {
    const { settings, faults } = options;
    const answered = new Set<string>();
    const models = [...settings.models];
    const adapters = [...settings.adapters];
    let role = settings.role;
    let phase = options.startsStuck ? EnginePhase.Stuck : EnginePhase.Serving;
    let draining = false;
    let version = settings.version;
    let lastOrderId: string | undefined;
    let highestFencingNumber = options.highestFencingNumber;

    const remember = (order: EngineOrder) => {
        answered.add(order.orderId);
        lastOrderId = order.orderId;
        const [oldest] = answered;
        if (answered.size > maxRememberedOrders && oldest !== undefined) {
            answered.delete(oldest);
        }
    };

    const apply = (order: EngineOrder) => {
        switch (order.kind) {
            case OrderKind.ChangeRole:
                role = order.role ?? role;
                break;
            case OrderKind.LoadModel:
                addOnce(models, order.artifact);
                break;
            case OrderKind.LoadAdapter:
                addOnce(adapters, order.artifact);
                break;
            case OrderKind.LoadVersion:
                version = order.artifact ?? version;
                break;
            case OrderKind.Drain:
                draining = true;
                break;
            case OrderKind.Resume:
                draining = false;
                break;
        }
        phase = EnginePhase.Serving;
    };

    const change = async (order: EngineOrder) => {
        const isRoleChange = order.kind === OrderKind.ChangeRole;
        const halfTime = (isRoleChange ? settings.roleChangeMilliseconds : settings.loadMilliseconds) / 2;
        phase = EnginePhase.Changing;
        if (dropsStreams(order.kind)) {
            options.dropStreams();
        }
        await options.pause(halfTime);
        if (options.isEnded()) {
            return;
        }
        if (faults.crashNextChange) {
            faults.crashNextChange = false;
            options.crash();
            return;
        }
        if (faults.stopNextChange) {
            faults.stopNextChange = false;
            phase = EnginePhase.Stuck;
            return;
        }
        await options.pause(halfTime);
        if (!options.isEnded()) {
            apply(order);
        }
    };

    const handle = (order: EngineOrder): OrderAnswer => {
        if (settings.checksFencing && order.fencingNumber < highestFencingNumber) {
            return OrderAnswer.StaleFencingNumber;
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber);
        if (answered.has(order.orderId)) {
            return OrderAnswer.Repeated;
        }
        if (phase === EnginePhase.Changing || lacksRequiredFields(order)) {
            return OrderAnswer.Busy;
        }
        remember(order);
        if (order.kind === OrderKind.Drain && phase === EnginePhase.Stuck) {
            draining = true;
        }
        else if (order.kind === OrderKind.Drain || order.kind === OrderKind.Resume) {
            apply(order);
        }
        else {
            void change(order);
        }
        return OrderAnswer.Accepted;
    };

    return {
        get role() {
            return role;
        },
        get phase() {
            return phase;
        },
        get draining() {
            return draining;
        },
        models,
        adapters,
        get version() {
            return version;
        },
        get lastOrderId() {
            return lastOrderId;
        },
        get highestFencingNumber() {
            return highestFencingNumber;
        },
        handle,
    };
}

function dropsStreams(kind: OrderKind): boolean {
    return kind === OrderKind.ChangeRole || kind === OrderKind.LoadVersion;
}

/** A load requires an artifact name and a grant of the weight store. A role change requires a role. */
function lacksRequiredFields(order: EngineOrder): boolean {
    switch (order.kind) {
        case OrderKind.ChangeRole:
            return order.role === undefined;
        case OrderKind.LoadModel:
        case OrderKind.LoadAdapter:
        case OrderKind.LoadVersion:
            return order.artifact === undefined || order.weightGrantId === undefined;
        case OrderKind.Drain:
        case OrderKind.Resume:
            return false;
    }
}

function addOnce(names: string[], name: string | undefined): void {
    if (name !== undefined && !names.includes(name)) {
        names.push(name);
    }
}
