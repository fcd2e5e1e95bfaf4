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

    it("publishes after showing the difference, and shows what it takes to publish again", async () => {
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
        assert.deepEqual(questions, ["Change generation 1 like this?"]);
        const again = await bench.run(["profile", "publish", counter]);
        assert.match(again.out, /= profile counter: unchanged\nNothing was changed \(generation 2\)/);
        const list = await bench.run(["profile", "list"]);
        assert.match(list.out, /NAME +MODEL.*\ncounter +small.*\ndossier +large.*\ngeneration 2\n/);
    });

    it("changes nothing without consent", async () => {
        await bench.publish(dossier);
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5"];
        assert.equal((await bench.run(words)).code, ExitCode.Usage);
        assert.equal((await bench.run(words, () => false)).code, ExitCode.Refused);
        const dry = await bench.run([...words, "--dry-run"]);
        assert.match(dry.out, /~ profile dossier: replaced\n {4}goodputWorth: 3 -> 5\n/);
        assert.equal(bench.configurationManager.current().generation, 1);
    });

    it("changes and drops fields, and keeps the history", async () => {
        await bench.publish({ ...dossier, adapter: "a" });
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--unset", "adapter"];
        const changed = await bench.run([...words, "--yes", "--json"]);
        assert.equal(changed.json()["generation"], 2);
        const found = bench.configurationManager.current().findProfile("nyamata", "dossier");
        assert.deepEqual([found?.goodputWorth, found?.adapter], [5, undefined]);
        const renamed = await bench.run(["profile", "change", "dossier", "--set", "name=x", "--yes"]);
        assert.equal(renamed.code, ExitCode.Usage);
        const history = await bench.run(["profile", "history", "dossier"]);
        assert.match(history.out, /GENERATION.*\n2 .*nyamata +alice +put profile dossier\n1 .*bob/);
        assert.deepEqual((await bench.run(["profile", "history", "other", "--json"])).json(), { changes: [] });
    });

    it("refuses another generation than the expected one", async () => {
        await bench.publish(dossier);
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const refused = await bench.run([...words, "--expect-generation", "7", "--json"]);
        assert.equal(refused.code, ExitCode.Refused);
        assert.match(refused.errors, /"reason":"conflict"/);
        assert.equal(bench.configurationManager.current().generation, 1);
    });

    it("compares anew when others change something in between, and asks again only about another difference", async () => {
        await bench.publish(dossier);
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5"];
        let questions = 0;
        const overtaken = await bench.run(words, async () => {
            questions += 1;
            await bench.publish({ ...dossier, name: "counter" });
            return true;
        });
        assert.deepEqual([overtaken.code, questions], [ExitCode.Success, 1], overtaken.errors);
        const contested = await bench.run(["profile", "change", "dossier", "--set", "goodputWorth=6"], async () => {
            questions += 1;
            if (questions === 2) {
                await bench.publish({ ...dossier, goodputWorth: 9 });
            }
            return true;
        });
        assert.equal(questions, 3);
        assert.match(contested.errors, /goodputWorth: 5 -> 6(.*\n)*.*goodputWorth: 9 -> 6/);
    });

    it("finds out that a change was accepted whose answer was lost", async () => {
        await bench.publish(dossier);
        let lost = 0;
        const proxy = await createBreakingProxy(bench.address, (method, url) => {
            const isLost = method === "POST" && !url.includes("dry-run");
            lost += isLost ? 1 : 0;
            return isLost;
        });
        const environment = { DAISYTURN_OPERATORS: proxy.address, DAISYTURN_OPERATOR_KEY: "operator-key" };
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const changed = await bench.run(words, undefined, environment);
        await proxy.close();
        assert.equal(changed.code, ExitCode.Success, changed.errors);
        assert.deepEqual([lost, bench.configurationManager.current().generation], [1, 2]);
    });

    it("tells the write id when the outcome stays unknown", async () => {
        await bench.publish(dossier);
        const proxy = await createBreakingProxy(
            bench.address,
            (method, url) => (method === "POST" && !url.includes("dry-run")) || url.startsWith("/v1/changes/"),
        );
        const environment = { DAISYTURN_OPERATORS: proxy.address, DAISYTURN_OPERATOR_KEY: "operator-key" };
        const words = ["profile", "change", "dossier", "--set", "goodputWorth=5", "--yes"];
        const changed = await bench.run(words, undefined, environment);
        await proxy.close();
        assert.equal(changed.code, ExitCode.MayHaveRun);
        const writeId = /--write-id (\S+),/.exec(changed.errors)?.[1] ?? "";
        const again = await bench.run([...words, "--write-id", writeId]);
        assert.equal(again.code, ExitCode.Success, again.errors);
        assert.equal(bench.configurationManager.current().generation, 2);
    });

    it("retires a profile and waits until nothing runs under it", async () => {
        await bench.publish(dossier);
        const pin = bench.configurationManager.pin();
        const words = ["profile", "retire", "dossier", "--yes", "--wait", "--write-id", "retire-1"];
        const waiting = await bench.run([...words, "--wait-seconds", "0.1"]);
        assert.equal(waiting.code, ExitCode.NotYet, waiting.errors);
        assert.match(waiting.errors, /- profile dossier: removed(.*\n)*.*still in use: running: 1 at entry-1/);
        assert.equal(bench.configurationManager.current().findProfile("nyamata", "dossier"), undefined);
        assert.equal((await bench.run(["profile", "show", "dossier"])).code, ExitCode.Refused);
        pin.release();
        const ended = await bench.run(words);
        assert.equal(ended.code, ExitCode.Success, ended.errors);
        assert.match(ended.out, /Accepted as generation 2 .*\nNothing runs under it any more/);
    });

    it("names file and line of a profile that is no YAML", async () => {
        const file = writeFile("name: a\nmodel: [\n");
        const refused = await bench.run(["profile", "publish", file]);
        assert.equal(refused.code, ExitCode.Usage);
        assert.match(refused.errors, /profile\.yaml:\d+: profile: /);
    });
});
