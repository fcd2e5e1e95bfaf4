import { ItemKind, Priority, type Profile, type RoutingRequest } from "daisyturn";
import type { Random } from "daisyturn-utils";

/** Creates a profile with the limits of the users' large model. */
export function createMeasuredProfile(partner: string, fields: Partial<Profile> = {}): Profile {
    return {
        kind: ItemKind.Profile,
        partner,
        name: "measured",
        model: "large",
        priority: Priority.Interactive,
        firstTokenLimitMilliseconds: 1_600,
        betweenTokensLimitMilliseconds: 36,
        totalLimitMilliseconds: 30_000,
        maxOutputTokens: 2_000,
        goodputWorth: 1,
        roleChangeCost: 1,
        ...fields,
    };
}

/** Shape of the prompts: the first blocks are one of several shared prefixes, the rest are unique to each prompt. */
export interface PromptMix {
    readonly blocks: number;
    readonly sharedBlocks: number;
    readonly prefixes: number;
}

const tokensPerBlock = 64;

/** Returns the integers from 0 to `limit - 1`. */
export function countUpTo(limit: number): number[] {
    return [...Array(limit).keys()];
}

/** Creates the blocks of a prompt. Names represent hashes: equal names mean equal prefixes. */
export function drawPromptBlocks(mix: PromptMix, random: Random, promptNumber: number): string[] {
    const prefix = random.integerBelow(mix.prefixes);
    return countUpTo(mix.blocks).map(index =>
        index < mix.sharedBlocks ? `s${prefix}-${index}` : `u${promptNumber}-${index}`
    );
}

/** Creates a request of a profile that arrives now. */
export function createRequest(
    profile: Profile,
    requestId: string,
    promptBlocks: readonly string[],
    expectedOutputTokens: number,
    wallNow: number,
): RoutingRequest {
    return {
        requestId,
        partner: profile.partner,
        profile,
        promptTokens: promptBlocks.length * tokensPerBlock + tokensPerBlock / 2,
        promptBlocks,
        expectedOutputTokens,
        firstTokenDeadline: wallNow + profile.firstTokenLimitMilliseconds,
        totalDeadline: wallNow + profile.totalLimitMilliseconds,
        avoid: [],
    };
}
