// A small deployment: the store, workers of both services, and entry processes.
import { createHosts, startEntries } from "./entries.js";
import { beat, createConfiguration, deskEntry, engineEntry } from "./site.js";
import { startStore } from "./store.js";
import { startWorker } from "./workers.js";

/**
 * Starts the deployment and waits until its processes are ready.
 * @param options.desks one object of worker options for each plain worker
 * @param options.engines the same for each engine, with its stage
 * @param options.describe returns fields of a worker's entry that differ from the usual ones
 */
export async function startFleet({ record, onEnd, zones, desks, engines, changes, settings, onRows, describe }) {
    const hosts = createHosts();
    const store = await startStore(hosts(), zones.length, onRows);
    onEnd(store.close);
    store.put("op", "config", createConfiguration(7, changes));
    const start = async (options, index, id, createEntry) => {
        const worker = await startWorker({ host: hosts(), id, ...options });
        onEnd(worker.close);
        const zone = zones[index % zones.length];
        const { stage } = options;
        let born = Date.now();
        const createFields = () => createEntry(worker.address, zone, { ...stage && { stage }, born, ...describe?.(id) });
        const beats = beat(store, id, createFields);
        onEnd(beats.stop);
        /** Crashes and starts again under the same identifier; registers as soon as it listens. */
        const restart = async (milliseconds, prepare) => {
            beats.pause();
            await worker.crash(milliseconds);
            born = Date.now();
            prepare();
            beats.resume();
        };
        return { ...worker, stopBeats: beats.stop, restart };
    };
    const workers = await Promise.all([
        ...desks.map((options, index) => start(options, index, `i-desk-${index}`, deskEntry)),
        ...engines.map((options, index) => start(options, index, `i-model-${index}`, engineEntry)),
    ]);
    const fleet = await startEntries({ hosts, storeAddresses: store.addresses, zones, settings, record });
    onEnd(fleet.close);
    await fleet.untilReady();
    return { store, workers, entries: fleet.entries, untilReady: fleet.untilReady };
}
