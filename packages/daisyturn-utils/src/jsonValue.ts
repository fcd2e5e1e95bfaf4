/** A value that JSON represents without loss. A missing value is an absent field; `null` is not used. */
export type JsonValue = string | number | boolean | JsonValue[] | JsonObject;

/** An object of JSON values. Use {@link toJson} to convert interfaces to it. */
export interface JsonObject {
    [field: string]: JsonValue | undefined;
}

/** Casts a plain data interface to JSON, to pass it to a store or a peer. */
export function toJson<T extends object>(value: T): JsonObject {
    return value as unknown as JsonObject;
}
