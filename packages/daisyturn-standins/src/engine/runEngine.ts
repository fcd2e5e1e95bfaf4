import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runUntilTerminated } from "../runUntilTerminated.js";
import { createEngineServer } from "./createEngineServer.js";
import { type EngineOptions, engineOptionsSchema } from "./engineOptions.js";

// Runs one engine stand-in as a separate process. Every setting is a flag, such as `--step-base-milliseconds 8`.
// Lists are comma-separated.

const textSettings = ["id", "host", "role", "version"];
const listSettings = ["models", "adapters"];

const names = Object.keys(engineOptionsSchema.shape);
const flags = await yargs(hideBin(process.argv))
    .version(false)
    .options(Object.fromEntries(names.map(name => [name, { type: "string" as const }])))
    .demandOption(["id", "models"])
    .strict()
    .parse();

const given = names.flatMap(name => {
    const text = (flags as Record<string, unknown>)[name];
    return typeof text === "string" ? [[name, parseSetting(name, text)]] : [];
});
await runUntilTerminated(() => createEngineServer(Object.fromEntries(given) as EngineOptions));

function parseSetting(name: string, text: string): unknown {
    if (listSettings.includes(name)) {
        return text.split(",").filter(word => word !== "");
    }
    return textSettings.includes(name) ? text : JSON.parse(text);
}
