import { Client } from "undici";

/**
 * Used where a target states no idle timeout. Targets state it in whole seconds, so one that states none may close an
 * idle connection within a second.
 */
const defaultIdleMilliseconds = 400;
const maxIdleMilliseconds = 20_000;
/** Subtracted from the stated idle timeout, so that no call is sent while the target closes the connection. */
const idleMarginMilliseconds = 300;

/** Creates the HTTP client of one connection. Its timeouts for answers are off, since calls have deadlines. */
export function createTargetClient(address: string, connect: Client.Options["connect"]): Client {
    return new Client(`http://${address}`, {
        connect,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: defaultIdleMilliseconds,
        keepAliveMaxTimeout: maxIdleMilliseconds,
        keepAliveTimeoutThreshold: idleMarginMilliseconds,
    });
}
