import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { Result } from "true-myth/result";
import { RejectionCause, TableService, type Transaction, TransactionOutcome } from "../../../ports/tableService.js";
import { CallKind, type ProcessHost } from "./processHost.js";

/** Creates one process's access to the table service; the calls pass through the process's host. */
export function hostTable(host: ProcessHost, table: TableService): TableService {
    const down = <T>() => Result.err<T, Failure>(notRun(FailureReason.StoreUnavailable, "no answer"));

    class HostedTable extends TableService {
        override transact(transaction: Transaction, deadline: number) {
            return host.call(CallKind.Store, () => table.transact(transaction, deadline), {
                unknown: { outcome: TransactionOutcome.Unknown },
                notSent: { outcome: TransactionOutcome.Rejected, cause: RejectionCause.NotSent },
            });
        }

        override read(keys: readonly string[], deadline: number) {
            return host.call(CallKind.Store, () => table.read(keys, deadline), { unknown: down(), notSent: down() });
        }

        override list(prefix: string, limit: number, afterKey: string | undefined, deadline: number) {
            const run = () => table.list(prefix, limit, afterKey, deadline);
            return host.call(CallKind.Store, run, { unknown: down(), notSent: down() });
        }
    }
    return new HostedTable();
}
