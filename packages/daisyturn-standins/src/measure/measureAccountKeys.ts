/**
 * Measures the lookup of callers' keys: time of one lookup and memory of one key, for tables of several sizes.
 * Usage: node --expose-gc packages/daisyturn-standins/dist/measure/measureAccountKeys.js
 */
import { createAccountTable } from "daisyturn/forwarding";
import { randomBytes } from "node:crypto";

const keyCounts = [100, 1_000, 10_000];
const keysPerAccount = 10;
const keyBytes = 12;
const lookups = 2_000_000;
const nanosecondsPerMillisecond = 1e6;

function measure(keyCount: number): void {
    const keys = Array.from({ length: keyCount }, () => randomBytes(keyBytes).toString("hex"));
    const accounts = Array.from({ length: keyCount / keysPerAccount }, (value, index) => ({
        name: `account-${index}`,
        keys: keys.slice(index * keysPerAccount, (index + 1) * keysPerAccount),
    }));
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const table = createAccountTable(accounts);
    globalThis.gc?.();
    const heapAfter = process.memoryUsage().heapUsed;
    // Callers' keys are parsed from requests, so they are other strings than those of the table.
    const asked = keys.map(key => Buffer.from(key).toString());
    let found = 0;
    const startedAt = performance.now();
    for (let index = 0; index < lookups; index++) {
        found += table.find(asked[index % keyCount] ?? "") ? 1 : 0;
    }
    const milliseconds = performance.now() - startedAt;
    const nanoseconds = milliseconds * nanosecondsPerMillisecond / lookups;
    const bytes = (heapAfter - heapBefore) / keyCount;
    console.log(
        `${keyCount} keys: ${nanoseconds.toFixed(0)} ns a lookup, ${bytes.toFixed(0)} bytes a key, ${found} found`,
    );
}

keyCounts.forEach(measure);
