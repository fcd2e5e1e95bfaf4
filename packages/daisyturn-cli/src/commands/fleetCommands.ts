import { OperatorMethod } from "daisyturn";
import type { JsonObject } from "daisyturn-utils";
import { stringify } from "yaml";
import type { Argv } from "yargs";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { formatTable } from "../output/formatTable.js";
import type { Terminal } from "../terminal.js";
import { type CommonFlags, expectAnswer, print, readAs, withClient } from "./commandContext.js";

const fleetSchema = z.looseObject({
    self: z.looseObject({ processId: z.string(), availabilityZone: z.string(), incarnation: z.string() }),
    generation: z.number(),
    members: z.array(z.looseObject({
        identity: z.looseObject({ processId: z.string(), availabilityZone: z.string(), incarnation: z.string() }),
        state: z.string(),
    })),
    processes: z.array(z.looseObject({ processId: z.string(), generation: z.number().optional() })),
});

type FleetStatus = z.infer<typeof fleetSchema>;

/** `fleet status`, `lease show` and `claim show` */
export function addFleetCommands(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    const run = (flags: CommonFlags, action: (client: OperatorClient) => Promise<void>) =>
        withClient(terminal, flags, action);
    return parser
        .command("fleet", "Show the entry processes", fleet =>
            fleet
                .command("status", "Show the members and the active generation of each", command =>
                    command, flags =>
                    run(flags, client =>
                        showFleet(terminal, flags, client)))
                .demandCommand(1))
        .command("lease", "Show the controller lease", lease =>
            lease
                .command("show", "Show the process that sends orders to engines", command =>
                    command, flags =>
                    run(flags, client =>
                        show(terminal, flags, client, formatPath("lease"))))
                .demandCommand(1))
        .command("claim", "Show calls that run at most once", claim =>
            claim
                .command(
                    "show <account> <service> <key>",
                    "Show the claim of an idempotency key",
                    addClaimNames,
                    flags =>
                        run(flags, client => {
                            const path = formatPath("claims", flags.account, flags.service);
                            return show(terminal, flags, client, path, { key: flags.key });
                        }),
                )
                .demandCommand(1));
}

function addClaimNames(command: Argv<CommonFlags>) {
    return command
        .positional("account", { type: "string", demandOption: true, describe: "The caller's account" })
        .positional("service", { type: "string", demandOption: true, describe: "Name of the service" })
        .positional("key", { type: "string", demandOption: true, describe: "The caller's Idempotency-Key" });
}

async function show(
    terminal: Terminal,
    flags: CommonFlags,
    client: OperatorClient,
    path: string,
    query?: Readonly<Record<string, string>>,
): Promise<void> {
    const answer: JsonObject = expectAnswer(
        await client.call({ method: OperatorMethod.Get, path, query, isRepeatable: true }),
    );
    print(terminal, flags, answer, () => stringify(answer));
}

async function showFleet(terminal: Terminal, flags: CommonFlags, client: OperatorClient): Promise<void> {
    const call = { method: OperatorMethod.Get, path: formatPath("fleet"), isRepeatable: true };
    const status = readAs(fleetSchema, await client.call(call));
    print(terminal, flags, status, () => formatFleet(status));
}

function formatFleet({ self, members, processes, generation }: FleetStatus): string {
    const all = [{ identity: self, state: "asked" }, ...members];
    const rows = all.map(({ identity, state }) => [
        identity.processId,
        identity.availabilityZone,
        state,
        String(processes.find(process => process.processId === identity.processId)?.generation ?? "no answer"),
        identity.incarnation,
    ]);
    const sorted = rows.sort((left, right) => (left[0] ?? "") < (right[0] ?? "") ? -1 : 1);
    return `${
        formatTable(["PROCESS", "ZONE", "STATE", "GENERATION", "INCARNATION"], sorted)
    }generation ${generation}\n`;
}
