import type { Argv } from "yargs";
import type { PublishFlags } from "../publishing/publishChange.js";
import type { CommonFlags } from "./commandContext.js";

/** Declares the flags of commands that change the configuration. */
export function addPublishFlags<Flags extends CommonFlags>(parser: Argv<Flags>): Argv<Flags & PublishFlags> {
    return parser
        .option("yes", {
            alias: "y",
            type: "boolean",
            default: false,
            describe: "Accept the differences without confirmation",
        })
        .option("dry-run", { type: "boolean", default: false, describe: "Show the differences and change nothing" })
        .option("expect-generation", {
            type: "number",
            requiresArg: true,
            describe: "Refuse the change unless the fleet is at this generation",
        })
        .option("write-id", {
            type: "string",
            requiresArg: true,
            describe: "Write id of an earlier attempt with an unknown outcome; the change is applied at most once",
        }) as unknown as Argv<Flags & PublishFlags>;
}
