import { type EngineRole, OperatorMethod, OrderKind, OrderRequestState } from "daisyturn";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { CommandError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import type { Terminal } from "../terminal.js";
import { type CommonFlags, print, readAs } from "./commandContext.js";

const millisecondsPerSecond = 1_000;
const pollIntervalMilliseconds = 1_000;

const requestSchema = z.looseObject({
    requestId: z.string(),
    state: z.enum(OrderRequestState),
    reason: z.string().optional(),
});

const listSchema = z.object({
    orders: z.array(z.looseObject({ engineId: z.string(), request: requestSchema.optional() })),
});

type OrderRequest = z.infer<typeof requestSchema>;

/** Flags of `engine role`. */
export interface RoleFlags extends CommonFlags {
    readonly name: string;
    readonly role: EngineRole;
    readonly requestId?: string;
    readonly wait: boolean;
    readonly waitSeconds: number;
}

/** Records a request for the controller, and with `--wait` waits until it has ended. */
export async function changeEngineRole(terminal: Terminal, flags: RoleFlags, client: OperatorClient): Promise<void> {
    const requestId = flags.requestId ?? `cli-${randomUUID()}`;
    const answer = await client.call({
        method: OperatorMethod.Post,
        path: formatPath("engines", flags.name, "orders"),
        body: { requestId, kind: OrderKind.ChangeRole, role: flags.role },
        isRepeatable: true,
    });
    // The server's failure does not contain the id that the operator needs to repeat the request.
    const result = answer.mapErr(failure => ({
        ...failure,
        message: `${failure.message} (--request-id ${requestId})`,
    }));
    const recorded = readAs(requestSchema, result);
    const ended = flags.wait ? await waitForEnd(terminal, flags, client, recorded) : recorded;
    print(terminal, flags, ended, () => `${formatRequest(ended)}\n`);
    if (ended.state === OrderRequestState.Refused || ended.state === OrderRequestState.Failed) {
        throw new CommandError(ExitCode.Refused, formatRequest(ended));
    }
}

async function waitForEnd(
    terminal: Terminal,
    flags: RoleFlags,
    client: OperatorClient,
    recorded: OrderRequest,
): Promise<OrderRequest> {
    const { clock } = terminal;
    const deadline = clock.monotonicNow() + flags.waitSeconds * millisecondsPerSecond;
    let request = recorded;
    while (isOpen(request)) {
        if (clock.monotonicNow() >= deadline) {
            throw new CommandError(ExitCode.NotYet, formatRequest(request));
        }
        await clock.sleepUntil(clock.monotonicNow() + pollIntervalMilliseconds);
        request = await readRequest(client, flags.name, recorded);
    }
    return request;
}

/**
 * Reads the state of the request.
 * @throws CommandError if a later request has replaced it: it has ended, but its outcome is no longer known
 */
async function readRequest(client: OperatorClient, engine: string, recorded: OrderRequest): Promise<OrderRequest> {
    const call = { method: OperatorMethod.Get, path: formatPath("engines"), isRepeatable: true };
    const { orders } = readAs(listSchema, await client.call(call));
    const present = orders.find(order => order.engineId === engine)?.request;
    if (present?.requestId !== recorded.requestId) {
        throw new CommandError(ExitCode.NotYet, `request ${recorded.requestId} was replaced by a later request`);
    }
    return present;
}

function isOpen({ state }: OrderRequest): boolean {
    return state === OrderRequestState.Requested || state === OrderRequestState.Running;
}

function formatRequest({ requestId, state, reason }: OrderRequest): string {
    return `request ${requestId}: ${state}${reason === undefined ? "" : `, ${reason}`}`;
}
