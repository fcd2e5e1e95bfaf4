import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import { createByteCollector } from "../bytes/createByteCollector.js";

/** A longer change would not fit into one message between peers together with others. */
const maxBodyBytes = 1_048_576;

/** Reads a JSON body. Returns undefined if there is none. */
export async function readOperatorBody(request: IncomingMessage): Promise<Result<unknown, Failure>> {
    const collector = createByteCollector({ maxBytes: maxBodyBytes });
    let isTooLong = false;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        // The rest is read and dropped. If the connection were closed early, the operator might not receive the answer.
        isTooLong ||= collector.add(chunk) !== undefined;
    }
    if (isTooLong) {
        return err(notRun(FailureReason.BodyTooLarge, `a body holds at most ${maxBodyBytes} bytes`));
    }
    const text = collector.join().toString("utf8");
    return text === "" ? ok(undefined) : parseBody(text);
}

function parseBody(text: string): Result<unknown, Failure> {
    try {
        return ok(JSON.parse(text) as unknown);
    }
    catch {
        return err(notRun(FailureReason.BadRequest, "the body is not JSON"));
    }
}
