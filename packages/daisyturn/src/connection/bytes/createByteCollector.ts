/** Why a collector takes no more bytes. */
export enum CollectFault {
    /** The bytes exceed the collector's own limit. */
    TooLong = "too_long",
    /** The process holds too many bytes of all its collectors. */
    NoMemory = "no_memory",
}

/** Collects bytes that arrive in pieces. Memory and time depend on the number of bytes, whatever the number of pieces. */
export interface ByteCollector {
    /** Appends a piece. After a fault, the piece is dropped and the collector remains as it was. */
    add(piece: Buffer): CollectFault | undefined;
    /** Number of bytes that are held. */
    byteCount(): number;
    /** Returns all bytes as the blocks that hold them, without a copy. The collector remains as it was. */
    list(): readonly Buffer[];
    /** Returns all bytes as one buffer. The collector remains as it was. */
    join(): Buffer;
    /** Discards all bytes and returns their reservation. */
    clear(): void;
}

/** Options of {@link createByteCollector}. */
export interface ByteCollectorOptions {
    /** Maximum number of bytes that are held. */
    readonly maxBytes: number;
    /** Reserves memory before bytes are held; false if there is none. The default allows all. */
    readonly reserve?: (byteCount: number) => boolean;
    /** Returns what was reserved. */
    readonly release?: (byteCount: number) => void;
}

const minBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

/**
 * Creates a collector. Small pieces are copied into blocks: a piece of its own would cost an object of about 100 bytes,
 * and keep the buffer from which it was cut.
 */
export function createByteCollector(options: ByteCollectorOptions): ByteCollector {
    const { maxBytes, reserve = () => true, release = () => undefined } = options;
    let blocks: Buffer[] = [];
    let byteCount = 0;
    let openBlock = Buffer.alloc(0);
    let openLength = 0;

    const closeBlock = () => {
        if (openLength > 0) {
            blocks.push(openBlock.subarray(0, openLength));
        }
        openBlock = Buffer.alloc(0);
        openLength = 0;
    };
    const append = (piece: Buffer) => {
        if (piece.length >= maxBlockBytes / 2) {
            closeBlock();
            blocks.push(piece);
            return;
        }
        let copied = piece.copy(openBlock, openLength);
        openLength += copied;
        while (copied < piece.length) {
            const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, byteCount, piece.length - copied));
            closeBlock();
            openBlock = Buffer.allocUnsafeSlow(size);
            openLength = piece.copy(openBlock, 0, copied);
            copied += openLength;
        }
    };

    return {
        add: piece => {
            if (byteCount + piece.length > maxBytes) {
                return CollectFault.TooLong;
            }
            if (!reserve(piece.length)) {
                return CollectFault.NoMemory;
            }
            append(piece);
            byteCount += piece.length;
            return undefined;
        },
        byteCount: () => byteCount,
        list: () => {
            closeBlock();
            return blocks.slice();
        },
        join: () => {
            closeBlock();
            const [first] = blocks;
            const joined = blocks.length === 1 && first ? first : Buffer.concat(blocks, byteCount);
            blocks = byteCount > 0 ? [joined] : [];
            return joined;
        },
        clear: () => {
            release(byteCount);
            blocks = [];
            byteCount = 0;
            openBlock = Buffer.alloc(0);
            openLength = 0;
        },
    };
}
