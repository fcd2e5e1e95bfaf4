import { ChangeAction, type ItemChange, ItemKind, OperatorMethod } from "daisyturn";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { CommandError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import { publishChange, type PublishFlags } from "../publishing/publishChange.js";
import type { Terminal } from "../terminal.js";
import { print, readAs } from "./commandContext.js";
import { readItems, readPartner } from "./readItems.js";

/** Longest time for which the server is requested to delay one answer. */
const maxWaitPerRequestMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;

const reportSchema = z.looseObject({
    isComplete: z.boolean(),
    runningAt: z.array(z.object({ processId: z.string(), requests: z.number() })),
    notConfirmedBy: z.array(z.string()),
});

type Report = z.infer<typeof reportSchema>;

/** Flags of `profile retire`. */
export interface RetireFlags extends PublishFlags {
    readonly name: string;
    readonly withServices: boolean;
    readonly wait: boolean;
    readonly waitSeconds: number;
}

/** Removes a profile. Running requests continue to use it until they end; `--wait` waits for their end. */
export async function retireProfile(terminal: Terminal, flags: RetireFlags, client: OperatorClient): Promise<void> {
    const changes = await planRemoval(flags, client);
    const published = await publishChange(terminal, flags, client, changes, guards =>
        client.call({
            method: OperatorMethod.Post,
            path: formatPath("retirements"),
            body: { kind: ItemKind.Profile, name: flags.name, withServices: flags.withServices, ...guards },
            isRepeatable: true,
        }));
    if (published && flags.wait) {
        await waitForEnd(terminal, flags, client, published.generation);
    }
}

/** Lists the changes that the server will make, for the preview. */
async function planRemoval(flags: RetireFlags, client: OperatorClient): Promise<ItemChange[]> {
    const partner = await readPartner(client);
    const remove = (kind: ItemKind, name: string): ItemChange => ({
        action: ChangeAction.Remove,
        identity: { kind, partner, name },
    });
    const services = flags.withServices ? (await readItems(client, ItemKind.Service)).items : [];
    const servicesOfProfile = services.filter(service => service["profile"] === flags.name);
    return [
        remove(ItemKind.Profile, flags.name),
        ...servicesOfProfile.map(service => remove(ItemKind.Service, String(service["name"]))),
    ];
}

async function waitForEnd(
    terminal: Terminal,
    flags: RetireFlags,
    client: OperatorClient,
    generation: number,
): Promise<void> {
    const deadline = terminal.clock.monotonicNow() + flags.waitSeconds * millisecondsPerSecond;
    for (;;) {
        const report = await fetchReport(client, flags.name, generation, deadline - terminal.clock.monotonicNow());
        if (report.isComplete) {
            print(terminal, flags, report, () => "Nothing runs under it any more.\n");
            return;
        }
        if (terminal.clock.monotonicNow() >= deadline) {
            const advice = "to continue waiting, use --write-id ID --wait";
            throw new CommandError(ExitCode.NotYet, `retired, but still in use: ${formatReport(report)}; ${advice}`);
        }
        terminal.writeError(`${formatReport(report)}\n`);
    }
}

async function fetchReport(
    client: OperatorClient,
    name: string,
    generation: number,
    remainingMilliseconds: number,
): Promise<Report> {
    const wait = Math.max(0, Math.min(maxWaitPerRequestMilliseconds, Math.floor(remainingMilliseconds)));
    const answer = await client.call({
        method: OperatorMethod.Get,
        path: formatPath("retirements", ItemKind.Profile, name),
        query: { generation: String(generation), "wait-milliseconds": String(wait) },
        isRepeatable: true,
    });
    return readAs(reportSchema, answer);
}

function formatReport({ runningAt, notConfirmedBy }: Report): string {
    const running = runningAt.map(({ processId, requests }) => `${requests} at ${processId}`).join(", ");
    const unconfirmed = notConfirmedBy.length === 0 ? "" : `; not confirmed by ${notConfirmedBy.join(", ")}`;
    return `running: ${running || "none known"}${unconfirmed}`;
}
