import {
    ChangeAction,
    EngineRole,
    HoldKind,
    type ItemChange,
    ItemKind,
    OperatorMethod,
    OrderRequestState,
    TargetKind,
} from "daisyturn";
import type { Argv } from "yargs";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { formatTable } from "../output/formatTable.js";
import { publishChange, type PublishFlags } from "../publishing/publishChange.js";
import type { Terminal } from "../terminal.js";
import { addPublishFlags } from "./addPublishFlags.js";
import { changeEngineRole } from "./changeEngineRole.js";
import { type CommonFlags, expectAnswer, print, readAs, withClient } from "./commandContext.js";
import { readPartner } from "./readItems.js";

const targetsSchema = z.object({
    generation: z.number(),
    targets: z.array(z.object({
        target: z.looseObject({ name: z.string(), targetKind: z.enum(TargetKind), availabilityZone: z.string() }),
        holds: z.array(z.looseObject({ partner: z.string(), holdKind: z.enum(HoldKind) })),
    })),
});

const enginesSchema = z.object({
    loads: z.array(
        z.looseObject({
            engineId: z.string(),
            role: z.string(),
            phase: z.string(),
            runningStreams: z.number(),
            queuedRequests: z.number(),
        }).partial(),
    ),
    orders: z.array(z.looseObject({
        engineId: z.string(),
        change: z.looseObject({ kind: z.string() }).optional(),
        withheld: z.looseObject({ reason: z.string() }).optional(),
        request: z.looseObject({ state: z.string() }).optional(),
    })),
});

/** A command that puts a hold on an engine; without `holdKind`, one that lifts the hold. */
interface HoldCommand {
    readonly subcommand: string;
    readonly describe: string;
    readonly holdKind?: HoldKind;
}

const holdCommands: readonly HoldCommand[] = [
    { subcommand: "drain", describe: "Stop sending new work to an engine", holdKind: HoldKind.Drain },
    { subcommand: "withdraw", describe: "Remove an engine from service permanently", holdKind: HoldKind.Withdraw },
    { subcommand: "replace", describe: "Replace an engine with another one", holdKind: HoldKind.Replace },
    { subcommand: "resume", describe: "Lift the partner's own hold on an engine" },
];

/** `engine list | drain | withdraw | replace | resume | role | vouch` */
export function addEngineCommands(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    const run = (flags: CommonFlags, action: (client: OperatorClient) => Promise<void>) =>
        withClient(terminal, flags, action);
    return parser.command("engine", "Drain, replace and withdraw engines, and change their roles", engine => {
        for (const hold of holdCommands) {
            engine.command(
                `${hold.subcommand} <name>`,
                hold.describe,
                command => addHoldFlags(command, hold),
                flags => run(flags, client => changeHold(terminal, flags, client, hold)),
            );
        }
        return engine
            .command(
                "list",
                "List engines with their load, holds and orders",
                command => command,
                flags => run(flags, client => listEngines(terminal, flags, client)),
            )
            .command(
                "role <name> <role>",
                "Request a change of role from the controller",
                addRoleFlags,
                flags => run(flags, client => changeEngineRole(terminal, flags, client)),
            )
            .command(
                "vouch <incarnation>",
                "Confirm the end of a process incarnation that blocks orders to an engine",
                command =>
                    command
                        .positional("incarnation", {
                            type: "string",
                            demandOption: true,
                            describe: "Incarnation of the ended process",
                        })
                        .option("note", {
                            type: "string",
                            demandOption: true,
                            describe: "Evidence that the process has ended",
                        }),
                flags => run(flags, client => vouch(terminal, flags, client)),
            )
            .demandCommand(1);
    });
}

