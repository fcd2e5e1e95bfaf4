import { ExecutionVerdict, type Failure } from "daisyturn-utils";
import { RunEnd } from "../process/crashes/index.js";

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
