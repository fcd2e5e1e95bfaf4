import { ChangeAction, type ConfigurationItem, type ItemChange, ItemKind, OperatorMethod } from "daisyturn";
import { type JsonObject, toJson, UserError } from "daisyturn-utils";
import { readFileSync } from "node:fs";
import { parseAllDocuments, stringify } from "yaml";
import type { Argv } from "yargs";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { formatTable, formatTime } from "../output/formatTable.js";
import { publishChange, type PublishFlags } from "../publishing/publishChange.js";
import type { Terminal } from "../terminal.js";
import { addPublishFlags } from "./addPublishFlags.js";
import { changeFields } from "./changeFields.js";
import { type CommonFlags, print, readAs, withClient } from "./commandContext.js";
import { readItem, readItems, readPartner } from "./readItems.js";
import { retireProfile } from "./retireProfile.js";

const defaultHistory = 50;
const identityFields = ["kind", "partner", "name"];

const historySchema = z.object({
    changes: z.array(z.looseObject({
        generation: z.number(),
        partner: z.string(),
        operator: z.string().optional(),
        acceptedAt: z.number(),
        changes: z.array(z.looseObject({
            action: z.enum(ChangeAction),
            item: z.looseObject({ kind: z.string(), name: z.string() }).optional(),
            identity: z.looseObject({ kind: z.string(), name: z.string() }).optional(),
        })),
    })),
});

type AcceptedChanges = z.infer<typeof historySchema>["changes"];

/** `profile publish | list | show | change | retire | history` */
export function addProfileCommands(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    const run = (flags: CommonFlags, action: (client: OperatorClient) => Promise<void>) =>
        withClient(terminal, flags, action);
    return parser.command("profile", "Publish, change and retire profiles", profile =>
        profile
            .command("list", "List the partner's profiles", command =>
                command, flags =>
                run(flags, client =>
                    listProfiles(terminal, flags, client)))
            .command("show <name>", "Show a profile in the format of `profile publish`", addName, flags =>
                run(flags, client =>
                    showProfile(terminal, flags, client, flags.name)))
            .command("publish <files..>", "Publish the profiles in YAML files, all in one generation", command =>
                addPublishFlags(addFiles(command)), flags =>
                run(flags, client =>
                    publishProfiles(terminal, flags, client, flags.files)))
            .command("change <name>", "Change fields of a profile", command =>
                addPublishFlags(addFieldFlags(addName(command))), flags =>
                run(flags, client =>
                    changeProfile(terminal, flags, client)))
            .command("retire <name>", "Remove a profile; running requests continue to use it", command =>
                addPublishFlags(addRetireFlags(addName(command))), flags =>
                run(flags, client =>
                    retireProfile(terminal, flags, client)))
            .command("history [name]", "Show accepted changes, newest first", addHistoryFlags, flags =>
                run(flags, client =>
                    showHistory(terminal, flags, client)))
            .demandCommand(1));
}

function addName(command: Argv<CommonFlags>) {
    return command.positional("name", { type: "string", demandOption: true, describe: "Name of the profile" });
}

function addFiles(command: Argv<CommonFlags>) {
    return command.positional("files", { type: "string", array: true, demandOption: true, describe: "YAML files" });
}

function addFieldFlags<Flags extends CommonFlags>(command: Argv<Flags>) {
    return command
        .option("set", {
            type: "string",
            array: true,
            default: [],
            describe: "FIELD=VALUE; may be given several times",
        })
        .option("unset", {
            type: "string",
            array: true,
            default: [],
            describe: "Field to remove; may be given several times",
        });
}

function addRetireFlags<Flags extends CommonFlags>(command: Argv<Flags>) {
    return command
        .option("with-services", { type: "boolean", default: false, describe: "Remove its services as well" })
        .option("wait", {
            type: "boolean",
            default: false,
            describe: "Wait until no request uses the profile any more",
        })
        .option("wait-seconds", { type: "number", default: 120, describe: "Maximum waiting time in seconds" });
}

function addHistoryFlags(command: Argv<CommonFlags>) {
    return command
        .positional("name", { type: "string", describe: "Only changes of this profile" })
        .option("limit", { type: "number", default: defaultHistory, describe: "Maximum number of changes to search" });
}

