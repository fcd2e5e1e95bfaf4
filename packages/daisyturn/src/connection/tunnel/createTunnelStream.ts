import { Duplex } from "node:stream";

/** One end of a connection whose bytes are carried in messages to a peer. */
export interface TunnelStream {
    readonly stream: Duplex;
    /** Passes on bytes from the peer. Resolves once the reader has room for more, so that it holds back the sender. */
    receive(bytes: Buffer): Promise<void>;
    /** @param isEnd whether the other side has sent all its bytes; else the connection broke */
    receiveClose(isEnd: boolean): void;
}

/** How a tunnel stream reaches the peer. */
export interface TunnelTransport {
    /** Resolves with false if the peer did not take the bytes. */
    send(bytes: Buffer): Promise<boolean>;
    /** @param isEnd whether all bytes were sent; else the connection is broken off */
    close(isEnd: boolean): void;
}

/** The largest piece that is sent in one message, well below the longest line of a connection between peers. */
const maxPieceBytes = 65_536;

/** Ends the readable side of a Node.js stream. */
const endOfStream = null; // eslint-disable-line no-restricted-syntax

/** Creates one end of a carried connection. */
export function createTunnelStream({ send, close }: TunnelTransport): TunnelStream {
    let resume: (() => void) | undefined;
    let isEndSent = false;

    const sendAll = async (bytes: Buffer): Promise<boolean> => {
        for (let start = 0; start < bytes.length; start += maxPieceBytes) {
            if (stream.destroyed || !await send(bytes.subarray(start, start + maxPieceBytes))) {
                return false;
            }
        }
        return true;
    };

    const stream = new Duplex({
        read: () => {
            resume?.();
            resume = undefined;
        },
        write: (bytes: Buffer, encoding, done) => {
            void sendAll(bytes).then(isSent => isSent ? done() : done(createResetError()));
        },
        final: done => {
            isEndSent = true;
            close(true);
            done();
        },
        destroy: (error, done) => {
            resume?.();
            if (!isEndSent || error) {
                close(false);
            }
            done(error);
        },
    });
    return {
        stream,
        receive: bytes =>
            stream.destroyed || stream.push(bytes) ? Promise.resolve() : new Promise(resolve => {
                resume = resolve;
            }),
        receiveClose: isEnd => {
            if (isEnd) {
                stream.push(endOfStream);
            }
            else {
                stream.destroy(createResetError());
            }
        },
    };
}

/** Looks like the error of a socket whose connection was reset. */
function createResetError(): Error {
    return Object.assign(new Error("the connection by way of a peer broke"), { code: "ECONNRESET" });
}
