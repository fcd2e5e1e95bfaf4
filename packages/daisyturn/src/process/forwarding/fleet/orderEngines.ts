import { EventKind } from "daisyturn-utils";
import { createServiceFleet, type ServiceFleet } from "./createServiceFleet.js";
import type { EngineNumbers, OrderEnginesOptions } from "./orderEnginesOptions.js";

/** The orders of one process. */
export interface EngineOrdering {
    run(signal: AbortSignal): Promise<void>;
    /** The present numbers; empty while another process orders. */
    list(): readonly EngineNumbers[];
}

/** Interval between two looks at the demand and the list; short, so that a notice is answered at once. */
const tickMilliseconds = 250;

/** Creates the ordering of one process. Only the holder of the lease orders. */
export function orderEngines(options: OrderEnginesOptions): EngineOrdering {
    const { calls, clock } = options;
    const fleets = new Map<string, ServiceFleet>();
    let fencingNumber: number | undefined;

    const forget = () => {
        fleets.clear();
        fencingNumber = undefined;
    };

    const tick = () => {
        const lease = calls.current();
        if (!options.mayOrder()) {
            forget();
            return;
        }
        if (!lease) {
            return;
        }
        const isSameHolder = fencingNumber === lease.fencingNumber || fencingNumber === lease.fencingNumber - 1;
        if (!isSameHolder) {
            // A new holder doesn't know the orders of the previous one, and begins with what is listed. A process that has
            // lost the lease and acquired it again, with no other holder in between, still knows its own.
            forget();
        }
        ({ fencingNumber } = lease);
        const services = options.listServices();
        [...fleets.keys()].filter(name => !services.some(service => service.name === name))
            .forEach(name => fleets.delete(name));
        for (const service of services) {
            const fleet = fleets.get(service.name) ?? createServiceFleet(service.name, options);
            fleets.set(service.name, fleet);
            fleet.tick(service.scaling);
        }
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                try {
                    tick();
                }
                catch (error) {
                    options.eventLog.record(EventKind.Fault, { reason: `engines can't be planned: ${String(error)}` });
                }
                await clock.sleepUntil(clock.monotonicNow() + tickMilliseconds, signal);
            }
        },
        list: () => calls.current() ? [...fleets.values()].flatMap(fleet => fleet.list()) : [],
    };
}
