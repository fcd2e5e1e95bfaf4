import { OrderKind } from "../../../ports/engine.js";
import { type OrderRequest, OrderRequestState } from "../rows/orderRows.js";

/** What the controller is already at. */
export interface ControllerLoad {
    /** Engines that have a task. */
    readonly busyEngines: ReadonlySet<string>;
    /** Requests that may begin now. */
    readonly freeChanges: number;
    /** Loads of weights among them. */
    readonly freeLoads: number;
}

/** How much a partner has had of the loads, and its weight in sharing. */
export interface LoadLedger {
    /** Loads begun for the partner (undefined: for the role planner). */
    begun(partner: string | undefined): number;
    weight(partner: string | undefined): number;
}

/**
 * Chooses the requests that begin now, in the order in which the store took them; but of the loads that wait for the
 * rate-limited weight store, first one of the partner that has had least for its weight.
 * @param requests in the order in which the store took them
 */
export function chooseRequests(
    requests: readonly OrderRequest[],
    load: ControllerLoad,
    ledger: LoadLedger,
): readonly OrderRequest[] {
    const chosen: OrderRequest[] = [];
    let waiting = requests.filter(one =>
        one.state === OrderRequestState.Requested && !load.busyEngines.has(one.engineId)
    );
    while (chosen.length < load.freeChanges) {
        const next = chooseNext(waiting, load.freeLoads - chosen.filter(isLoad).length, chosen, ledger);
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
    ledger: LoadLedger,
): OrderRequest | undefined {
    const had = (partner: string | undefined) => {
        const now = chosen.filter(one => isLoad(one) && one.partner === partner).length;
        return (ledger.begun(partner) + now) / ledger.weight(partner);
    };
    const loads = freeLoads > 0 ? waiting.filter(isLoad) : [];
    const fairest = loads.reduce<OrderRequest | undefined>(
        (best, one) => best && had(best.partner) <= had(one.partner) ? best : one,
        undefined,
    );
    return waiting.find(one => one === fairest || !isLoad(one));
}