function addHoldFlags(command: Argv<CommonFlags>, { holdKind }: HoldCommand) {
    return addPublishFlags(
        command
            .positional("name", { type: "string", demandOption: true, describe: "Name of the engine" })
            .option("note", { type: "string", requiresArg: true, describe: "Shown to both partners" })
            .option("with", {
                type: "string",
                requiresArg: true,
                demandOption: holdKind === HoldKind.Replace,
                hidden: holdKind !== HoldKind.Replace,
                describe: "Name of the engine that takes its place",
            }),
    );
}

function addRoleFlags(command: Argv<CommonFlags>) {
    return command
        .positional("name", { type: "string", demandOption: true, describe: "Name of the engine" })
        .positional("role", { choices: Object.values(EngineRole), demandOption: true, describe: "The new role" })
        .option("request-id", {
            type: "string",
            requiresArg: true,
            describe: "Id of an earlier attempt; the change is applied at most once",
        })
        .option("wait", { type: "boolean", default: false, describe: "Wait until the change has ended" })
        .option("wait-seconds", { type: "number", default: 300, describe: "Maximum waiting time in seconds" });
}

interface HoldFlags extends PublishFlags {
    readonly name: string;
    readonly note?: string;
    readonly with?: string;
}

async function changeHold(
    terminal: Terminal,
    flags: HoldFlags,
    client: OperatorClient,
    { holdKind }: HoldCommand,
): Promise<void> {
    const identity = { kind: ItemKind.Hold as const, partner: await readPartner(client), name: flags.name };
    const details = {
        ...(flags.note !== undefined && { note: flags.note }),
        ...(flags.with !== undefined && { replacement: flags.with }),
    };
    const change: ItemChange = holdKind === undefined
        ? { action: ChangeAction.Remove, identity }
        : { action: ChangeAction.Put, item: { ...identity, holdKind, ...details } };
    await publishChange(terminal, flags, client, [change]);
}

async function listEngines(terminal: Terminal, flags: CommonFlags, client: OperatorClient): Promise<void> {
    const [targets, engines] = await Promise.all([
        readAs(targetsSchema, await client.call(createRead("targets"))),
        readAs(enginesSchema, await client.call(createRead("engines"))),
    ]);
    const list = targets.targets
        .filter(({ target }) => target.targetKind === TargetKind.Engine)
        .map(({ target, holds }) => ({
            target,
            holds,
            load: engines.loads.find(load => load.engineId === target.name),
            orders: engines.orders.find(orders => orders.engineId === target.name),
        }));
    const head = ["NAME", "ZONE", "ROLE", "PHASE", "RUNNING", "QUEUED", "HOLDS", "CHANGE", "WITHHELD"];
    const rows = list.map(({ target, holds, load, orders }) => [
        target.name,
        target.availabilityZone,
        load?.role ?? "",
        load?.phase ?? "",
        String(load?.runningStreams ?? ""),
        String(load?.queuedRequests ?? ""),
        holds.map(hold => `${hold.holdKind} by ${hold.partner}`).join(", "),
        orders?.change?.kind ?? describeOpenRequest(orders?.request?.state),
        orders?.withheld?.reason ?? "",
    ]);
    print(terminal, flags, { generation: targets.generation, engines: list }, () => formatTable(head, rows));
}

/** Returns the state of a request that waits for the controller; a request in another state is not shown. */
function describeOpenRequest(state: string | undefined): string {
    return state === OrderRequestState.Requested ? state : "";
}

interface VouchFlags extends CommonFlags {
    readonly incarnation: string;
    readonly note: string;
}

async function vouch(terminal: Terminal, flags: VouchFlags, client: OperatorClient): Promise<void> {
    const { incarnation, note } = flags;
    const path = formatPath("vouches");
    const call = { method: OperatorMethod.Post, path, body: { incarnation, note }, isRepeatable: true };
    const recorded = expectAnswer(await client.call(call));
    print(terminal, flags, recorded, () => `Recorded: incarnation ${incarnation} has ended.\n`);
}

function createRead(...parts: readonly string[]) {
    return { method: OperatorMethod.Get, path: formatPath(...parts), isRepeatable: true };
}
