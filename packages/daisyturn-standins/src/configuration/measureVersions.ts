import { ChangeAction, createConfigurationVersion, type ItemChange, validateChange } from "daisyturn";
import { accountCount, createMeasuredAccount, createMeasuredItems, createMeasuredProfile } from "./measuredItems.js";

// Measures the time and memory cost of configuration versions in one process at the expected size:
// node --expose-gc measureVersions.js
const changeCount = 2_000;
const fullCopyCount = 20;
const lookupCount = 1_000_000;
const retainedVersions = 16;

function readHeapMegabytes(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / 1_048_576;
}

function measure<T>(run: () => T): { readonly milliseconds: number; readonly result: T; } {
    const start = performance.now();
    const result = run();
    return { milliseconds: performance.now() - start, result };
}

function createChange(index: number): ItemChange {
    const item = index % 2 === 0
        ? { ...createMeasuredAccount((index * 7_919) % accountCount), requestsPerSecond: index + 1 }
        : createMeasuredProfile(index % 26, index);
    return { action: ChangeAction.Put, item };
}

function report(name: string, value: number, unit: string): void {
    process.stdout.write(`${name}: ${value.toPrecision(3)} ${unit}\n`);
}

const items = createMeasuredItems();
const heapBefore = readHeapMegabytes();
const ownItems = structuredClone(items);
const built = measure(() => createConfigurationVersion(1, ownItems));
report("heap of one version, its items included", readHeapMegabytes() - heapBefore, "MB");
report("first version from all items", built.milliseconds, "ms");
report("size of all items as JSON", JSON.stringify(items).length / 1_048_576, "MB");

const changes = Array.from({ length: changeCount }, (...[, index]) => createChange(index));
const first = built.result;
const derived = measure(() =>
    changes.reduce((version, change) => version.apply({ generation: version.generation + 1, changes: [change] }), first)
);
report("one change applied, shared memory", derived.milliseconds / changeCount * 1_000, "us");
const copied = measure(() => {
    for (let index = 0; index < fullCopyCount; index++) {
        createConfigurationVersion(index, first.items);
    }
});
report("one change applied by a full copy", copied.milliseconds / fullCopyCount * 1_000, "us");

const heapDerived = readHeapMegabytes();
const retained = [derived.result];
for (let index = 1; index < retainedVersions; index++) {
    const version = retained.at(-1) ?? first;
    retained.push(version.apply({ generation: version.generation + 1, changes: [createChange(index)] }));
}
report(`heap of ${retainedVersions - 1} further versions`, readHeapMegabytes() - heapDerived, "MB");

const newest = retained.at(-1) ?? first;
const hashes = Array.from({ length: 1_000 }, (...[, index]) => createMeasuredAccount(index * 13).keyHash);
const plainMap = new Map(items.flatMap(item => item.kind === "caller_account" ? [[item.keyHash, item]] : []));
const lookUpAll = (find: (hash: string) => unknown) => {
    for (let index = 0; index < lookupCount; index++) {
        find(hashes[index % hashes.length] ?? "");
    }
};
const lookUp = (find: (hash: string) => unknown) => {
    lookUpAll(find);
    return measure(() => lookUpAll(find)).milliseconds / lookupCount * 1_000_000;
};
report("account found by its key", lookUp(newest.findAccountByKeyHash), "ns");
report("the same in a plain map", lookUp(hash => plainMap.get(hash)), "ns");

const request = { writeId: "w", partner: "north", operator: "op", changes: [createChange(1)] };
const validated = measure(() => {
    for (let index = 0; index < 1_000; index++) {
        validateChange(newest, request);
    }
});
report("one change validated", validated.milliseconds, "us");
