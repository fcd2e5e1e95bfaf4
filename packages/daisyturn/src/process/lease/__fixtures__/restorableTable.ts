import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import type { StoreEraTracker } from "../../../ports/storeEra.js";
import { TableService, type Transaction } from "../../../ports/tableService.js";

/** Creates an in-memory table service that can discard its latest transactions, after which versions are reused. */
export function createRestorableTable() {
    let table = createMemoryTableService();
    let history: Transaction[] = [];
    let era = 1;

    /** Creates a client of the service that records the era of each answer in `storeEra`. */
    const connect = (storeEra: StoreEraTracker): TableService => {
        class ConnectedTable extends TableService {
            override async transact(transaction: Transaction, deadline: number) {
                history.push(transaction);
                const answer = await table.transact(transaction, deadline);
                storeEra.observe(era);
                return answer;
            }

            override async read(keys: readonly string[], deadline: number) {
                const answer = await table.read(keys, deadline);
                storeEra.observe(era);
                return answer;
            }

            override async list(prefix: string, limit: number, afterKey: string | undefined, deadline: number) {
                const answer = await table.list(prefix, limit, afterKey, deadline);
                storeEra.observe(era);
                return answer;
            }
        }
        return new ConnectedTable();
    };

    return {
        connect,
        /** Discards the given number of latest transactions and increments the era. */
        rollBack: async (transactions: number) => {
            const retained = history.slice(0, Math.max(0, history.length - transactions));
            const restored = createMemoryTableService();
            for (const transaction of retained) {
                await restored.transact(transaction, Infinity);
            }
            table = restored;
            history = retained;
            era += 1;
        },
    };
}
