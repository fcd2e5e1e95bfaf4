import type { Clock, EventLog, IdSource } from "daisyturn-utils";
import type { Admission, RetryBudget } from "../process/admission/index.js";
import type { FleetConfigurationManager } from "../process/configuration/index.js";
import type { CrashGuard } from "../process/crashes/index.js";
import type { Router } from "../process/routing/index.js";
import type { TargetDirectory, TargetGate } from "../process/targets/index.js";
import type { ClaimManager } from "./claims/claimManager.js";
import type { ResumeTokens } from "./resumption/resumeToken.js";

/** The parts of the process that serving a caller's request uses. */
export interface ProcessParts {
    readonly configurationManager: Pick<FleetConfigurationManager, "pin">;
    readonly router: Router;
    readonly admission: Admission;
    readonly gate: TargetGate;
    readonly targets: TargetDirectory;
    readonly claims: ClaimManager;
    readonly crashGuard: CrashGuard;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
}

/** All parts that the steps of a request use. */
export interface RequestParts extends ProcessParts {
    readonly retryBudget: RetryBudget;
    readonly resumeTokens: ResumeTokens;
}
