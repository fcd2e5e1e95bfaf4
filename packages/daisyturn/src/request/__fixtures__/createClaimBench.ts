import {
    type Clock,
    createIdSource,
    createSeededRandom,
    type Failure,
    FakeClock,
    MemoryEventLog,
} from "daisyturn-utils";
import Result from "true-myth/result";
import { createFakeIdentity, createFakePeerNetworks } from "../../__fixtures__/fakePeerNetwork.js";
import { createFaultyTableService } from "../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../ports/memoryTableService.js";
import type { ServiceAnswer, ServiceCall } from "../../ports/plainService.js";
import { createClaimPruner, formatClaimRowKey, parseClaimRow } from "../../process/claims/index.js";
import type { Membership, ProcessIdentity } from "../../process/peers/index.js";
import { createStoreClient } from "../../process/store/index.js";
import type { ClaimRequest, SendCall } from "../claims/claimManager.js";
import { createClaimManager, type ProcessClaimManager } from "../claims/createClaimManager.js";

/** Answer of the fake service to the first call that it runs. */
export const firstAnswer: ServiceAnswer = { status: 201, contentType: "text/plain", body: "run 1" };

const benchKey = "key/1";

/** Creates a request of the bench's only account. A test gives the parts that matter to it. */
export function createClaimRequest(clock: FakeClock, given: Partial<ClaimRequest & ServiceCall> = {}): ClaimRequest {
    const call: ServiceCall = {
        callId: given.callId ?? "req-1",
        method: "POST",
        path: "/issue",
        body: given.body ?? "seat 4",
        deadline: clock.wallNow() + 10_000,
    };
    return {
        requestId: call.callId,
        partner: "p",
        account: "a",
        service: "s",
        idempotencyKey: given.idempotencyKey ?? benchKey,
        call,
        deadline: given.deadline ?? clock.monotonicNow() + 10_000,
    };
}

/** Creates claim managers over one in-memory table service and one fake service that counts the calls it runs. */
export function createClaimBench() {
    const clock = new FakeClock();
    const memoryTable = createMemoryTableService();
    const table = createFaultyTableService(memoryTable, { clock });
    const networks = createFakePeerNetworks(clock);
    const ended = new Set<string>();
    const ran: ServiceCall[] = [];

    const membership = createFakeMembership(ended);

    const connectStore = () =>
        createStoreClient({
            tableService: table.tableService,
            clock,
            random: createSeededRandom(1),
            eventLog: new MemoryEventLog(),
            writesPerSecond: 1_000,
            readsPerSecond: 1_000,
        });

    const startManager = (processId: string, incarnation?: string): ProcessClaimManager => {
        const self = createFakeIdentity(processId, incarnation);
        return createClaimManager({
            self,
            network: networks.join(self),
            membership,
            storeClient: connectStore(),
            clock,
            ids: createIdSource(self.incarnation),
            eventLog: new MemoryEventLog(),
        });
    };

    /** Runs the call, and answers with the number of calls run so far. */
    const send: SendCall = call => {
        ran.push(call);
        return Promise.resolve(Result.ok({ ...firstAnswer, body: `run ${ran.length}` }));
    };

    /** Creates a send that fails, after running the call or without. */
    const createFailingSend = (failure: Failure, runs: boolean): SendCall => call => {
        if (runs) {
            ran.push(call);
        }
        return Promise.resolve(Result.err(failure));
    };

    /** Marks this incarnation as ended in every membership and removes it from the network. */
    const endProcess = (identity: ProcessIdentity) => {
        ended.add(identity.incarnation);
        networks.remove(identity.processId);
    };

    const readRow = async (idempotencyKey = benchKey) => {
        const key = formatClaimRowKey({ partner: "p", account: "a", service: "s", idempotencyKey });
        const rows = await memoryTable.read([key], Infinity);
        const row = rows.unwrapOr([])[0];
        return row && parseClaimRow(row.value);
    };

    /** Starts the pruner of a process, with its own claim manager. */
    const startPruner = (processId: string, ownClock: Clock = clock) =>
        createClaimPruner({
            storeClient: connectStore(),
            claimManager: startManager(processId),
            membership,
            clock: ownClock,
            random: createSeededRandom(1),
            ids: createIdSource(`${processId}-pruner`),
            eventLog: new MemoryEventLog(),
        });

    return { clock, table, networks, ran, send, startPruner, startManager, createFailingSend, endProcess, readRow };
}

function createFakeMembership(ended: ReadonlySet<string>): Membership {
    return {
        others: () => [],
        livePeers: () => [],
        hasEnded: identity => ended.has(identity.incarnation),
        hasMajorityContact: () => true,
        onChange: () => undefined,
    };
}
