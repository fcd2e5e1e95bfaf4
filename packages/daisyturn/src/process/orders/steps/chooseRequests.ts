import { OrderKind } from "../../../ports/engine.js";
import { type OrderRequest, OrderRequestState } from "../rows/orderRows.js";

/** Which engines are busy and how many more requests the controller may start. */
export interface ControllerCapacity {
    /** Engines on which the controller is already working. */
    readonly busyEngines: ReadonlySet<string>;
    /** Requests that may start now. */
    readonly freeChanges: number;
    /** Loads of weights that may start now; they count as requests too. */
    readonly freeLoads: number;
}

/** How many loads each partner has had, and its weight in sharing them. */
export interface LoadShares {
    /** Number of loads started for the partner (undefined: for the role planner). */
    started(partner: string | undefined): number;
    weight(partner: string | undefined): number;
}

/**
 * Chooses the requests to start now, in the order in which the store committed them. Among the loads, which share the
 * rate-limited weight store, the partner with the fewest started loads in relation to its weight comes first.
 * @param requests in the order in which the store committed them
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

/** Whether a request loads weights from the weight store. */
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
