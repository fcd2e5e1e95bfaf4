import type { RetryBudgetOptions } from "../../process/admission/index.js";
import type { ProcessParts } from "../../request/requestParts.js";

/** Where to listen. */
export interface ListenAddress {
    /** IP number. */
    readonly address: string;
    /** 0 selects a free port. */
    readonly port: number;
}

/** PEM texts. */
export interface TlsMaterial {
    readonly key: string;
    readonly certificate: string;
}

/** Limits on the resources that callers may use. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    /** Total size of the bodies of all running requests. */
    readonly maxTotalBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxHeaderCount: number;
    readonly maxConnections: number;
    /** Time in which the header must have arrived. */
    readonly headerMilliseconds: number;
    /** Time in which the body must have arrived, counted from the header. */
    readonly bodyMilliseconds: number;
    /** Time for which the rest of a refused body is read and dropped, so that the caller receives the refusal. */
    readonly lingerMilliseconds: number;
    readonly keepAliveMilliseconds: number;
    /** Bytes of an answer that are buffered for a caller that reads slowly. */
    readonly maxBufferedBytes: number;
    /** Time within which such a caller must have read the buffered bytes; otherwise its connection is closed. */
    readonly slowReaderMilliseconds: number;
    /** Time for which a stopping process still accepts requests, until the load balancer has detected the shutdown. */
    readonly balancerNoticeMilliseconds: number;
}

const mebibyte = 1024 * 1024;

/** Limits that apply unless the options override them. */
export const defaultCallerLimits: CallerLimits = {
    maxBodyBytes: 4 * mebibyte,
    maxTotalBodyBytes: 48 * mebibyte,
    maxHeaderBytes: 16 * 1024,
    maxHeaderCount: 64,
    maxConnections: 4_000,
    headerMilliseconds: 10_000,
    bodyMilliseconds: 20_000,
    lingerMilliseconds: 1_000,
    keepAliveMilliseconds: 65_000,
    maxBufferedBytes: mebibyte / 4,
    slowReaderMilliseconds: 10_000,
    balancerNoticeMilliseconds: 5_000,
};

/** Options of `createCallerServer`. */
export interface CallerServerOptions extends ProcessParts {
    readonly listen: ListenAddress;
    readonly tls?: TlsMaterial;
    /** Whether the process may receive requests. `/readyz` reports it. */
    readonly isReady: () => boolean;
    /** Limits that differ from {@link defaultCallerLimits}. */
    readonly limits?: Partial<CallerLimits>;
    /** Keys of the resume tokens, identical on all entry processes. The first one signs; all are accepted. */
    readonly resumeKeys: readonly string[];
    readonly retries?: RetryBudgetOptions;
    /** Returns the number of processes that share the retries, including this one; 1 if absent. */
    readonly countProcesses?: () => number;
}
