import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import { VmList, type VmListing, VmState } from "../vmList.js";
import { createPlatformConnection, type HttpPlatformOptions, type PlatformAnswer } from "./platformConnection.js";

/** A VM list accessed over HTTP. `close` closes its connections. */
export interface HttpVmList {
    readonly vmList: VmList;
    close(): Promise<void>;
}

/** Path of the list of VMs. */
export const vmListPath = "/vms";

const okStatus = 200;

const listingSchema = z.object({
    asOf: z.number(),
    entries: z.array(z.object({
        vmId: z.string(),
        address: z.string(),
        availabilityZone: z.string(),
        state: z.enum(VmState),
    })),
});

/** Creates the HTTP and JSON adapter to the platform's list of VMs. */
export function createHttpVmList(options: HttpPlatformOptions): HttpVmList {
    const connection = createPlatformConnection(options);

    class HttpVms extends VmList {
        override async list(deadline: number): Promise<Result<VmListing, Failure>> {
            const sent = await connection.send({ method: "GET", path: vmListPath }, deadline);
            return sent.andThen(parseListing);
        }
    }

    return { vmList: new HttpVms(), close: connection.close };
}

/** Fails unless the entire list is valid, because a missing entry would mean that a VM was removed. */
function parseListing(answer: PlatformAnswer): Result<VmListing, Failure> {
    try {
        if (answer.status === okStatus) {
            return ok(listingSchema.parse(JSON.parse(answer.body)));
        }
    }
    catch {
        return err(notRun(FailureReason.StoreUnavailable, "the list of VMs can't be read"));
    }
    return err(notRun(FailureReason.StoreUnavailable, `the list of VMs came with status ${answer.status}`));
}
