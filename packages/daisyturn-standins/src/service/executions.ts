/** A call that ran. */
export interface Execution {
    readonly callId: string;
    readonly idempotencyKey?: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** How often calls ran. More than 1 for a call id or an idempotency key is a fault. */
export interface ExecutionCounts {
    readonly byCallId: Readonly<Record<string, number>>;
    readonly byIdempotencyKey: Readonly<Record<string, number>>;
    /** By method, path and body. */
    readonly byContent: Readonly<Record<string, number>>;
}

export function countExecutions(executions: readonly Execution[]): ExecutionCounts {
    return {
        byCallId: countBy(executions, execution => execution.callId),
        byIdempotencyKey: countBy(executions, execution => execution.idempotencyKey),
        byContent: countBy(executions, ({ method, path, body }) => `${method} ${path} ${body}`),
    };
}

function countBy(
    executions: readonly Execution[],
    keyOf: (execution: Execution) => string | undefined,
): Readonly<Record<string, number>> {
    const counts = new Map<string, number>();
    for (const name of executions.map(keyOf)) {
        if (name !== undefined) {
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    return Object.fromEntries(counts);
}
