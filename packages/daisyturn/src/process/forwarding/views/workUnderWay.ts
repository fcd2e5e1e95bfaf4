/** The calls of one process that are under way at one target. */
export interface WorkUnderWay {
    readonly targetId: string;
    readonly calls: number;
    /** Estimated milliseconds of expensive work not yet done. */
    readonly work: number;
    /** The same for deferred calls. */
    readonly deferredWork: number;
    /** Tokens of KV cache that the calls occupy or will occupy. */
    readonly tokens: number;
}
