import type { Clock } from "daisyturn-utils";

/** A set of names, each of which is removed some time after it was last added. */
export interface ExpiringSet {
    add(name: string): void;
    has(name: string): boolean;
    delete(name: string): void;
    list(): readonly string[];
}

/** Names beyond this number are removed from memory once they have expired. */
const maxNames = 4_096;

/** @param milliseconds time from the last addition of a name to its removal */
export function createExpiringSet(clock: Clock, milliseconds: number): ExpiringSet {
    /** Monotonic times. */
    const expiresAt = new Map<string, number>();
    const has = (name: string) => (expiresAt.get(name) ?? -Infinity) > clock.monotonicNow();
    return {
        add: name => {
            if (expiresAt.size >= maxNames) {
                [...expiresAt.keys()].filter(known => !has(known)).forEach(known => expiresAt.delete(known));
            }
            expiresAt.set(name, clock.monotonicNow() + milliseconds);
        },
        has,
        delete: name => expiresAt.delete(name),
        list: () => [...expiresAt.keys()].filter(has),
    };
}
