import type { Clock, EventLog, IdSource } from "daisyturn-utils";
import type { Admission, RetryBudget } from "../process/admission/index.js";
import type { FleetConfigurationKeeper } from "../process/configuration/index.js";
import type { Router } from "../process/routing/index.js";
import type { TargetDirectory, TargetGate } from "../process/targets/index.js";
import type { ClaimKeeper } from "./claims/claimKeeper.js";
import type { ResumeTokens } from "./resumption/resumeToken.js";

/** The parts of the process that a caller's request passes through. */
export interface ProcessParts {
    readonly keeper: Pick<FleetConfigurationKeeper, "pin">;
    readonly router: Router;
    readonly admission: Admission;
    readonly gate: TargetGate;
    readonly targets: TargetDirectory;
    readonly claims: ClaimKeeper;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
}

/** All that the steps of a request use. */
export interface RequestParts extends ProcessParts {
    readonly retryBudget: RetryBudget;
    readonly resumeTokens: ResumeTokens;
}
