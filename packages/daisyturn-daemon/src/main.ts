#!/usr/bin/env node
import { receiveSignals } from "./life/receiveSignals.js";

receiveSignals();
// Loaded after the statement above: a signal that arrives while the program is loaded must not end it.
await import("./life/runCommand.js");
