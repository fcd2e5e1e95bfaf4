import {
    ChangeAction,
    type ConfigurationItem,
    createConfigurationManager,
    createConfigurationRoutes,
    createIdentityRoutes,
    createMemoryTableService,
    createOperatorServer,
    createStoreClient,
    OperatorMethod,
    type OperatorRoutes,
    type ProcessIdentity,
    singleProcessMembership,
    SingleProcessNetwork,
} from "daisyturn";
import {
    createIdSource,
    createSeededRandom,
    type Failure,
    hashText,
    type JsonObject,
    MemoryEventLog,
    SystemClock,
} from "daisyturn-utils";
import { createServer, request as forward } from "node:http";
import type { AddressInfo } from "node:net";
import { ok } from "true-myth/result";
import { runCommandLine } from "../runCommandLine.js";

const self: ProcessIdentity = {
    processId: "entry-1",
    incarnation: "run-1",
    vmId: "vm-1",
    availabilityZone: "zone-1",
    peerAddress: "127.0.0.1:1",
};

/** Output and exit code of a command. */
export interface CommandRun {
    readonly code: number;
    readonly out: string;
    readonly errors: string;
    json(): JsonObject;
}

/** Response of the operator at the terminal; absent where the terminal is not interactive. */
export type Confirm = (question: string) => boolean | Promise<boolean>;

/** Creates the operators' server of one entry process, with a real configuration and the additional routes given. */
export async function createCommandBench(routes: OperatorRoutes = []) {
    const clock = new SystemClock();
    const random = createSeededRandom(1);
    const eventLog = new MemoryEventLog();
    const ids = createIdSource("run-1");
    const storeClient = createStoreClient({
        tableService: createMemoryTableService(),
        clock,
        random,
        eventLog,
        writesPerSecond: 1_000,
        readsPerSecond: 1_000,
    });
    const network = new SingleProcessNetwork(self);
    const configurationManager = createConfigurationManager({
        self,
        storeClient,
        network,
        membership: singleProcessMembership,
        clock,
        random,
        eventLog,
        ids,
    });
    const stop = new AbortController();
    await configurationManager.adopt(stop.signal);
    const server = await createOperatorServer({
        listen: { host: "127.0.0.1", port: 0 },
        operators: [{ partner: "nyamata", name: "alice", keyHash: hashText("operator-key") }],
        routes: [
            ...createConfigurationRoutes({
                configurationManager,
                membership: singleProcessMembership,
                self,
                ids,
                clock,
            }),
            ...createIdentityRoutes(),
            ...routes,
        ],
        clock,
        eventLog,
    });
    const address = `http://127.0.0.1:${server.port}`;
    const defaults = { DAISYTURN_OPERATORS: address, DAISYTURN_OPERATOR_KEY: "operator-key" };

    /** Runs a command with the arguments that a shell would pass. */
    const run = async (
        args: readonly string[],
        confirm?: Confirm,
        environment: Readonly<Record<string, string>> = defaults,
    ): Promise<CommandRun> => {
        let out = "";
        let errors = "";
        const code = await runCommandLine(args, {
            write: text => {
                out += text;
            },
            writeError: text => {
                errors += text;
            },
            confirm: question => Promise.resolve(confirm?.(question)),
            environment,
            clock,
        });
        return { code, out, errors, json: () => JSON.parse(out) as JsonObject };
    };

    /** Publishes items as another operator of the same partner, without the command line. */
    const publish = async (...items: readonly ConfigurationItem[]) => {
        const changes = items.map(item => ({ action: ChangeAction.Put as const, item }));
        const answer = await configurationManager.publish({
            writeId: ids.next("wr"),
            partner: "nyamata",
            operator: "bob",
            changes,
        });
        return answer.unwrapOr(undefined);
    };

    const close = async () => {
        stop.abort();
        await server.close();
    };

    return { address, configurationManager, run, publish, close };
}

/** Creates a route that calls `answer` for each request and responds with its result. */
export function createRoute(method: OperatorMethod, path: string, answer: (body: unknown) => JsonObject) {
    return { method, path, handle: ({ body }: { readonly body: unknown; }) => ok<JsonObject, Failure>(answer(body)) };
}

/** Forwards requests to a server, but closes the connection before the response where `breaks` returns true. */
export async function createBreakingProxy(address: string, breaks: (method: string, url: string) => boolean) {
    const proxy = createServer((incoming, outgoing) => {
        const { method = "", url = "", headers } = incoming;
        const inner = forward(new URL(url, address), { method, headers }, answer => {
            if (breaks(method, url)) {
                answer.resume();
                outgoing.destroy();
                return;
            }
            outgoing.writeHead(answer.statusCode ?? 500, answer.headers);
            answer.pipe(outgoing);
        });
        incoming.pipe(inner);
    });
    await new Promise<void>(resolve => proxy.listen(0, "127.0.0.1", resolve));
    const close = () =>
        new Promise<void>(resolve => {
            proxy.close(() => resolve());
            proxy.closeAllConnections();
        });
    return { address: `http://127.0.0.1:${(proxy.address() as AddressInfo).port}`, close };
}
