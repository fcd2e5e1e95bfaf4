/** What one process has under way at one target. */
export interface WorkUnderWay {
    readonly targetId: string;
    readonly calls: number;
    /** Estimated milliseconds of expensive work not yet done. */
    readonly work: number;
    /** The same of calls that let all others go first. */
    readonly deferredWork: number;
    /** Tokens of KV cache that the calls hold or will hold. */
    readonly tokens: number;
}
