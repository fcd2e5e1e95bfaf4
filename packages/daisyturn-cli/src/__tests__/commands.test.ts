import { EngineRole, ItemKind, OperatorMethod, TargetKind } from "daisyturn";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { describe, it } from "node:test";
import { ok } from "true-myth/result";
import { createCommandBench, createRoute } from "../__fixtures__/createCommandBench.js";
import { ExitCode } from "../exitCode.js";

const { Get, Post } = OperatorMethod;
const folder = mkdtempSync(path.join(tmpdir(), "daisyturn-cli-"));

function writeFile(name: string, text: string): string {
    const file = path.join(folder, name);
    writeFileSync(file, text);
    return file;
}

function createEngine(name: string) {
    return {
        kind: ItemKind.Target as const,
        partner: "nyamata",
        name,
        targetKind: TargetKind.Engine,
        url: "http://127.0.0.1:1",
        availabilityZone: "zone-1",
    };
}

describe("engine commands", () => {
    it("puts holds on engines, lists them and lifts them", async () => {
        const load = { engineId: "engine-1", role: "mixed", phase: "serving", runningStreams: 3, queuedRequests: 1 };
        const bench = await createCommandBench([
            createRoute(Get, "/v1/engines", () => ({ loads: [load], orders: [] })),
        ]);
        await bench.publish(createEngine("engine-1"), createEngine("engine-2"));
        const drained = await bench.run(["engine", "drain", "engine-1", "--note", "new cables", "--yes"]);
        assert.match(drained.errors, /\+ hold engine-1: added\n {4}holdKind: "drain"\n {4}note: "new cables"/);
        const listed = await bench.run(["engine", "list"]);
        assert.match(listed.out, /engine-1 +zone-1 +mixed +serving +3 +1 +drain by nyamata\nengine-2 +zone-1\n/);
        const replaced = await bench.run(["engine", "replace", "engine-1", "--with", "engine-2", "--yes"]);
        assert.match(replaced.errors, /~ hold engine-1: replaced\n.*holdKind: "drain" -> "replace"/);
        assert.equal((await bench.run(["engine", "resume", "engine-1", "--yes"])).code, ExitCode.Success);
        assert.deepEqual(bench.configurationManager.current().holdsOn("engine-1"), []);
        assert.equal((await bench.run(["engine", "withdraw", "engine-2", "--yes"])).code, ExitCode.Success);
        await bench.close();
    });

    it("requests a change of role and waits until the request has ended", async () => {
        const states = ["running", "done"];
        const requested: unknown[] = [];
        const request = (state: string) => ({
            requestId: "r-1",
            state,
            reason: state === "failed" ? "stuck" : undefined,
        });
        const bench = await createCommandBench([
            createRoute(Post, "/v1/engines/:name/orders", body => {
                requested.push(body);
                return request("requested");
            }),
            createRoute(Get, "/v1/engines", () => ({
                loads: [],
                orders: [{ engineId: "engine-1", request: request(states.shift() ?? "failed") }],
            })),
        ]);
        const args = ["engine", "role", "engine-1", EngineRole.Prefill, "--request-id", "r-1"];
        assert.equal((await bench.run(args)).out, "request r-1: requested\n");
        const done = await bench.run([...args, "--wait", "--json"]);
        assert.deepEqual([done.code, done.json()["state"]], [ExitCode.Success, "done"]);
        const failed = await bench.run([...args, "--wait"]);
        assert.equal(failed.code, ExitCode.Refused);
        assert.match(failed.errors, /failed, stuck/);
        const expected = { requestId: "r-1", kind: "change_role", role: "prefill" };
        assert.deepEqual(requested, [expected, expected, expected]);
        assert.equal((await bench.run(["engine", "role", "engine-1", "both"])).code, ExitCode.Usage);
        await bench.close();
    });
});

describe("fleet, lease and claim commands", () => {
    it("print the fleet's answer, also for keys with special characters", async () => {
        const bench = await createCommandBench([
            createRoute(Get, "/v1/lease", () => ({ name: "kigali/controller", fencingNumber: 4 })),
            {
                method: Get,
                path: "/v1/claims/:account/:service",
                handle: ({ parameters, query }) => ok({ ...parameters, key: query.get("key") ?? "" }),
            },
        ]);
        assert.match((await bench.run(["fleet", "status"])).out, /entry-1 +zone-1 +asked +0 +run-1\ngeneration 0\n/);
        assert.equal((await bench.run(["lease", "show"])).out, "name: kigali/controller\nfencingNumber: 4\n");
        const claim = await bench.run(["claim", "show", "front desk", "tickets", "a/b?c&d", "--json"]);
        assert.deepEqual(claim.json(), { account: "front desk", service: "tickets", key: "a/b?c&d" });
        await bench.close();
    });
});

