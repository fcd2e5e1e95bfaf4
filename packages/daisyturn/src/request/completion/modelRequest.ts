import { hashText } from "daisyturn-utils";
import type { CallerAccount, Profile } from "../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import type { CompletionBody } from "./parseCompletion.js";
import { estimateTokenCount, hashPromptBlocks, promptBlockCharacters } from "./promptBlocks.js";

/** A model request after identification; everything later steps need, under the version it was accepted in. */
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
}

/** What a model request is built from. */
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

/** Turns the profile's limits into deadlines; the caller may shorten them but not lengthen. */
export function buildModelRequest(source: ModelRequestSource): ModelRequest {
    const { profile, body, arrivedAt } = source;
    return {
        requestId: source.requestId,
        account: source.account,
        profile,
        generation: source.version.generation,
        body,
        promptTokens: estimateTokenCount(body.prompt),
        promptBlocks: hashPromptBlocks(body.prompt),
        maxOutputTokens: Math.min(body.maxOutputTokens ?? profile.maxOutputTokens, profile.maxOutputTokens),
        arrivedAt,
        firstTokenDeadline: arrivedAt + profile.firstTokenLimitMilliseconds,
        totalDeadline: Math.min(source.deadline ?? Infinity, arrivedAt + profile.totalLimitMilliseconds),
    };
}

/**
 * Fingerprint of what was asked. The prompt's block hashes are at hand, so only its last part is hashed again; they
 * are not cryptographic, but a caller who makes two requests collide only spoils its own answer.
 */
export function hashModelRequest(request: ModelRequest): string {
    const { form, serviceName, prompt, sampling, maxOutputTokens } = request.body;
    const lastBlock = request.promptBlocks.at(-1) ?? "";
    const rest = prompt.slice(request.promptBlocks.length * promptBlockCharacters);
    return hashText(JSON.stringify([form, serviceName, prompt.length, lastBlock, rest, sampling, maxOutputTokens]));
}
