import { VmState } from "daisyturn";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { answerJson } from "../httpAnswers.js";
import { HttpStatus } from "./httpStatus.js";
import { platformFaultsSchema } from "./platformFaults.js";
import type { PlatformState } from "./platformState.js";

/** Paths that control the stand-in itself. They work also during a simulated outage. */
export enum ControlPath {
    /** POST: changes the faults. */
    Faults = "/control/faults",
    /** POST: adds an entry to the list of VMs, or replaces the one with the same id. */
    Vms = "/control/vms",
    /** POST: removes the entry with the given `vmId` from the list of VMs. */
    RemoveVm = "/control/vms/remove",
    /** GET: counts of the calls since the start. */
    Counts = "/control/counts",
}

/** An entry of the list of VMs, as in requests to {@link ControlPath.Vms} and in the file given by `--vms`. */
export const vmEntrySchema = z.object({
    vmId: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(VmState),
});

const vmNameSchema = z.object({ vmId: z.string() });

/** Handles requests to the control paths; returns false for any other path. */
export function handleControl(state: PlatformState, path: string, body: string, response: ServerResponse): boolean {
    switch (path) {
        case ControlPath.Faults:
            state.setFaults(platformFaultsSchema.parse(JSON.parse(body)));
            break;
        case ControlPath.Vms:
            state.vmList.register(vmEntrySchema.parse(JSON.parse(body)));
            break;
        case ControlPath.RemoveVm:
            state.vmList.remove(vmNameSchema.parse(JSON.parse(body)).vmId);
            break;
        case ControlPath.Counts:
            answerJson(response, HttpStatus.Ok, state.counts);
            return true;
        default:
            return false;
    }
    answerJson(response, HttpStatus.Ok, state.faults());
    return true;
}
