import { hashText } from "daisyturn-utils";
import { createGuardedCall, type GuardedCall } from "../../process/crashes/index.js";
import type { CallerAccount, Profile } from "../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import type { CompletionBody } from "./parseCompletion.js";
import { estimateTokenCount, hashPromptBlocks, promptBlockCharacters } from "./promptBlocks.js";

/** An identified model request. Later steps need nothing else of the configuration version that it was accepted in. */
export interface ModelRequest {
    readonly requestId: string;
    readonly account: CallerAccount;
    readonly profile: Profile;
    readonly generation: number;
    readonly body: CompletionBody;
    readonly promptTokens: number;
    readonly promptBlocks: readonly string[];
    readonly maxOutputTokens: number;
    /** Wall-clock times in milliseconds. */
    readonly arrivedAt: number;
    readonly firstTokenDeadline: number;
    readonly totalDeadline: number;
    readonly guarded: GuardedCall;
}

/** Input of {@link buildModelRequest}. */
export interface ModelRequestSource {
    readonly requestId: string;
    readonly account: CallerAccount;
    readonly profile: Profile;
    readonly version: ConfigurationVersion;
    readonly body: CompletionBody;
    /** Wall-clock times in milliseconds. */
    readonly arrivedAt: number;
    /** The caller's own deadline. */
    readonly deadline: number | undefined;
}

/** Builds a model request. Its deadlines follow from the limits of the profile; the caller can only shorten them. */
export function buildModelRequest(source: ModelRequestSource): ModelRequest {
    const { profile, body, arrivedAt } = source;
    const promptBlocks = hashPromptBlocks(body.prompt);
    return {
        requestId: source.requestId,
        account: source.account,
        profile,
        generation: source.version.generation,
        body,
        promptTokens: estimateTokenCount(body.prompt),
        promptBlocks,
        maxOutputTokens: Math.min(body.maxOutputTokens ?? profile.maxOutputTokens, profile.maxOutputTokens),
        arrivedAt,
        firstTokenDeadline: arrivedAt + profile.firstTokenLimitMilliseconds,
        totalDeadline: Math.min(source.deadline ?? Infinity, arrivedAt + profile.totalLimitMilliseconds),
        guarded: guardModelRequest(source, promptBlocks),
    };
}

/**
 * A request is identified by its account and all that the engine receives of it. Its prompt has no parts that the caller
 * names, so the beginnings of one, two, four and so on blocks stand for them.
 */
function guardModelRequest({ account, body }: ModelRequestSource, promptBlocks: readonly string[]): GuardedCall {
    const { form, serviceName, prompt, sampling, maxOutputTokens } = body;
    return createGuardedCall(
        () => [account.partner, account.name, form, serviceName, sampling, maxOutputTokens],
        prompt,
        () => listBeginnings(promptBlocks).map(blocks => `${serviceName}/${blocks}/${promptBlocks[blocks - 1] ?? ""}`),
    );
}

function listBeginnings(promptBlocks: readonly string[]): number[] {
    const count = Math.floor(Math.log2(promptBlocks.length)) + 1;
    return promptBlocks.length === 0 ? [] : Array.from({ length: count }, (value, index) => 2 ** index);
}

/**
 * Computes a fingerprint of a request. The block hashes of the prompt are already known, so only the text after them is
 * hashed. They are not cryptographic, but a caller that causes a collision only damages its own answer.
 */
export function hashModelRequest(request: ModelRequest): string {
    const { form, serviceName, prompt, sampling, maxOutputTokens } = request.body;
    const lastBlock = request.promptBlocks.at(-1) ?? "";
    const rest = prompt.slice(request.promptBlocks.length * promptBlockCharacters);
    return hashText(JSON.stringify([form, serviceName, prompt.length, lastBlock, rest, sampling, maxOutputTokens]));
}
