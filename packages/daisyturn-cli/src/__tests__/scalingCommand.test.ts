import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { createCommandBench } from "../__fixtures__/createCommandBench.js";
import { ExitCode } from "../exitCode.js";

test("scaling shows the orders of all processes in order of time, and nothing else", async () => {
    const file = path.join(mkdtempSync(path.join(tmpdir(), "daisyturn-cli-")), "entry.log");
    const line = (stamp: number, event: string, fields: string) =>
        `stamp=0000170000000${stamp}-000000 event=${event} process=entry-1 incarnation=i ${fields}\n`;
    const order =
        "service=s zone=a kind=reclaimable listed=0 needed=31 prefillWork=6.1 decodeWork=8 reason=replacement";
    writeFileSync(
        file,
        line(1, "engines_ordered", `${order} desired=12 answer=accepted`) + line(2, "fault", "reason=x")
            + line(3, "engines_ordered", `${order} desired=14 answer=rejected`),
    );
    const bench = await createCommandBench();
    const { code, out } = await bench.run(["scaling", file]);
    assert.equal(code, ExitCode.Success);
    const rows = out.trim().split("\n").slice(1).map(row => row.trim().split(/\s+/).slice(1).join(" "));
    assert.deepEqual(rows.filter(row => row.startsWith("s ")), [
        "s a reclaimable 12 0 31 6.1 8 replacement accepted",
        "s a reclaimable 14 0 31 6.1 8 replacement rejected",
    ]);
    const { json } = await bench.run(["scaling", file, "--json"]);
    assert.equal((json()["orders"] as unknown[]).length, 2);
    await bench.close();
});
