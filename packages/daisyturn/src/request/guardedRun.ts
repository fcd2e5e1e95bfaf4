import { ExecutionVerdict, type Failure } from "daisyturn-utils";
import { RunEnd, type RunTarget } from "../process/crashes/index.js";
import type { ProcessParts } from "./requestParts.js";

/** Returns a target as `CrashGuard` knows it. */
export function describeRunTarget({ targets }: Pick<ProcessParts, "targets">, targetName: string): RunTarget {
    return { targetId: targetName, address: targets.findAddress(targetName) ?? "" };
}

/** Returns how a run ended, by the failure of the send; undefined if the target answered. */
export function describeRunEnd(failure: Failure | undefined, isAborted: boolean): RunEnd {
    if (!failure) {
        return RunEnd.Answered;
    }
    if (failure.verdict === ExecutionVerdict.NotRun) {
        return RunEnd.Settled;
    }
    return isAborted ? RunEnd.Abandoned : RunEnd.Broken;
}
