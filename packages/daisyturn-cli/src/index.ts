export { ExitCode } from "./exitCode.js";
export { runCommandLine } from "./runCommandLine.js";
export { createProcessTerminal, type Terminal } from "./terminal.js";
export * from "./timeLine/index.js";
