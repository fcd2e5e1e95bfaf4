import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import { CollectFault, createByteCollector } from "../bytes/createByteCollector.js";

/** Limits of one body. */
export interface BodyLimits {
    readonly maxBytes: number;
    readonly milliseconds: number;
    /** Reserves memory for bytes of the body; false if the limit of the process is exceeded. */
    readonly reserve: (byteCount: number) => boolean;
    /** Called once the body's announced length is known to be within the limit. */
    readonly sendContinue: () => void;
}

const utf8 = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/** Reads a body as UTF-8 text. Fails as soon as the body is known to exceed a limit. */
export async function readBody(incoming: IncomingMessage, limits: BodyLimits): Promise<Result<string, Failure>> {
    return (await readBytes(incoming, limits)).andThen(decode);
}

/** Reads a body as bytes. Fails as soon as the body is known to exceed a limit. */
export function readBytes(incoming: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, Failure>> {
    const announced = Number(incoming.headers["content-length"] ?? 0);
    if (announced > limits.maxBytes) {
        return Promise.resolve(err(tooLarge(limits.maxBytes)));
    }
    limits.sendContinue();
    return new Promise(resolve => {
        const { maxBytes, reserve } = limits;
        const collector = createByteCollector({ maxBytes, reserve });

        const finish = (result: Result<Buffer, Failure>) => {
            clearTimeout(timer);
            incoming.off("data", addChunk).off("end", end).off("close", handleClose);
            resolve(result);
        };
        const addChunk = (chunk: Buffer) => {
            const fault = collector.add(chunk);
            if (fault) {
                finish(err(fault === CollectFault.TooLong ? tooLarge(maxBytes) : noMemory()));
            }
        };
        const end = () => finish(ok(collector.join()));
        const handleClose = () =>
            finish(err(notRun(FailureReason.Cancelled, "The connection closed within the body.")));
        const expire = () => finish(err(notRun(FailureReason.BadRequest, "The body did not arrive in time.")));

        const timer = setTimeout(expire, limits.milliseconds);
        incoming.on("data", addChunk).on("end", end).on("close", handleClose);
    });
}

function decode(bytes: Buffer): Result<string, Failure> {
    try {
        return ok(utf8.decode(bytes));
    }
    catch {
        return err(notRun(FailureReason.BadRequest, "The body is not valid UTF-8."));
    }
}

function noMemory(): Failure {
    return notRun(FailureReason.Overloaded, "The process holds too many bodies at the moment.");
}

function tooLarge(maxBytes: number): Failure {
    return notRun(FailureReason.BodyTooLarge, `The body is longer than ${maxBytes} bytes.`);
}
