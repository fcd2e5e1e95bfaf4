import type { ModelRequest } from "../completion/modelRequest.js";
import type { AnswerChannel } from "./answerChannel.js";
import type { AnswerProgress } from "./answerProgress.js";

/** A model request whose answer is being generated. */
export interface AnswerContext {
    readonly request: ModelRequest;
    readonly channel: AnswerChannel;
    readonly progress: AnswerProgress;
    /** Engines that failed this request. */
    readonly avoid: Set<string>;
    /** The only software version that may continue the answer; undefined while no token has been delivered. */
    softwareVersion?: string;
    /** Aborted, with a Failure as its reason, when the answer is no longer needed. */
    readonly signal: AbortSignal;
}
