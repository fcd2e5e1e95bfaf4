/** A JSON-RPC notification from another process, with unvalidated parameters. */
export interface Notification {
    readonly method: string;
    readonly params: Readonly<Record<string, unknown>>;
}

const maxNameLength = 200;
/** Far more than a process or a target can have, in calls, milliseconds, tokens or versions of the store. */
const maxAmount = 1e15;

export function encodeNotification(method: string, params: object): Buffer {
    return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/** Decodes a notification. Returns undefined for any other datagram, because anyone can send datagrams to the port. */
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

/** Returns the result of a decoder, or undefined if the decoder throws because a field is invalid. */
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

export function isAmount(value: unknown, max = maxAmount): value is number {
    return typeof value === "number" && value >= 0 && value <= max;
}

/** @throws if the value is not a name */
export function readName(value: unknown): string {
    if (!isName(value)) {
        throw new Error("not a valid name");
    }
    return value;
}

/** @throws if the value is not an amount */
export function readAmount(value: unknown, max?: number): number {
    if (!isAmount(value, max)) {
        throw new Error("not a valid amount");
    }
    return value;
}

/** @throws if the value is defined but not an amount */
export function readOptionalAmount(value: unknown): number | undefined {
    return value === undefined ? undefined : readAmount(value);
}

/** @returns undefined if the value is not a boolean, for instance because an earlier version does not send it */
export function readOptionalFlag(value: unknown): boolean | undefined {
    return typeof value === "boolean" ? value : undefined;
}

/**
 * Returns the entries of a list whose fields all pass their checks.
 *
 * @throws if the value is not an array
 */
export function readList<Entry>(value: unknown, checks: readonly ((item: unknown) => boolean)[]): Entry[] {
    if (!Array.isArray(value)) {
        throw new Error("not an array");
    }
    const isEntry = (entry: unknown) =>
        Array.isArray(entry) && entry.length <= checks.length && checks.every((check, index) => check(entry[index]));
    return value.filter(isEntry) as Entry[];
}
