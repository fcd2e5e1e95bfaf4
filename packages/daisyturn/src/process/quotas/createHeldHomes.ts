import type { Clock } from "daisyturn-utils";
import type { NamedPeer } from "./quotaMessages.js";

/** A home that this process holds a quota for. */
interface HeldHome {
    readonly peer: NamedPeer;
    /** Monotonic time until which this process accepts no other home. */
    readonly until: number;
}

/** The homes of other processes that this one holds quotas for. */
export interface HeldHomes {
    find(quota: string): NamedPeer | undefined;
    hold(quota: string, peer: NamedPeer, milliseconds: number): void;
}

/** With more entries than this, those that have ended are removed. */
const maxEntries = 256;

export function createHeldHomes(clock: Clock): HeldHomes {
    const homes = new Map<string, HeldHome>();
    const isHeld = ({ until }: HeldHome) => until > clock.monotonicNow();
    return {
        find: quota => {
            const held = homes.get(quota);
            return held && isHeld(held) ? held.peer : undefined;
        },
        hold: (quota, peer, milliseconds) => {
            homes.set(quota, { peer, until: clock.monotonicNow() + milliseconds });
            if (homes.size > maxEntries) {
                [...homes].filter(([, held]) => !isHeld(held)).forEach(([ended]) => homes.delete(ended));
            }
        },
    };
}
