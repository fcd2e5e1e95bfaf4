import { formatUserError, UserError, type UserErrorDetails } from "daisyturn-utils";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { describe, it } from "node:test";
import { parse } from "yaml";
import { createSettingsText, validSettingsText } from "../__fixtures__/settingsText.js";
import { daemonSettingsSchema } from "../daemonSettings.js";
import { formatReference } from "../formatReference.js";
import { daemonSettingsReader, loadDaemonSettings } from "../loadDaemonSettings.js";
import { findNearestName } from "../nearestName.js";
import { type CatalogueEntry, createOptionCatalogue } from "../optionCatalogue.js";
import { readSecret } from "../readSecret.js";
import { referenceFile } from "../referenceFile.js";

interface WrongLine {
    readonly line: number;
    readonly text: string;
    readonly parts: readonly string[];
}

const wrongLines: readonly WrongLine[] = [
    {
        line: 2,
        text: "calers:",
        parts: ["FILE:2: calers: there is no such option at the top", "Did you mean callers?"],
    },
    {
        line: 3,
        text: "  listen: { host: 127.0.0.1, port: eight }",
        parts: ["FILE:3: callers.listen.port: must be a number", "(given: \"eight\")", "as in: 8080"],
    },
    {
        line: 3,
        text: "  listen: { host: localhost, port: 70000 }",
        parts: [
            "callers.listen.host: must be an IP number (given: \"localhost\")",
            "must be at most 65535 (given: 70000)",
        ],
    },
    { line: 3, text: "  listen: { port: 1 }", parts: ["FILE:3: callers.listen.host: is missing (given: nothing)"] },
    { line: 3, text: "  listen:", parts: ["FILE:3: callers.listen: is missing", "Add it as in: { host:"] },
    {
        line: 3,
        text: "  listen: { host: 127.0.0.1, port: 7600 }",
        parts: ["FILE:5: peers.listen.port: is the port of callers.listen already"],
    },
    {
        line: 5,
        text: "  listen: { host: 0.0.0.0, port: 7600 }",
        parts: ["peers.advertise: is needed", "10.0.1.7:7600"],
    },
    { line: 7, text: "    - entry-2:7600", parts: ["FILE:7: peers.seeds[0]: must be an IP number and a port"] },
    { line: 8, text: "  secret: {}", parts: ["FILE:8: peers.secret: must name a file or an environment variable"] },
    {
        line: 8,
        text: "  secret: hunter2",
        parts: ["FILE:8: peers.secret: must be a section", "a value that is not shown"],
    },
    { line: 8, text: "  secrets: hunter2", parts: ["FILE:8: peers.secrets: there is no such", "Did you mean secret?"] },
    { line: 8, text: "  secret: { fiel: hunter2 }", parts: ["FILE:8: peers.secret.fiel", "Did you mean file?"] },
    { line: 14, text: "      keyHash: hunter2", parts: ["FILE:14: operators.keys[0].keyHash: has the wrong form"] },
    {
        line: 14,
        text: `      keyHash: ${"1".repeat(63)}e`.replace("1e", "e1"),
        parts: ["keyHash: must be a text (given: a value that is not shown). Put it in quotes as in"],
    },
    { line: 15, text: "platform: { url: ftp://x, writesPerSecond: 0 }", parts: ["must be greater than 0 (given: 0)"] },
    { line: 16, text: "cell: { name: '', leaseMilliseconds: 0.5 }", parts: ["cell.name: is too short", "at least 1"] },
    { line: 18, text: "  keys: []", parts: ["FILE:18: resumption.keys: is too short (given: a list of 0)"] },
    { line: 18, text: "  keys: [", parts: ["FILE:18: settings: no valid YAML"] },
    { line: 16, text: "cell: { name: a }\ncell: { name: b }", parts: ["FILE:17: settings: no valid YAML"] },
];

function problemsOf(text: string): readonly UserErrorDetails[] {
    const checked = daemonSettingsReader.checkText(text, "FILE");
    return checked.isErr ? checked.error : [];
}

function writeSettings(text: string): string {
    const file = path.join(mkdtempSync(path.join(tmpdir(), "daisyturn-settings-")), "entry.yaml");
    writeFileSync(file, text);
    return file;
}

