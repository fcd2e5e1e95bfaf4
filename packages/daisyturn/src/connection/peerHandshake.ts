import { equalInConstantTime, type JsonObject, toJson } from "daisyturn-utils";
import { createHmac, randomBytes } from "node:crypto";
import { z } from "zod";
import { type ProcessIdentity, processIdentitySchema } from "../process/peers/index.js";
import { createRefusal, type RpcConnection } from "./rpcConnection.js";

/** Calls of the handshake. No other call is accepted before it is complete. */
export enum HandshakeMethod {
    /** Sends identity and nonce of the dialing side. The answer has those of the accepting side and its proof. */
    Hello = "hello",
    /** Sends the proof of the dialing side. */
    Prove = "prove",
}

/** The side of a connection that made a proof. It is part of the proof, so that a proof can't be reflected. */
enum Side {
    Dialing = "dialing",
    Accepting = "accepting",
}

const nonceBytes = 16;
const maxTextLength = 256;
const text = z.string().min(1).max(maxTextLength);
const helloSchema = z.object({ identity: processIdentitySchema(), nonce: text });
const helloAnswerSchema = helloSchema.extend({ proof: text });
const proofSchema = z.object({ proof: text });

type Hello = z.infer<typeof helloSchema>;

/** The cell's name and secret, known to all its processes. */
export interface CellKey {
    readonly cell: string;
    readonly secret: string;
}

/** The hellos of both sides, over which the proofs are computed. */
interface Exchange {
    readonly dialing: Hello;
    readonly accepting: Hello;
}

/**
 * Performs the handshake as the dialing side: authenticates this process and the other side to each other.
 * The accepting side proves its identity first. It does so only over a nonce of the dialing side, so an unknown process
 * that connects gets no proof that it could use elsewhere.
 * @param onAuthenticated called once the other side has proved its identity, and before this side's proof is sent: the
 * other side may send calls as soon as it has accepted that proof
 * @returns the peer, or why either side refused
 */
export async function performHandshake(
    connection: RpcConnection,
    self: ProcessIdentity,
    key: CellKey,
    deadline: number,
    onAuthenticated: (peer: ProcessIdentity) => void,
): Promise<ProcessIdentity | string> {
    const dialing = createHello(self);
    const answer = await connection.request(HandshakeMethod.Hello, toJson(dialing), deadline);
    const helloAnswer = helloAnswerSchema.safeParse(answer.unwrapOr({}));
    if (!helloAnswer.success) {
        return answer.isErr ? answer.error.message : "the answer to hello is malformed";
    }
    const exchange = { dialing, accepting: { identity: helloAnswer.data.identity, nonce: helloAnswer.data.nonce } };
    const isValid = equalInConstantTime(helloAnswer.data.proof, computeProof(key, Side.Accepting, exchange));
    if (!isValid) {
        return "the peer has not proved that it knows the cell's secret";
    }
    onAuthenticated(helloAnswer.data.identity);
    const proof = computeProof(key, Side.Dialing, exchange);
    const accepted = await connection.request(HandshakeMethod.Prove, { proof }, deadline);
    return accepted.isOk ? helloAnswer.data.identity : accepted.error.message;
}

/** The accepting side of one handshake. */
export interface HandshakeResponder {
    answerHello(parameters: JsonObject): JsonObject;
    /** Returns the peer if its proof is valid. */
    checkProof(parameters: JsonObject): ProcessIdentity | undefined;
}

export function createHandshakeResponder(self: ProcessIdentity, key: CellKey): HandshakeResponder {
    let exchange: Exchange | undefined;
    return {
        answerHello: parameters => {
            const hello = helloSchema.safeParse(parameters);
            if (!hello.success || exchange) {
                throw createRefusal("not a hello");
            }
            exchange = { dialing: hello.data, accepting: createHello(self) };
            return { ...toJson(exchange.accepting), proof: computeProof(key, Side.Accepting, exchange) };
        },
        checkProof: parameters => {
            const given = proofSchema.safeParse(parameters);
            const isValid = exchange !== undefined && given.success
                && equalInConstantTime(given.data.proof, computeProof(key, Side.Dialing, exchange));
            return isValid ? exchange?.dialing.identity : undefined;
        },
    };
}

function createHello(identity: ProcessIdentity): Hello {
    return { identity, nonce: randomBytes(nonceBytes).toString("hex") };
}

/** HMAC over the cell, the side and both hellos, so that it is valid for this connection and these identities only. */
function computeProof({ cell, secret }: CellKey, side: Side, exchange: Exchange): string {
    const { dialing, accepting } = exchange;
    const parts = [cell, side, ...describeHello(dialing), ...describeHello(accepting)];
    return createHmac("sha256", secret).update(JSON.stringify(parts)).digest("hex");
}

function describeHello({ identity, nonce }: Hello): string[] {
    const { processId, incarnation, vmId, availabilityZone, peerAddress } = identity;
    return [nonce, processId, incarnation, vmId, availabilityZone, peerAddress];
}
