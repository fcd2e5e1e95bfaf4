import { ItemKind, Priority, type Profile } from "daisyturn";
import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createBreakingProxy, createCommandBench } from "../__fixtures__/createCommandBench.js";
import { ExitCode } from "../exitCode.js";

const dossier: Profile = {
    kind: ItemKind.Profile,
    partner: "nyamata",
    name: "dossier",
    model: "large",
    priority: Priority.Interactive,
    firstTokenLimitMilliseconds: 4_000,
    betweenTokensLimitMilliseconds: 200,
    totalLimitMilliseconds: 30_000,
    maxOutputTokens: 400,
    goodputWorth: 3,
    roleChangeCost: 1,
};

function writeFile(text: string): string {
    const file = path.join(mkdtempSync(path.join(tmpdir(), "daisyturn-cli-")), "profile.yaml");
    writeFileSync(file, text);
    return file;
}

describe("profile commands", () => {
    let bench: Awaited<ReturnType<typeof createCommandBench>>;

    beforeEach(async () => {
        bench = await createCommandBench();
    });

    afterEach(async () => {
        await bench.close();
    });

    it("publishes the output of `show` after showing the differences, and changes nothing when repeated", async () => {
        await bench.publish(dossier);
        const shown = await bench.run(["profile", "show", "dossier"]);
        const counter = writeFile(shown.out.replace("name: dossier", "name: counter").replace("large", "small"));
        const questions: string[] = [];
        const published = await bench.run(["profile", "publish", counter], question => {
            questions.push(question);
            return true;
        });
        assert.equal(published.code, ExitCode.Success, published.errors);
        assert.match(published.errors, /\+ profile counter: added\n(.*\n)* {4}model: "small"/);
        assert.match(published.out, /Accepted as generation 2; in force at entry-1/);
        assert.deepEqual(questions, ["Apply these changes to generation 1?"]);
        const again = await bench.run(["profile", "publish", counter]);
        assert.match(again.out, /= profile counter: unchanged\nNothing was changed \(generation 2\)/);
        const list = await bench.run(["profile", "list"]);
        assert.match(list.out, /NAME +MODEL.*\ncounter +small.*\ndossier +large.*\ngeneration 2\n/);
    });

    it("changes nothing without confirmation", async () => {
        await bench.publish(dossier);
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5"];
        assert.equal((await bench.run(args)).code, ExitCode.Usage);
        assert.equal((await bench.run(args, () => false)).code, ExitCode.Refused);
        const dry = await bench.run([...args, "--dry-run"]);
        assert.match(dry.out, /~ profile dossier: replaced\n {4}goodputWorth: 3 -> 5\n/);
        assert.equal(bench.configurationManager.current().generation, 1);
    });

    it("changes and removes fields, and lists the changes in the history", async () => {
        await bench.publish({ ...dossier, adapter: "a" });
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--unset", "adapter"];
        const changed = await bench.run([...args, "--yes", "--json"]);
        assert.equal(changed.json()["generation"], 2);
        const found = bench.configurationManager.current().findProfile("nyamata", "dossier");
        assert.deepEqual([found?.goodputWorth, found?.adapter], [5, undefined]);
        const renamed = await bench.run(["profile", "change", "dossier", "--set", "name=x", "--yes"]);
        assert.equal(renamed.code, ExitCode.Usage);
        const history = await bench.run(["profile", "history", "dossier"]);
        assert.match(history.out, /GENERATION.*\n2 .*nyamata +alice +put profile dossier\n1 .*bob/);
        assert.deepEqual((await bench.run(["profile", "history", "other", "--json"])).json(), { changes: [] });
    });

    it("refuses the change if the fleet is not at the expected generation", async () => {
        await bench.publish(dossier);
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const refused = await bench.run([...args, "--expect-generation", "7", "--json"]);
        assert.equal(refused.code, ExitCode.Refused);
        assert.match(refused.errors, /"reason":"conflict"/);
        assert.equal(bench.configurationManager.current().generation, 1);
    });

    it("compares again after a concurrent change, and asks again only if the differences have changed", async () => {
        await bench.publish(dossier);
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5"];
        let questions = 0;
        const unrelatedChange = await bench.run(args, async () => {
            questions += 1;
            await bench.publish({ ...dossier, name: "counter" });
            return true;
        });
        assert.deepEqual([unrelatedChange.code, questions], [ExitCode.Success, 1], unrelatedChange.errors);
        const conflictingChange = await bench.run(
            ["profile", "change", "dossier", "--set", "goodputWorth=6"],
            async () => {
                questions += 1;
                if (questions === 2) {
                    await bench.publish({ ...dossier, goodputWorth: 9 });
                }
                return true;
            },
        );
        assert.equal(questions, 3);
        assert.match(conflictingChange.errors, /goodputWorth: 5 -> 6(.*\n)*.*goodputWorth: 9 -> 6/);
    });

    it("detects that a change was accepted although its answer was lost", async () => {
        await bench.publish(dossier);
        let lost = 0;
        const proxy = await createBreakingProxy(bench.address, (method, url) => {
            const isLost = method === "POST" && !url.includes("dry-run");
            lost += isLost ? 1 : 0;
            return isLost;
        });
        const environment = { DAISYTURN_OPERATORS: proxy.address, DAISYTURN_OPERATOR_KEY: "operator-key" };
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const changed = await bench.run(args, undefined, environment);
        await proxy.close();
        assert.equal(changed.code, ExitCode.Success, changed.errors);
        assert.deepEqual([lost, bench.configurationManager.current().generation], [1, 2]);
    });

    it("prints the write id if the outcome stays unknown", async () => {
        await bench.publish(dossier);
        const proxy = await createBreakingProxy(
            bench.address,
            (method, url) => (method === "POST" && !url.includes("dry-run")) || url.startsWith("/v1/changes/"),
        );
        const environment = { DAISYTURN_OPERATORS: proxy.address, DAISYTURN_OPERATOR_KEY: "operator-key" };
        const args = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const changed = await bench.run(args, undefined, environment);
        await proxy.close();
        assert.equal(changed.code, ExitCode.MayHaveRun);
        const writeId = /--write-id (\S+),/.exec(changed.errors)?.[1] ?? "";
        const again = await bench.run([...args, "--write-id", writeId]);
        assert.equal(again.code, ExitCode.Success, again.errors);
        assert.equal(bench.configurationManager.current().generation, 2);
    });

    it("retires a profile and waits until no request uses it", async () => {
        await bench.publish(dossier);
        const pin = bench.configurationManager.pin();
        const args = ["profile", "retire", "dossier", "--yes", "--wait", "--write-id", "retire-1"];
        const waiting = await bench.run([...args, "--wait-seconds", "0.1"]);
        assert.equal(waiting.code, ExitCode.NotYet, waiting.errors);
        assert.match(waiting.errors, /- profile dossier: removed(.*\n)*.*still in use: running: 1 at entry-1/);
        assert.equal(bench.configurationManager.current().findProfile("nyamata", "dossier"), undefined);
        assert.equal((await bench.run(["profile", "show", "dossier"])).code, ExitCode.Refused);
        pin.release();
        const ended = await bench.run(args);
        assert.equal(ended.code, ExitCode.Success, ended.errors);
        assert.match(ended.out, /Accepted as generation 2 .*\nNothing runs under it any more/);
    });

    it("reports file and line of a profile that is not valid YAML", async () => {
        const file = writeFile("name: a\nmodel: [\n");
        const refused = await bench.run(["profile", "publish", file]);
        assert.equal(refused.code, ExitCode.Usage);
        assert.match(refused.errors, /profile\.yaml:\d+: profile: /);
    });
});
