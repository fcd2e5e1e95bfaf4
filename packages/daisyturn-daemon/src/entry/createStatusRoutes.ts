import { OperatorMethod, type OperatorRoutes } from "daisyturn";
import { toJson } from "daisyturn-utils";
import { Result } from "true-myth/result";
import type { Base } from "./createBase.js";
import type { Cell } from "./createCell.js";
import type { DataPath } from "./createDataPath.js";

/** Creates the operators' route that reports the status of the process that receives the request. */
export function createStatusRoutes(base: Base, cell: Cell, data: DataPath): OperatorRoutes {
    return [{
        method: OperatorMethod.Get,
        path: "/v1/process",
        handle: async () =>
            Result.ok({
                identity: toJson(base.self),
                ready: data.readiness.isReady(),
                inService: cell.serviceGuard.isInService(),
                outOfServiceReason: cell.serviceGuard.reason(),
                generation: cell.configurationManager.current().generation,
                holdsLease: cell.leaseManager.current() !== undefined,
                storeAvailable: cell.storeClient.isAvailable(),
                members: cell.membership.others().map(member => ({
                    processId: member.identity.processId,
                    state: member.state,
                    availabilityZone: member.identity.availabilityZone,
                })),
                waitingRequests: data.admission.waitingRequests(),
                peerTraffic: toJson({ ...cell.network.traffic }),
                memoryBytes: process.memoryUsage.rss(),
                heapBytes: process.memoryUsage().heapUsed,
            }),
    }];
}
