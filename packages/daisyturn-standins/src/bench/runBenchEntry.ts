import { EntryPolicies, loadDaemonSettings, serveEntryProcess, StandardPolicies } from "daisyturn-daemon";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { NaivePolicies } from "./naivePolicies.js";
import { PolicyName } from "./policyName.js";

// Runs an entry process with the routing, admission and role planning of the given policy.

const flags = await yargs(hideBin(process.argv))
    .option("policy", { choices: Object.values(PolicyName), demandOption: true })
    .option("settings", { type: "string", demandOption: true })
    .command("serve", "Run until SIGTERM.")
    .strict()
    .parse();

await serveEntryProcess(loadDaemonSettings(flags.settings), createPolicies(flags.policy));

function createPolicies(name: PolicyName): EntryPolicies {
    switch (name) {
        case PolicyName.Naive:
            return new NaivePolicies();
        case PolicyName.StaticRoles:
            return new StandardPolicies(false);
        case PolicyName.Present:
            return new StandardPolicies(true);
    }
}