describe("daemon settings", () => {
    it("fills in defaults", () => {
        const settings = loadDaemonSettings(writeSettings(validSettingsText));
        assert.equal(settings.cell.leaseMilliseconds, 6_000);
        assert.equal(settings.claims.keptAnswerBytes, 65_536);
        assert.equal(settings.peers.seeds[0], "127.0.0.1:7600");
        assert.deepEqual(settings.log, {});
    });

    for (const { line, text, parts } of wrongLines) {
        it(`names file, line, option, value and remedy of ${text.trim()}`, () => {
            const messages = problemsOf(createSettingsText(line, text)).map(formatUserError).join("\n");
            for (const part of parts) {
                assert.ok(messages.includes(part), `${messages}\nlacks: ${part}`);
            }
            assert.ok(!messages.includes("hunter2"), messages);
        });
    }

    it("reports all problems in line order, and throws the first with the places of the others", () => {
        const text = createSettingsText(16, "cell: { nam: x }").replace("port: 8080", "port: -1");
        const lines = problemsOf(text).map(problem => problem.line);
        assert.deepEqual(lines, [3, 16, 16]);
        const file = writeSettings(text);
        assert.throws(() => loadDaemonSettings(file), (error: unknown) => {
            assert.ok(error instanceof UserError);
            assert.match(error.message, /entry\.yaml:3: callers\.listen\.port.*2 more: .*cell\.nam in line 16/);
            return true;
        });
    });

    it("reports an empty file and a missing one", () => {
        assert.match(problemsOf("").map(formatUserError).join(), /FILE:1: settings: is missing/);
        const absent = daemonSettingsReader.checkFile("/nowhere/entry.yaml");
        assert.ok(absent.isErr);
        assert.match(absent.error.map(formatUserError).join(), /settings file: can't be read: ENOENT .*entry\.yaml/);
    });

    it("accepts every example of the reference page as a value of its option", () => {
        const visit = (name: string, entry: CatalogueEntry): void => {
            if (entry.properties && !entry.examples) {
                Object.entries(entry.properties).forEach(each => visit(`${name}.${each[0]}`, each[1]));
                return;
            }
            assert.ok(entry.examples?.[0] !== undefined && entry.description, `${name} has no example`);
            const value: unknown = parse(`value: ${entry.examples[0]}`);
            assert.ok(typeof value === "object" && value !== null && "value" in value); // eslint-disable-line no-restricted-syntax
            const [section = "", ...rest] = name.split(".");
            const text = JSON.stringify({
                [section]: rest.reduceRight<unknown>((inner, key) => ({ [key]: inner }), value.value),
            });
            const own = problemsOf(text).filter(problem =>
                problem.option.startsWith(name) && problem.value !== "nothing"
            );
            assert.deepEqual(own, []);
        };
        Object.entries(createOptionCatalogue(daemonSettingsSchema).root.properties ?? {}).forEach(each =>
            visit(...each)
        );
    });

    it("has an up-to-date reference page (npm run reference)", () => {
        assert.equal(readFileSync(referenceFile, "utf8"), formatReference());
    });
});

describe("readSecret", () => {
    it("reads files and environment variables, and rejects empty or missing ones", () => {
        const file = writeSettings(" hunter2 \n");
        process.env["DAISYTURN_TEST_SECRET"] = "hunter3";
        process.env["DAISYTURN_TEST_EMPTY"] = "  ";
        assert.equal(readSecret({ file }), "hunter2");
        assert.equal(readSecret({ environment: "DAISYTURN_TEST_SECRET" }), "hunter3");
        assert.throws(
            () => readSecret({ environment: "DAISYTURN_TEST_EMPTY" }),
            /DAISYTURN_TEST_EMPTY: holds no secret/,
        );
        assert.throws(() => readSecret({ file: "/nowhere" }), /file \/nowhere: can't be read: ENOENT/);
    });
});

describe("findNearestName", () => {
    it("finds the option for a misspelt name and none for an unrelated one", () => {
        const known = ["heartbeatMilliseconds", "listen", "seeds", "secret"];
        assert.equal(findNearestName("heartbeatMiliseconds", known), "heartbeatMilliseconds");
        assert.equal(findNearestName("Lisen", known), "listen");
        assert.equal(findNearestName("zzzzzzzz", known), undefined);
    });
});
