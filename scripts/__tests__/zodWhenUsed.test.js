import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { bundleProgram } from "../bundle/bundleProgram.js";

// A replacement of zod that lacks something would fail only when a process reports usage for the first time.
test("the bundle parses reports of usage with the zod that it loads when used", async t => {
    const folder = mkdtempSync(join(tmpdir(), "daisyturn-bundle-"));
    t.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "createUsageReporter.cjs");
    await bundleProgram("packages/daisyturn/dist/process/duties/usage/createUsageReporter.js", file);
    const { parseUsageRow } = createRequire(import.meta.url)(file);
    const reports = [{ window: 1, isAccepted: true, counts: [["account", 2]] }];
    assert.deepEqual(parseUsageRow({ reports }), reports);
    assert.deepEqual(parseUsageRow({ reports: [{ ...reports[0], counts: [["account", 0]] }] }), []);
});

// Every process may observe a lease from its start.
test("rows of leases are parsed without loading zod", async t => {
    const folder = mkdtempSync(join(tmpdir(), "daisyturn-bundle-"));
    t.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "leaseRows.cjs");
    await bundleProgram("packages/daisyturn/dist/process/lease/leaseRows.js", file);
    const { parseFencingValue } = createRequire(import.meta.url)(file);
    delete globalThis.__zod_globalRegistry;
    const holder = { processId: "p", incarnation: "i", vmId: "v", availabilityZone: "z", peerAddress: "127.0.0.1:1" };
    const row = { holder, fencingNumber: 1, leaseMilliseconds: 3_000, released: false };
    assert.deepEqual(parseFencingValue(row), row);
    assert.equal(globalThis.__zod_globalRegistry, undefined);
});
