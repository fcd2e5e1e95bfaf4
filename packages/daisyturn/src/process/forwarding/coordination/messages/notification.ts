/** A JSON-RPC notification from another process, its parameters not checked yet. */
export interface Notification {
    readonly method: string;
    readonly params: Readonly<Record<string, unknown>>;
}

const maxNameLength = 200;
/** Far beyond what a process or a target can have, in calls, milliseconds, tokens or versions of the store. */
const maxAmount = 1e15;

/** Writes a notification. */
export function encodeNotification(method: string, params: object): Buffer {
    return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/** Reads a notification; undefined for anything else, since anybody may send datagrams. */
export function parseNotification(datagram: Buffer): Notification | undefined {
    try {
        const { method, params } = JSON.parse(datagram.toString("utf8")) as { method?: unknown; params?: unknown; };
        const isNotification = typeof method === "string" && typeof params === "object" && params;
        return isNotification && !Array.isArray(params)
            ? { method, params: params as Record<string, unknown> }
            : undefined;
    }
    catch {
        return undefined;
    }
}

/** The result of a reader that throws where a field is not what it must be; undefined then. */
export function readOrUndefined<Message>(read: () => Message): Message | undefined {
    try {
        return read();
    }
    catch {
        return undefined;
    }
}

export function isName(value: unknown): value is string {
    return typeof value === "string" && value !== "" && value.length <= maxNameLength;
}

export function isAmount(value: unknown, largest = maxAmount): value is number {
    return typeof value === "number" && value >= 0 && value <= largest;
}

/** @throws where the value is no name */
export function readName(value: unknown): string {
    if (!isName(value)) {
        throw new Error("not a name");
    }
    return value;
}

/** @throws where the value is no amount */
export function readAmount(value: unknown, largest?: number): number {
    if (!isAmount(value, largest)) {
        throw new Error("not an amount");
    }
    return value;
}

/** @throws where the value is there and no amount */
export function readOptionalAmount(value: unknown): number | undefined {
    return value === undefined ? undefined : readAmount(value);
}

/** The entries of a list that pass their checks, field by field. @throws where the value is no list */
export function readList<Entry>(value: unknown, checks: readonly ((item: unknown) => boolean)[]): Entry[] {
    if (!Array.isArray(value)) {
        throw new Error("not a list");
    }
    const isEntry = (entry: unknown) =>
        Array.isArray(entry) && entry.length <= checks.length && checks.every((check, index) => check(entry[index]));
    return value.filter(isEntry) as Entry[];
}
