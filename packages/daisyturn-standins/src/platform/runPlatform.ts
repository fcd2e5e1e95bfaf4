import * as fs from "node:fs";
import { parseArgs } from "node:util";
import { parse } from "yaml";
import { z } from "zod";
import { runUntilTerminated } from "../runUntilTerminated.js";
import { vmEntrySchema } from "./controlRoutes.js";
import { createPlatformServer } from "./createPlatformServer.js";

// Runs the platform's stand-in as a process: [--port N] [--vms FILE], where FILE is a YAML or JSON list of VM entries.
const { values } = parseArgs({ options: { port: { type: "string" }, vms: { type: "string" } } });
const vms = values.vms === undefined ? [] : z.array(vmEntrySchema).parse(parse(fs.readFileSync(values.vms, "utf8")));
await runUntilTerminated(() => createPlatformServer({ port: Number(values.port ?? 0), vms }));
