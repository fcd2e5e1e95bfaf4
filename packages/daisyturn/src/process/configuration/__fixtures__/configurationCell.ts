import {
    createIdSource,
    createSeededRandom,
    EventKind,
    type Failure,
    FailureReason,
    FakeClock,
    MemoryEventLog,
    notRun,
} from "daisyturn-utils";
import assert from "node:assert/strict";
import { err, type Result } from "true-myth/result";
import {
    createFakeIdentity,
    createFakePeerNetworks,
    type FakePeerNetworks,
} from "../../../__fixtures__/fakePeerNetwork.js";
import { createFaultyTableService, type FaultyTableService } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import {
    RejectionCause,
    type Row,
    TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../../ports/tableService.js";
import { type Membership, MemberState, type PeerNetwork, type ProcessIdentity } from "../../peers/index.js";
import { createStoreClient } from "../../store/index.js";
import type { ConfigurationTiming } from "../configurationTiming.js";
import { createConfigurationManager } from "../createConfigurationManager.js";
import type { FleetConfigurationManager } from "../fleetConfigurationManager.js";

/** Called before the store executes a call of a process, and again before the answer is returned to the process. */
export type StoreStep = (processId: string, step: string) => Promise<void>;

/** One process of the cell. */
export interface CellProcess {
    readonly configurationManager: FleetConfigurationManager;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly self: ProcessIdentity;
    readonly eventLog: MemoryEventLog;
    /** Generations that became active, in order. */
    readonly generations: number[];
}

/** Configuration managers that share an in-memory network, an in-memory store and one clock. */
export interface ConfigurationCell {
    readonly clock: FakeClock;
    readonly store: FaultyTableService;
    readonly networks: FakePeerNetworks;
    /** Starts or restarts a process. It has not adopted a version yet. */
    start(processId: string): CellProcess;
    /** Stops a process: from now on its calls have no effect and get no answer. */
    kill(processId: string): void;
    /** Makes the store unreachable from the process. */
    disconnectFromStore(processId: string): void;
    /** Sets the state of the process in the membership of all others. */
    setState(processId: string, state: MemberState): void;
    /** Advances the clock until the promise is settled. */
    complete<T>(promise: Promise<T>): Promise<T>;
}

export interface ConfigurationCellOptions {
    readonly timing?: Partial<ConfigurationTiming>;
    readonly onStoreStep?: StoreStep;
    readonly seed?: number;
}

const stepMilliseconds = 20;
const maxSteps = 10_000;

export function createConfigurationCell(options: ConfigurationCellOptions = {}): ConfigurationCell {
    const clock = new FakeClock();
    const store = createFaultyTableService(createMemoryTableService(), { clock });
    const networks = createFakePeerNetworks(clock);
    const states = new Map<string, MemberState>();
    const identities = new Map<string, ProcessIdentity>();
    const killed = new Set<string>();
    const disconnected = new Set<string>();
    let starts = 0;

    const start = (processId: string): CellProcess => {
        starts += 1;
        const self = createFakeIdentity(processId, `${processId}-${starts}`);
        const network = networks.join(self);
        identities.set(processId, self);
        states.set(processId, MemberState.Alive);
        killed.delete(processId);
        const membership = createCellMembership(processId, identities, states);
        const random = createSeededRandom((options.seed ?? 1) + starts);
        const eventLog = new MemoryEventLog();
        const tableService = createSteppedTableService(
            store.tableService,
            step => onStep(processId, step),
            () => disconnected.has(processId),
        );
        const configurationManager = createConfigurationManager({
            self,
            network,
            membership,
            clock,
            random,
            eventLog,
            ids: createIdSource(self.incarnation),
            storeClient: createStoreClient({
                tableService,
                clock,
                random,
                eventLog: new MemoryEventLog(),
                writesPerSecond: 1_000,
                readsPerSecond: 1_000,
            }),
            timing: { raceBackoffMilliseconds: 0, ...options.timing },
        });
        const generations: number[] = [];
        configurationManager.onVersion(version => generations.push(version.generation));
        return { configurationManager, network, membership, self, eventLog, generations };
    };

    const onStep = async (processId: string, step: string) => {
        await options.onStoreStep?.(processId, step);
        if (killed.has(processId)) {
            await new Promise(() => undefined);
        }
    };

    const complete = async <T>(promise: Promise<T>): Promise<T> => {
        let isSettled = false;
        const markSettled = () => {
            isSettled = true;
        };
        promise.then(markSettled, markSettled);
        for (let step = 0; step < maxSteps && !isSettled; step++) {
            await clock.advance(stepMilliseconds);
        }
        assert.ok(isSettled, "the promise is still pending");
        return await promise;
    };

    return {
        clock,
        store,
        networks,
        start,
        kill: processId => {
            killed.add(processId);
            networks.remove(processId);
        },
        disconnectFromStore: processId => void disconnected.add(processId),
        setState: (processId, state) => void states.set(processId, state),
        complete,
    };
}

/** A membership in which every process knows all others, in the states that the test has set. */
function createCellMembership(
    processId: string,
    identities: ReadonlyMap<string, ProcessIdentity>,
    states: ReadonlyMap<string, MemberState>,
): Membership {
    const others = () =>
        [...identities.values()]
            .filter(identity => identity.processId !== processId)
            .map(identity => ({ identity, state: states.get(identity.processId) ?? MemberState.Alive }));
    const livePeers = () =>
        others().filter(member => member.state === MemberState.Alive).map(member => member.identity);
    return {
        others,
        livePeers,
        hasEnded: () => false,
        hasMajorityContact: () => 2 * (livePeers().length + 1) > identities.size,
        onChange: () => undefined,
    };
}

function createSteppedTableService(
    inner: TableService,
    onStep: (step: string) => Promise<void>,
    isDisconnected: () => boolean,
): TableService {
    const unreachable = notRun(FailureReason.StoreUnavailable, "cut off from the store");
    const read = <Value>(name: string, call: () => Promise<Result<Value, Failure>>) =>
        isDisconnected() ? Promise.resolve(err<Value, Failure>(unreachable)) : run(name, call);

    const run = async <T>(name: string, call: () => Promise<T>): Promise<T> => {
        await onStep(name);
        const answer = await call();
        await onStep(`answer of ${name}`);
        return answer;
    };

    class SteppedTableService extends TableService {
        override transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer> {
            return isDisconnected()
                ? Promise.resolve({ outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent })
                : run("transact", () => inner.transact(transaction, deadline));
        }

        override read(keys: readonly string[], deadline: number): Promise<Result<readonly Row[], Failure>> {
            return read("read", () => inner.read(keys, deadline));
        }

        override list(
            prefix: string,
            limit: number,
            afterKey: string | undefined,
            deadline: number,
        ): Promise<Result<readonly Row[], Failure>> {
            return read("list", () => inner.list(prefix, limit, afterKey, deadline));
        }
    }
    return new SteppedTableService();
}

/** Throws if the active generation of a process ever decreased, or if a generation became active twice. */
export function assertGenerationsIncrease(...processes: readonly CellProcess[]): void {
    for (const { generations, self } of processes) {
        const sorted = [...new Set(generations)].sort((left, right) => left - right);
        assert.deepEqual(generations, sorted, `active generations of ${self.processId}`);
    }
}

/** Lists the generations accepted by the given processes, in ascending order. */
export function listAccepted(...processes: readonly CellProcess[]): number[] {
    return processes.flatMap(one => one.eventLog.of(EventKind.ConfigurationAccepted))
        .map(event => event.fields.generation ?? 0)
        .sort((left, right) => left - right);
}
