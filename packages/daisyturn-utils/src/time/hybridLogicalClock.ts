import type { Clock } from "./clock.js";

/** Digits of the counter within one millisecond, enough for a million events. */
const counterDigits = 6;
const wallDigits = 14;

/**
 * Hybrid logical clock: timestamps that follow the wall clock and respect causality.
 * Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", OPODIS 2014.
 */
export interface HybridLogicalClock {
    /** Returns the timestamp of an event of this process. */
    stamp(): string;
    /** Applies a timestamp that was received in a message, so that later stamps sort after it. */
    observe(remoteStamp: string): void;
}

/** Creates the clock of one process. Stamps have the form `<milliseconds>-<counter>` and sort as text. */
export function createHybridLogicalClock(clock: Clock): HybridLogicalClock {
    let lastWall = 0;
    let counter = 0;

    const format = () =>
        `${String(lastWall).padStart(wallDigits, "0")}-${String(counter).padStart(counterDigits, "0")}`;

    const stamp = () => {
        const wall = Math.floor(clock.wallNow());
        if (wall > lastWall) {
            lastWall = wall;
            counter = 0;
        }
        else {
            counter += 1;
        }
        return format();
    };

    const observe = (remoteStamp: string) => {
        const [wallText, counterText] = remoteStamp.split("-");
        const remoteWall = Number(wallText);
        const remoteCounter = Number(counterText);
        if (!Number.isSafeInteger(remoteWall) || !Number.isSafeInteger(remoteCounter)) {
            return;
        }
        if (remoteWall > lastWall) {
            lastWall = remoteWall;
            counter = remoteCounter;
        }
        else if (remoteWall === lastWall && remoteCounter > counter) {
            counter = remoteCounter;
        }
    };

    return { stamp, observe };
}
