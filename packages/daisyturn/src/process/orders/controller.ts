import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { EngineRole } from "../../ports/engine.js";
import type { ChangeKind, OrderRequest, Withheld } from "./rows/orderRows.js";

/** A change that this process is carrying out. */
export interface ChangeUnderWay {
    readonly engineId: string;
    readonly kind: ChangeKind;
    readonly role?: EngineRole;
    /** Set while no orders are sent for the change. */
    readonly withheld?: Withheld;
}

/** Sends orders to the cell's engines while this process holds the controller lease. */
export interface Controller {
    /** Runs until `signal` is aborted; sends orders only while the lease is held. */
    run(signal: AbortSignal): Promise<void>;
    /**
     * Requests a role change for the role planner. Resolves when the request is recorded; `changesUnderWay` can list
     * the change from then on.
     */
    requestRoleChange(engineId: string, role: EngineRole): Promise<Result<OrderRequest, Failure>>;
    /** Changes in progress or withheld, as of the last overview of the rows; empty without the lease. */
    changesUnderWay(): readonly ChangeUnderWay[];
}
