import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runUntilTerminated } from "../runUntilTerminated.js";
import { createServiceServer } from "./createServiceServer.js";

// Runs one plain service stand-in as a separate process.
const flags = await yargs(hideBin(process.argv))
    .option("id", { type: "string", demandOption: true })
    .option("port", { type: "number", default: 0 })
    .option("delay", { type: "number", default: 0, describe: "milliseconds before each call runs" })
    .strict()
    .parse();

await runUntilTerminated(() =>
    createServiceServer({ id: flags.id, port: flags.port, faults: { delayMilliseconds: flags.delay } })
);
