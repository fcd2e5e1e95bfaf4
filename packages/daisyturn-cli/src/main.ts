#!/usr/bin/env node
import { runCommandLine } from "./runCommandLine.js";
import { createProcessTerminal } from "./terminal.js";

process.exitCode = await runCommandLine(process.argv.slice(2), createProcessTerminal());
