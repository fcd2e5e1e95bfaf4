import { Agent, type Dispatcher } from "undici";

const connectTimeoutMilliseconds = 2_000;
/** Shorter than the time after which targets close idle connections. */
const keepAliveMilliseconds = 4_000;

/**
 * Creates the connection pool for targets, without pipelining. undici's timeouts for answers are disabled because the
 * adapters enforce deadlines with the Clock.
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