describe("connection to the fleet", () => {
    it("tries the next address if one can't be reached, and reports an error if none can", async () => {
        const bench = await createCommandBench();
        const unreachable = "http://127.0.0.1:1";
        const key = { DAISYTURN_OPERATOR_KEY: "operator-key" };
        const both = { ...key, DAISYTURN_OPERATORS: `${unreachable},${bench.address}` };
        assert.equal((await bench.run(["fleet", "status"], undefined, both)).code, ExitCode.Success);
        const none = await bench.run(["fleet", "status"], undefined, { ...key, DAISYTURN_OPERATORS: unreachable });
        assert.equal(none.code, ExitCode.Unreachable);
        assert.match(none.errors, /127\.0\.0\.1:1: ECONNREFUSED/);
        const wrongKey = { ...both, DAISYTURN_OPERATOR_KEY: "guess" };
        assert.equal((await bench.run(["fleet", "status"], undefined, wrongKey)).code, ExitCode.Refused);
        await bench.close();
    });

    it("reads the addresses and the location of the key from a settings file", async () => {
        const bench = await createCommandBench();
        const keyFile = writeFile("key", "operator-key\n");
        const settings = writeFile("client.yaml", `operators: [${bench.address}]\nkey: { file: ${keyFile} }\n`);
        const run = (file: string) => bench.run(["fleet", "status", "--settings", file], undefined, {});
        assert.equal((await run(settings)).code, ExitCode.Success);
        const wrong = await run(writeFile("wrong.yaml", `operator: [${bench.address}]\nkey: hunter2\n`));
        assert.equal(wrong.code, ExitCode.Usage);
        assert.match(wrong.errors, /wrong\.yaml:1: operators: is missing/);
        assert.ok(!wrong.errors.includes("hunter2"));
        const nothing = await bench.run(["fleet", "status"], undefined, {});
        assert.match(nothing.errors, /address: is missing .*Set DAISYTURN_OPERATORS/);
        await bench.close();
    });
});

describe("settings check", () => {
    it("reports all problems, and exits with a distinct exit code", async () => {
        const bench = await createCommandBench();
        const file = writeFile("entry.yaml", "proces: {}\n");
        const checked = await bench.run(["settings", "check", file]);
        assert.equal(checked.code, ExitCode.ProblemsFound);
        assert.match(checked.out, /entry\.yaml:1: proces: there is no such option at the top .*Did you mean process\?/);
        const asJson = (await bench.run(["settings", "check", file, "--json"])).json();
        assert.equal((asJson["problems"] as unknown[]).length, checked.out.trim().split("\n").length);
        await bench.close();
    });
});

describe("time-line", () => {
    const line = (stamp: string, event: string, process: string, fields = "") =>
        `stamp=0000170000000${stamp}-000000 event=${event} process=${process} incarnation=${process}-1 ${fields}\n`;
    const first = writeFile(
        "entry-1.log",
        line("1", "process_started", "entry-1", "vm=vm-1") + "torn li\n"
            + line("4", "request_answered", "entry-1", "request=r1"),
    );
    const second = writeFile(
        "entry-2.log",
        line("2", "process_started", "entry-2", "vm=vm-2") + line("3", "fault", "entry-2"),
    );

    it("merges and filters logs, and skips invalid lines", async () => {
        const bench = await createCommandBench();
        const all = await bench.run(["time-line", first, second]);
        assert.deepEqual(all.out.match(/entry-\d +\w+/g)?.map(text => text.replace(/ +/, " ")), [
            "entry-1 process_started",
            "entry-2 process_started",
            "entry-2 fault",
            "entry-1 request_answered",
        ]);
        assert.deepEqual([all.code, all.errors], [ExitCode.Success, `${first}:2: no stamp\n`]);
        const ofRequest = await bench.run(["time-line", first, second, "--request", "r1", "--json"]);
        assert.equal(ofRequest.json()["kind"], "request_answered");
        const ofVm = await bench.run(["time-line", first, second, "--vm", "vm-2"]);
        assert.equal(ofVm.out.trim().split("\n").length, 2);
        const wrongTime = await bench.run(["time-line", first, "--from", "noon"]);
        assert.equal(wrongTime.code, ExitCode.Usage);
        const absent = await bench.run(["time-line", path.join(folder, "absent.log")]);
        assert.equal(absent.code, ExitCode.Usage);
        assert.match(absent.errors, /absent\.log can't be read: ENOENT/);
        await bench.close();
    });

    it("draws a self-contained page with at most the requested number of events", async () => {
        const bench = await createCommandBench();
        const page = path.join(folder, "page.html");
        const drawn = await bench.run(["time-line", first, second, "--html", page, "--limit", "3"]);
        assert.match(drawn.errors, /3 events drawn in .*page\.html; 1 later ones are left out/);
        const text = readFileSync(page, "utf8");
        assert.equal(text.match(/<circle/g)?.length, 3);
        assert.doesNotMatch(text, /(src|href)=/);
        await bench.close();
    });
});
