import type { Socket } from "node:net";
import { ByteSource } from "../../../process/forwarding/index.js";
import type { ReadTurns } from "../../bytes/createReadTurns.js";
import type { CallerConnection } from "../callerConnection.js";

/** Limits on what the HTTP parser is given of one connection. */
export enum ReadLimit {
    /** Bytes that belong to no request. */
    Bytes = "bytes",
    /** Requests that are under way. */
    Requests = "requests",
    /** Time of the event loop. */
    Time = "time",
}

/** What the requests of a connection say about its reads. */
export type PacedRequests = Pick<
    CallerConnection,
    "underWay" | "readCount" | "incomplete" | "onceAnyAnswered"
>;

/** Options of {@link paceReads}. */
export interface PaceOptions {
    readonly socket: Socket;
    readonly requests: PacedRequests;
    readonly turns: ReadTurns;
    readonly source?: ByteSource;
    /** Bytes that may arrive without completing the head of a request. */
    readonly maxHeadBytes: number;
    /** Called when a limit applies to the connection for the first time. After {@link ReadLimit.Bytes}, nothing is read. */
    readonly onLimit: (limit: ReadLimit) => void;
}

/** A parser handles a piece as a whole. 2 KiB hold at most 80 requests, or 340 chunks of a body. */
const pieceBytes = 2 * 1024;
/** Pipelined requests beyond it wait unread until others are answered. */
const maxRequestsUnderWay = 8;
/**
 * What is charged for a request that is read while others of its connection are under way. Most of its work follows
 * after its bytes were read.
 */
const pipelinedRequestMilliseconds = 1;

/**
 * Gives the bytes of a connection to Node's HTTP parser in small pieces, so that what one connection costs in a turn of
 * the event loop has a limit. Node would read up to 2 MiB of it in one turn. It takes the place of the parser's listener
 * for data and of the methods by which the parser holds back the connection.
 */
export function paceReads(options: PaceOptions): void {
    const { socket, requests, turns, source = ByteSource.Caller } = options;
    const [parse] = socket.listeners("data") as ((piece: Buffer) => void)[];
    if (!parse) {
        return;
    }
    const pauseSocket = socket.pause.bind(socket);
    const resumeSocket = socket.resume.bind(socket);
    const reported = new Set<ReadLimit>();
    let pending: Buffer[] = [];
    let isParserPaused = false;
    let isParsing = false;
    let isWaiting = false;
    let isClosed = false;
    /** Bytes since the last request, without those of its body. */
    let headBytes = 0;
    /** Bytes of the last request's body, without those that arrived in one piece with its head. */
    let bodyBytes = 0;

    const report = (limit: ReadLimit) => {
        if (!reported.has(limit)) {
            reported.add(limit);
            options.onLimit(limit);
        }
    };

    /** Removes the next piece from the bytes that wait. A body without chunks costs little, so its rest is one piece. */
    const takePiece = (chunk: Buffer, maxBytes: number): Buffer => {
        const length = Number(requests.incomplete()?.headers["content-length"] ?? 0);
        const size = Math.min(maxBytes, Math.max(pieceBytes, length - bodyBytes));
        if (chunk.length <= size) {
            pending.shift();
            return chunk;
        }
        pending[0] = chunk.subarray(size);
        return chunk.subarray(0, size);
    };

    const parsePiece = (piece: Buffer) => {
        const countBefore = requests.readCount();
        const wasUnderWay = requests.underWay() > 0;
        const isBody = requests.incomplete() !== undefined;
        isParsing = true;
        try {
            parse.call(socket, piece);
        }
        catch (error) {
            socket.destroy();
            throw error;
        }
        finally {
            isParsing = false;
        }
        const read = requests.readCount() - countBefore;
        headBytes = read > 0 || isBody ? 0 : headBytes + piece.length;
        bodyBytes = read > 0 || !isBody ? 0 : bodyBytes + piece.length;
        const pipelined = wasUnderWay ? read : Math.max(0, read - 1);
        turn.end(piece.length, pipelined * pipelinedRequestMilliseconds);
    };

    const mayParse = (): boolean => {
        if (isClosed || isParserPaused || isWaiting) {
            return false;
        }
        if (headBytes > options.maxHeadBytes) {
            isClosed = true;
            report(ReadLimit.Bytes);
            return false;
        }
        if (requests.underWay() >= maxRequestsUnderWay && !requests.incomplete()) {
            report(ReadLimit.Requests);
            isWaiting = true;
            requests.onceAnyAnswered(() => {
                isWaiting = false;
                setImmediate(advance);
            });
            return false;
        }
        return true;
    };

    /** Parses until the turn ends, a limit applies or nothing is left. */
    const advance = () => {
        for (let [chunk] = pending; chunk && mayParse(); [chunk] = pending) {
            const maxBytes = turn.begin();
            if (maxBytes === 0) {
                break;
            }
            parsePiece(takePiece(chunk, maxBytes));
        }
        if (turn.isThrottled()) {
            report(ReadLimit.Time);
        }
        updateSocket();
    };
    const turn = turns.join(source, advance);

    const updateSocket = () => {
        if (pending.length > 0 || isParserPaused || isWaiting || isClosed) {
            pauseSocket();
        }
        else {
            resumeSocket();
        }
    };

    socket.pause = () => {
        isParserPaused = true;
        return pauseSocket();
    };
    socket.resume = () => {
        if (isParserPaused && !isParsing) {
            setImmediate(advance);
        }
        isParserPaused = false;
        return socket;
    };
    socket.on("data", chunk => {
        pending.push(chunk);
        if (!isParsing) {
            advance();
        }
    });
    socket.off("data", parse);
    socket.once("close", () => {
        isClosed = true;
        pending = [];
        turn.leave();
    });
}
