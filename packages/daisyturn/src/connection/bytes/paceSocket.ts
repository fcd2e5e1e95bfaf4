import type { Clock } from "daisyturn-utils";
import type { Socket } from "node:net";
import { createTimeAllowance } from "./createTimeAllowance.js";
import type { TimeShares } from "./createTimeShares.js";

const pieceBytes = 2 * 1024;
/** Time of one turn of a connection that has spent its allowance. */
const turnMilliseconds = 2;
/** A process that stands still within a piece would charge the connection for it. */
const maxPieceMilliseconds = 10;
/** Node's result of a read without bytes. */
const nothing = null; // eslint-disable-line no-restricted-syntax

/**
 * Gives the bytes of a connection to undici in small pieces, and lets it read in turns once it has taken much time. undici
 * reads all that has arrived in one turn of the event loop, and measures no bytes between the bodies of answers.
 */
export function paceSocket(socket: Socket, turns: TimeShares, clock: Clock): void {
    const readSocket = socket.read.bind(socket) as (size?: number) => Buffer | null;
    const allowance = createTimeAllowance(clock);
    let isWaiting = false;
    /** Monotonic time at which the turn of the connection ends; undefined outside of its turns. */
    let turnEndsAt: number | undefined;
    /** Monotonic time at which the last piece was passed on; undefined once its time is charged. */
    let passedAt: number | undefined;

    const charge = () => {
        if (passedAt !== undefined) {
            allowance.spend(Math.min(clock.monotonicNow() - passedAt, maxPieceMilliseconds));
            passedAt = undefined;
        }
    };
    const takeTurn = () => {
        isWaiting = false;
        const startedAt = clock.monotonicNow();
        turnEndsAt = startedAt + turnMilliseconds;
        try {
            socket.emit("readable");
        }
        finally {
            turnEndsAt = undefined;
        }
        return Math.min(clock.monotonicNow() - startedAt, maxPieceMilliseconds);
    };
    const mayRead = () => {
        const isOver = turnEndsAt === undefined ? allowance.isSpent() : clock.monotonicNow() >= turnEndsAt;
        if (!isWaiting && isOver) {
            isWaiting = true;
            turns.request(takeTurn);
        }
        return !isWaiting;
    };

    socket.read = (size?: number) => {
        charge();
        // Node itself reads with a size, to learn whether more has arrived.
        if (size !== undefined || socket.readableLength === 0) {
            return readSocket(size);
        }
        if (!mayRead()) {
            return nothing;
        }
        const piece = readSocket(Math.min(pieceBytes, socket.readableLength));
        passedAt = clock.monotonicNow();
        process.nextTick(charge);
        return piece;
    };
}
