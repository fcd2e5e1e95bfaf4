import { connect, type Socket } from "node:net";
import { callerKey } from "./createCallerBench.js";

/** A completion request for the bench's model service. */
export const completionBody = { model: "valuation", messages: [{ role: "user", content: "What is it worth?" }] };

/** Headers of a JSON request from the bench's caller. */
export const jsonHeaders = { Authorization: `Bearer ${callerKey}`, "Content-Type": "application/json" };

/** One server-sent event. */
export interface ReceivedEvent {
    readonly id?: string;
    readonly data: string;
}

/** What a caller received from a stream. */
export interface ReceivedStream {
    readonly events: readonly ReceivedEvent[];
    readonly text: string;
    /** The latest resume token. */
    readonly resumeToken?: string;
    readonly errorCode?: string;
    /** Whether the stream ended with `[DONE]`. */
    readonly isDone: boolean;
}

interface Chunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly resume_token?: string;
    readonly error?: { readonly code: string; };
}

/** Sends a completion. */
export function postCompletion(
    url: string,
    body: object,
    headers: Readonly<Record<string, string>> = {},
    signal?: AbortSignal,
): Promise<Response> {
    return fetch(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: { ...jsonHeaders, ...headers },
        body: JSON.stringify({ ...completionBody, ...body }),
        signal,
    });
}

/** Sends a completion and reads its stream to the end. */
export async function streamCompletion(
    url: string,
    body: object = {},
    headers: Readonly<Record<string, string>> = {},
): Promise<ReceivedStream> {
    const response = await postCompletion(url, { stream: true, ...body }, headers);
    return readStream(await response.text());
}

/** Parses the events of a complete stream. */
export function readStream(text: string): ReceivedStream {
    const events = text.split("\n\n").filter(block => block !== "").map(readEvent);
    const chunks = events.filter(event => event.data !== "[DONE]").map(event => JSON.parse(event.data) as Chunk);
    return {
        events,
        text: chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? "").join(""),
        resumeToken: chunks.findLast(chunk => chunk.resume_token !== undefined)?.resume_token,
        errorCode: chunks.find(chunk => chunk.error !== undefined)?.error?.code,
        isDone: events.at(-1)?.data === "[DONE]",
    };
}

/** Opens a connection and sends raw bytes on it. */
export function openRaw(port: number, text: string): Socket {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    socket.write(text);
    return socket;
}

/** Reads everything until the other side ends the connection. */
export async function readToEnd(socket: Socket): Promise<string> {
    let text = "";
    socket.setEncoding("utf8");
    socket.on("data", chunk => {
        text += String(chunk);
    });
    await new Promise<void>(resolve => socket.once("end", resolve).once("close", () => resolve()));
    socket.destroy();
    return text;
}

/** Waits until a condition holds. If it never does, the time limit of the test applies. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
}

function readEvent(block: string): ReceivedEvent {
    const lines = block.split("\n");
    const field = (name: string) => lines.find(line => line.startsWith(`${name}: `))?.slice(name.length + 2);
    return { id: field("id"), data: field("data") ?? "" };
}
