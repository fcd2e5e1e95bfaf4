import { Agent, type Dispatcher } from "undici";

/** Milliseconds that a TCP connection may take to be made. */
const connectTimeoutMilliseconds = 2_000;
/** Milliseconds for which an unused connection is kept; under the time after which targets close theirs. */
const keepAliveMilliseconds = 4_000;

/**
 * Creates the connections to targets. One request at a time goes over a connection, and undici's own time limits on
 * answers are off: the adapters hold deadlines by the Clock.
 */
export function createTargetDispatcher(): Dispatcher {
    return new Agent({
        pipelining: 1,
        connect: { timeout: connectTimeoutMilliseconds },
        keepAliveTimeout: keepAliveMilliseconds,
        keepAliveMaxTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}
