import { type Clock, createSeededRandom, FakeClock, type JsonValue, MemoryEventLog } from "daisyturn-utils";
import { createFaultyTableService } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import {
    absentVersion,
    type RowCondition,
    TableService,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../../ports/tableService.js";
import { createStoreClient, type StoreClientOptions } from "../createStoreClient.js";

/** Creates a store client with a table service whose faults the test controls. */
export function createStoreSetup(options: Partial<StoreClientOptions> = {}) {
    return createStoreSetupWith(new FakeClock(), options, createMemoryTableService());
}

/** Creates the same setup with a given clock and table service. */
export function createStoreSetupWith<ClockKind extends Clock>(
    clock: ClockKind,
    options: Partial<StoreClientOptions>,
    inner: TableService,
) {
    const faulty = createFaultyTableService(inner, { clock });
    const eventLog = new MemoryEventLog();
    const clientOptions: StoreClientOptions = {
        tableService: faulty.tableService,
        clock,
        random: createSeededRandom(1),
        eventLog,
        writesPerSecond: 40,
        readsPerSecond: 200,
        ...options,
    };
    return { clock, inner, faulty, eventLog, clientOptions, client: createStoreClient(clientOptions) };
}

/** A transaction that creates rows on condition that they are absent. */
export function createRows(writeId: string, keys: readonly string[], value: JsonValue = writeId): Transaction {
    return {
        writeId,
        conditions: keys.map(key => ({ key, expectedVersion: absentVersion })),
        writes: keys.map(key => ({ key, value })),
    };
}

/** A transaction that overwrites rows of the given versions. */
export function updateRows(writeId: string, conditions: readonly RowCondition[]): Transaction {
    return { writeId, conditions, writes: conditions.map(({ key }) => ({ key, value: writeId })) };
}

/** A transaction that deletes rows of the given versions. */
export function deleteRows(writeId: string, conditions: readonly RowCondition[]): Transaction {
    return { writeId, conditions, writes: conditions.map(({ key }) => ({ key, value: undefined })) };
}

/** Forwards all calls, and invokes callbacks before and after them so that a test can act between two calls. */
export class ObservedTableService extends TableService {
    constructor(
        private readonly inner: TableService,
        private readonly beforeCall: () => Promise<void>,
        private readonly afterTransact: (transaction: Transaction, answer: TransactionAnswer) => void,
    ) {
        super();
    }

    override async transact(transaction: Transaction, deadline: number): Promise<TransactionAnswer> {
        await this.beforeCall();
        const answer = await this.inner.transact(transaction, deadline);
        this.afterTransact(transaction, answer);
        return answer;
    }

    override async read(keys: readonly string[], deadline: number) {
        await this.beforeCall();
        return await this.inner.read(keys, deadline);
    }

    override async list(prefix: string, limit: number, afterKey: string | undefined, deadline: number) {
        await this.beforeCall();
        return await this.inner.list(prefix, limit, afterKey, deadline);
    }
}

/** A commit by which a transaction took effect. */
export interface CountedCommit {
    readonly writeId: string;
    readonly version: number;
}

/** Wraps a table service to count how often each transaction took effect. Members of a group are counted separately. */
export function createCommitCounter(inner: TableService) {
    const commits: CountedCommit[] = [];
    const recordCommit = (transaction: Transaction, answer: TransactionAnswer) => {
        if (answer.outcome === TransactionOutcome.Committed) {
            const writeIds = new Set(transaction.writes.map(write => write.writeId ?? transaction.writeId));
            writeIds.forEach(writeId => commits.push({ writeId, version: answer.version ?? 0 }));
        }
    };
    const counted = new ObservedTableService(inner, () => Promise.resolve(), recordCommit);
    return { counted, of: (writeId: string) => commits.filter(commit => commit.writeId === writeId) };
}
