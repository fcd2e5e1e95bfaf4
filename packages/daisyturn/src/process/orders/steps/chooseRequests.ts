import { OrderKind } from "../../../ports/engine.js";
import { type OrderRequest, OrderRequestState } from "../rows/orderRows.js";

/** What the controller is already at. */
export interface ControllerCapacity {
    /** Engines that have a task. */
    readonly busyEngines: ReadonlySet<string>;
    /** Requests that may begin now. */
    readonly freeChanges: number;
    /** Loads of weights among them. */
    readonly freeLoads: number;
}

/** How much a partner has had of the loads, and its weight in sharing. */
export interface LoadShares {
    /** Loads begun for the partner (undefined: for the role planner). */
    started(partner: string | undefined): number;
    weight(partner: string | undefined): number;
}

/**
 * Chooses the requests that begin now, in the order in which the store took them; but of the loads that wait for the
 * rate-limited weight store, first one of the partner that has had least for its weight.
 * @param requests in the order in which the store took them
 */
export function chooseRequests(
    requests: readonly OrderRequest[],
    capacity: ControllerCapacity,
    shares: LoadShares,
): readonly OrderRequest[] {
    const chosen: OrderRequest[] = [];
    let waiting = requests.filter(one =>
        one.state === OrderRequestState.Requested && !capacity.busyEngines.has(one.engineId)
    );
    while (chosen.length < capacity.freeChanges) {
        const next = chooseNext(waiting, capacity.freeLoads - chosen.filter(isLoad).length, chosen, shares);
        if (!next) {
            break;
        }
        chosen.push(next);
        waiting = waiting.filter(one => one !== next);
    }
    return chosen;
}

/** Whether a request needs the weight store. */
export function isLoad(request: OrderRequest): boolean {
    return request.kind !== OrderKind.ChangeRole;
}

function chooseNext(
    waiting: readonly OrderRequest[],
    freeLoads: number,
    chosen: readonly OrderRequest[],
    shares: LoadShares,
): OrderRequest | undefined {
    const computeShare = (partner: string | undefined) => {
        const now = chosen.filter(one => isLoad(one) && one.partner === partner).length;
        return (shares.started(partner) + now) / shares.weight(partner);
    };
    const loads = freeLoads > 0 ? waiting.filter(isLoad) : [];
    const fairest = loads.reduce<OrderRequest | undefined>(
        (best, one) => best && computeShare(best.partner) <= computeShare(one.partner) ? best : one,
        undefined,
    );
    return waiting.find(one => one === fairest || !isLoad(one));
}
