import { ChangeAction, createConfigurationVersion, createHttpObjectStore } from "daisyturn";
import { SystemClock } from "daisyturn-utils";
import { parseArgs } from "node:util";
import { callNode, launchNodes } from "./launchNodes.js";
import { createMeasuredItems } from "./measuredItems.js";

// Measures how long a new process takes to adopt a large configuration: from peers, from the table service, and from
// one object in the object store. Options: [--accounts 15000] [--runs 5]
const { values } = parseArgs({
    options: { accounts: { type: "string", default: "15000" }, runs: { type: "string", default: "5" } },
});
const itemsPerChange = 90;
const objectName = "configuration-snapshot";
const maxCallMilliseconds = 30_000;

const items = createMeasuredItems(Number(values.accounts));
const cells = await launchNodes([1]);
const [source] = cells.nodes;
try {
    const start = performance.now();
    for (let offset = 0; offset < items.length; offset += itemsPerChange) {
        const changes = items.slice(offset, offset + itemsPerChange).map(item => ({ action: ChangeAction.Put, item }));
        await callNode(source?.operatorUrl ?? "", "POST", "/v1/changes", { writeId: `bulk-${offset}`, changes });
    }
    process.stdout.write(`published ${items.length} items in ${Math.round(performance.now() - start)} ms\n`);
    for (let run = 0; run < Number(values.runs); run++) {
        const fromPeer = await adoptOnce(`peer-${run}`, [source?.peerAddress ?? ""]);
        const fromTable = await adoptOnce(`table-${run}`, []);
        const fromObject = await readObject();
        process.stdout.write(`${JSON.stringify({ fromPeer, fromTable, fromObject })}\n`);
    }
}
finally {
    await cells.stop();
}

async function adoptOnce(id: string, seeds: readonly string[]) {
    const node = await cells.startNode(id, seeds);
    const report = await node.report();
    await node.program.stop();
    return {
        milliseconds: Math.round(report.adoptionMilliseconds),
        items: report.items,
        residentMegabytes: Math.round(report.residentBytes / 1_048_576),
        heapMegabytes: Math.round(report.heapBytes / 1_048_576),
    };
}

/** Milliseconds to load a snapshot from the object store, without the check that it is the newest one. */
async function readObject(): Promise<number> {
    const clock = new SystemClock();
    const store = createHttpObjectStore({ url: cells.platformUrl, clock });
    const deadline = clock.monotonicNow() + maxCallMilliseconds;
    await store.objectStore.put(objectName, JSON.stringify(items), deadline);
    const start = clock.monotonicNow();
    const body = await store.objectStore.get(objectName, deadline);
    createConfigurationVersion(1, JSON.parse(body.unwrapOr("[]")) as typeof items);
    const elapsed = clock.monotonicNow() - start;
    await store.close();
    return Math.round(elapsed);
}