async function listProfiles(terminal: Terminal, flags: CommonFlags, client: OperatorClient): Promise<void> {
    const list = await readItems(client, ItemKind.Profile);
    const head = ["NAME", "MODEL", "PRIORITY", "FIRST TOKEN ms", "TOTAL ms", "WORTH", "ROLE CHANGE"];
    const fields = [
        "name",
        "model",
        "priority",
        "firstTokenLimitMilliseconds",
        "totalLimitMilliseconds",
        "goodputWorth",
        "roleChangeCost",
    ];
    const rows = list.items.map(item => fields.map(field => String(item[field] ?? "")));
    print(terminal, flags, list, () => `${formatTable(head, rows)}generation ${list.generation}\n`);
}

async function showProfile(terminal: Terminal, flags: CommonFlags, client: OperatorClient, name: string) {
    const item = await readItem(client, ItemKind.Profile, name);
    const { kind, partner, ...fields } = toJson(item);
    print(terminal, flags, { kind, partner, ...fields }, () => stringify(fields));
}

async function publishProfiles(
    terminal: Terminal,
    flags: PublishFlags,
    client: OperatorClient,
    files: readonly string[],
): Promise<void> {
    const partner = await readPartner(client);
    const items = files.flatMap(file => readProfileFile(file, partner));
    await publishChange(terminal, flags, client, items.map(putItem));
}

/** Reads one profile from each YAML document; `partner` and `kind` may be omitted. */
function readProfileFile(file: string, partner: string): ConfigurationItem[] {
    const documents = parseAllDocuments(readFileSync(file, "utf8"));
    const list = Array.isArray(documents) ? documents : [];
    return list.map(document => {
        const value: unknown = document.toJS();
        if (document.errors.length > 0 || typeof value !== "object") {
            throw new UserError({
                file,
                line: document.errors[0]?.linePos?.[0].line ?? 1,
                option: "profile",
                value: "see the line",
                problem: document.errors[0]?.message.split("\n")[0] ?? "is not a profile",
                remedy: "Use the format in which `daisyturn profile show NAME` prints an existing profile.",
            });
        }
        return { partner, ...value as JsonObject, kind: ItemKind.Profile } as unknown as ConfigurationItem;
    });
}

interface ChangeProfileFlags extends PublishFlags {
    readonly name: string;
    readonly set: readonly string[];
    readonly unset: readonly string[];
}

async function changeProfile(terminal: Terminal, flags: ChangeProfileFlags, client: OperatorClient): Promise<void> {
    const before = await readItem(client, ItemKind.Profile, flags.name);
    const after = changeFields(toJson(before), flags.set, flags.unset, identityFields);
    await publishChange(terminal, flags, client, [putItem(after as unknown as ConfigurationItem)]);
}

function putItem(item: ConfigurationItem): ItemChange {
    return { action: ChangeAction.Put, item };
}

interface HistoryFlags extends CommonFlags {
    readonly name?: string;
    readonly limit: number;
}

async function showHistory(terminal: Terminal, flags: HistoryFlags, client: OperatorClient): Promise<void> {
    const answer = await client.call({
        method: OperatorMethod.Get,
        path: formatPath("history"),
        query: { limit: String(flags.limit) },
        isRepeatable: true,
    });
    const { changes } = readAs(historySchema, answer);
    const found = changes.filter(change => touchesProfile(change, flags.name));
    const head = ["GENERATION", "ACCEPTED", "PARTNER", "OPERATOR", "CHANGES"];
    const rows = found.map(change => [
        String(change.generation),
        formatTime(change.acceptedAt),
        change.partner,
        change.operator ?? "",
        change.changes.map(formatStep).join(", "),
    ]);
    print(terminal, flags, { changes: found }, () => formatTable(head, rows));
}

type AcceptedChange = AcceptedChanges[number];
type Step = AcceptedChange["changes"][number];

/** Whether a change affects the profile of this name; without a name, any profile. */
function touchesProfile(change: AcceptedChange, name: string | undefined): boolean {
    return change.changes.some(step => {
        const identity = step.item ?? step.identity;
        return identity?.kind === ItemKind.Profile && (name === undefined || identity.name === name);
    });
}

function formatStep(step: Step): string {
    const identity = step.item ?? step.identity;
    return `${step.action} ${identity?.kind ?? ""} ${identity?.name ?? ""}`;
}
