import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { bundleProgram } from "../bundle/bundleProgram.js";

// A replacement of zod that lacks something would fail only when a process acquires its first lease.
test("the bundle parses rows of leases with the zod that it loads when used", async t => {
    const folder = mkdtempSync(join(tmpdir(), "daisyturn-bundle-"));
    t.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "leaseRows.cjs");
    await bundleProgram("packages/daisyturn/dist/process/lease/leaseRows.js", file);
    const { parseFencingValue } = createRequire(import.meta.url)(file);
    const holder = { processId: "p", incarnation: "i", vmId: "v", availabilityZone: "z", peerAddress: "127.0.0.1:1" };
    const row = { holder, fencingNumber: 1, leaseMilliseconds: 3_000, released: false };
    assert.deepEqual(parseFencingValue(row), row);
    assert.equal(parseFencingValue({ ...row, fencingNumber: 0 }), undefined);
    assert.equal(parseFencingValue({ ...row, holder: {} }), undefined);
});
