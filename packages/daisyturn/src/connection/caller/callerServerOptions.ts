import type { RetryBudgetOptions } from "../../process/admission/index.js";
import type { ProcessParts } from "../../request/requestParts.js";

/** Where to listen. */
export interface ListenAddress {
    /** IP number. */
    readonly address: string;
    /** 0 takes a free port. */
    readonly port: number;
}

/** PEM texts. */
export interface TlsMaterial {
    readonly key: string;
    readonly certificate: string;
}

/** What callers may cost the process. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    /** Bytes of the bodies of all running requests together. */
    readonly maxTotalBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxHeaderCount: number;
    readonly maxConnections: number;
    /** Time in which the header must have arrived. */
    readonly headerMilliseconds: number;
    /** Time in which the body must have arrived, counted from the header. */
    readonly bodyMilliseconds: number;
    /** Time for which the rest of a refused body is read and dropped, so that the refusal gets through. */
    readonly lingerMilliseconds: number;
    readonly keepAliveMilliseconds: number;
    /** Bytes of an answer that are kept for a caller who reads slowly. */
    readonly maxBufferedBytes: number;
    /** Time in which such a caller must catch up, or its connection is closed. */
    readonly slowReaderMilliseconds: number;
    /** Time for which a stopping process still takes requests, until the balancer has noticed. */
    readonly balancerNoticeMilliseconds: number;
}

const mebibyte = 1024 * 1024;

/** Limits that suit the sizes of today. */
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
    /** Whether the process may be sent requests; asked by `/readyz`. */
    readonly isReady: () => boolean;
    /** Limits that differ from {@link defaultCallerLimits}. */
    readonly limits?: Partial<CallerLimits>;
    /** Keys of the resume tokens, the same at all entry processes; the first one signs, all are accepted. */
    readonly resumeKeys: readonly string[];
    readonly retries?: RetryBudgetOptions;
}
