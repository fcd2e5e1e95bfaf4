import { destination } from "pino";

/** Writes formatted log lines. */
export interface LogWriter {
    writeLine(line: string): void;
    /** Writes out buffered lines; must be called before the process ends. */
    flush(): void;
}

/** Lines are written once this many bytes are buffered, and at the latest after the flush interval. */
const bufferBytes = 8 * 1024;
const flushIntervalMilliseconds = 250;
/** Lines beyond it are dropped, so that a reader that stops, or a full disk, does not use up the memory. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Creates a writer to a file, or to standard output if `file` is undefined. */
export function createLogWriter(file: string | undefined): LogWriter {
    const output = destination({
        dest: file ?? 1,
        sync: false,
        minLength: bufferBytes,
        maxLength: maxBufferedBytes,
    });
    // A full disk, for instance. Lines are lost; without a listener, the error would be thrown.
    let hasFailed = false;
    let isClosed = false;
    output.on("error", () => {
        hasFailed = true;
    });
    output.on("write", () => {
        hasFailed = false;
    });
    /** Set while lines wait. `periodicFlush` of the library would call the system four times a second without any. */
    let flushTimer: NodeJS.Timeout | undefined;
    return {
        writeLine: line => {
            if (isClosed) {
                return;
            }
            output.write(line);
            flushTimer ??= setTimeout(() => {
                flushTimer = undefined;
                if (!isClosed) {
                    output.flush();
                }
            }, flushIntervalMilliseconds).unref();
        },
        flush: () => {
            if (!hasFailed) {
                output.flushSync();
            }
            else if (!isClosed) {
                // At the end of the process, the library would repeat a write that fails for ever.
                isClosed = true;
                output.destroy();
            }
        },
    };
}
