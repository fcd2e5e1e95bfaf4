import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { withCarriedCalls } from "../__fixtures__/carriedCalls.js";
import { LinkFault } from "../__fixtures__/createTunnelBench.js";

const uploads = [4, 60_000, 4_000_000].map(byteCount => Buffer.alloc(byteCount, "x"));
const part = "p".repeat(50_000);
const rounds = 10;

/** Answers at once, reads no more of the upload, and ends in the given way after a part of the answer. */
function answerPart(end: (socket: Socket) => void, pause: number) {
    return (socket: Socket) => {
        socket.pause();
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        socket.write(part, () => setTimeout(() => end(socket), pause));
    };
}

const ways = [{ name: "directly", fault: undefined }, { name: "by way of a peer", fault: LinkFault.Refused }];

// Guard against a part of an answer that counts as whole, as it has no length and its connection is reset within the upload.
describe("an upload that is answered before its end, by an answer without a length", { concurrency: true }, () => {
    for (const { name, fault } of ways) {
        for (const pause of [0, 30]) {
            it(`fails if the target resets the connection after ${pause} ms (${name})`, () =>
                withCarriedCalls(answerPart(socket => void socket.resetAndDestroy(), pause), async ({ send }) => {
                    for (let round = 0; round < rounds; round++) {
                        for (const upload of uploads) {
                            const { isWhole } = await send(`call-${round}-${upload.length}`, upload);
                            assert.equal(isWhole, false, `${upload.length} bytes`);
                        }
                    }
                }, fault));
        }
    }
});

describe("an answer with a status that HTTP does not have", { concurrency: true }, () => {
    for (const { name, fault } of ways) {
        for (const status of ["000", "099", "600", "999"]) {
            it(`${status} is no answer (${name})`, () =>
                withCarriedCalls(
                    socket => socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 4\r\n\r\ntext`),
                    async ({ send }) => {
                        assert.deepEqual(await send("call-1"), { isWhole: false, statuses: [], text: "" });
                    },
                    fault,
                ));
        }
    }
});
