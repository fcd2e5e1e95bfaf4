import { ByteSource } from "../../process/forwarding/index.js";

/** Bounds on the reads of connections from one kind of sender. Times are milliseconds of processor time. */
export interface ReadBounds {
    /** Bytes that are parsed at once. A read can't be interrupted. */
    readonly maxReadBytes: number;
    /** The same for a connection whose last read took over a millisecond, as many small pieces do. */
    readonly maxSlowReadBytes: number;
    /** Time that a connection may take without a pause. */
    readonly maxCredit: number;
    /** Time that a connection without credit may take in its turn. */
    readonly maxGrant: number;
}

const kibibyte = 1024;

/** Undici and the JSON parser of a line handle all bytes that they are given. */
const smallReads: ReadBounds = {
    maxReadBytes: 2 * kibibyte,
    maxSlowReadBytes: 2 * kibibyte,
    maxCredit: 20,
    maxGrant: 2,
};

export const readBounds: Readonly<Record<ByteSource, ReadBounds>> = {
    // `paceReads` cuts the bytes of a caller further. The credit suffices for a body of the greatest size in large pieces.
    [ByteSource.Caller]: { ...smallReads, maxReadBytes: 64 * kibibyte, maxSlowReadBytes: 64 * kibibyte },
    // An answer of 15 MB in large pieces takes less than the credit. A read of 64 KiB can hold 10,000 chunks.
    [ByteSource.Target]: {
        maxReadBytes: 64 * kibibyte,
        maxSlowReadBytes: 8 * kibibyte,
        maxCredit: 50,
        maxGrant: 0,
    },
    [ByteSource.Store]: smallReads,
    // A coordinator sends more to a member than others do.
    [ByteSource.Peer]: { ...smallReads, maxCredit: 100 },
    [ByteSource.Operator]: smallReads,
};
