import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { EngineRole } from "../../ports/engine.js";
import type { ChangeKind, OrderRequest, Withheld } from "./rows/orderRows.js";

/** A change that this process is carrying out. */
export interface ChangeUnderWay {
    readonly engineId: string;
    readonly kind: ChangeKind;
    readonly role?: EngineRole;
    /** Why it stands still, if it does. */
    readonly withheld?: Withheld;
}

/** Gives orders to the cell's engines while this process holds the controller lease. */
export interface Controller {
    /** Works whenever the lease is held, until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Asks for a role change on the planner's behalf. Resolves when it is recorded; `changesUnderWay` shows it then. */
    requestRoleChange(engineId: string, role: EngineRole): Promise<Result<OrderRequest, Failure>>;
    /** Changes under way or waiting for proof, as of the last look through the rows; empty without the lease. */
    changesUnderWay(): readonly ChangeUnderWay[];
}
