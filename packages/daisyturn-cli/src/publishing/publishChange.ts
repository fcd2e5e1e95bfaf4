import { ChangeState, type ItemChange, ItemEffect, OperatorMethod } from "daisyturn";
import { ExecutionVerdict, type Failure, FailureReason, toJson } from "daisyturn-utils";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { formatPath, type OperatorClient } from "../client/createOperatorClient.js";
import { CommandError, createFailureError } from "../commandError.js";
import { type CommonFlags, print, readAs } from "../commands/commandContext.js";
import { ExitCode } from "../exitCode.js";
import { formatDifferences } from "../output/formatDifferences.js";
import type { Terminal } from "../terminal.js";

/** Maximum number of comparisons when other changes are accepted between the comparison and the write. */
const maxComparisons = 5;
const maxOutcomeQueries = 5;
const outcomeQueryIntervalMilliseconds = 1_000;

const itemSchema = z.looseObject({ kind: z.string(), partner: z.string(), name: z.string() });

const previewSchema = z.object({
    generation: z.number(),
    differences: z.array(z.object({
        identity: itemSchema,
        effect: z.enum(ItemEffect),
        before: itemSchema.optional(),
        after: itemSchema.optional(),
    })),
});

const answerSchema = z.looseObject({
    generation: z.number(),
    inForceAt: z.array(z.string()).optional(),
    notConfirmedBy: z.array(z.string()).optional(),
});

const outcomeSchema = z.object({ state: z.enum(ChangeState), generation: z.number().optional() });

/** Flags of commands that change the configuration. */
export interface PublishFlags extends CommonFlags {
    readonly yes: boolean;
    readonly dryRun: boolean;
    readonly expectGeneration?: number;
    readonly writeId?: string;
}

/** The accepted change. */
export type PublishedChange = z.infer<typeof answerSchema>;

type Preview = z.infer<typeof previewSchema>;

/** Sends a change after the operator has accepted its differences. */
export type MakeChange = (guards: ChangeGuards) => ReturnType<OperatorClient["call"]>;

/** Id of a change, and the generation with which it was compared. */
export interface ChangeGuards {
    readonly writeId: string;
    readonly expectedGeneration: number;
}

/**
 * Shows the effects of a change, asks for confirmation and publishes it, provided that the fleet is still at the
 * generation of the comparison. If it is not, the change is compared again; confirmation is asked for again only if the
 * effects differ.
 * @param make sends the change; undefined: the changes are published as given
 * @returns undefined after a dry run and for a change without effect
 */
export async function publishChange(
    terminal: Terminal,
    flags: PublishFlags,
    client: OperatorClient,
    changes: readonly ItemChange[],
    make?: MakeChange,
): Promise<PublishedChange | undefined> {
    const writeId = flags.writeId ?? `cli-${randomUUID()}`;
    const earlier = flags.writeId === undefined ? undefined : await queryOutcome(client, writeId);
    if (earlier) {
        return printPublished(terminal, flags, writeId, earlier);
    }
    const makeChange = make ?? (guards => callChanges(client, changes, guards, false));
    let accepted = "";
    for (let comparison = 1;; comparison++) {
        const preview = await previewChanges(client, changes, { writeId, expectedGeneration: flags.expectGeneration });
        const shown = formatDifferences(preview.differences as never);
        if (shown !== accepted && !await acceptDifferences(terminal, flags, preview, shown)) {
            return undefined;
        }
        accepted = shown;
        const expectedGeneration = flags.expectGeneration ?? preview.generation;
        const answer = await resolveOutcome(
            terminal,
            client,
            writeId,
            await makeChange({ writeId, expectedGeneration }),
        );
        const isOutdated = answer.isErr && answer.error.reason === FailureReason.Conflict
            && flags.expectGeneration === undefined && comparison < maxComparisons;
        if (!isOutdated) {
            return printPublished(terminal, flags, writeId, answer);
        }
    }
}

/**
 * Whether to publish the change: false for a dry run and for a change without effect.
 * @throws CommandError if the operator declines, or if there is no interactive terminal
 */
async function acceptDifferences(
    terminal: Terminal,
    flags: PublishFlags,
    preview: Preview,
    shown: string,
): Promise<boolean> {
    const changesNothing = preview.differences.every(({ effect }) => effect === ItemEffect.Unchanged);
    if (flags.dryRun || changesNothing) {
        print(terminal, flags, preview, () => `${shown}Nothing was changed (generation ${preview.generation}).\n`);
        return false;
    }
    // Written to standard error, so that a program that reads the output gets only the result.
    terminal.writeError(shown);
    const isAccepted = flags.yes || await terminal.confirm(`Apply these changes to generation ${preview.generation}?`);
    if (isAccepted === undefined) {
        throw new CommandError(
            ExitCode.Usage,
            "the differences can't be confirmed without an interactive terminal: use --yes",
        );
    }
    if (!isAccepted) {
        throw new CommandError(ExitCode.Refused, "not accepted; nothing was changed");
    }
    return true;
}

async function previewChanges(
    client: OperatorClient,
    changes: readonly ItemChange[],
    guards: Partial<ChangeGuards>,
): Promise<Preview> {
    return readAs(previewSchema, await callChanges(client, changes, guards, true));
}

function callChanges(
    client: OperatorClient,
    changes: readonly ItemChange[],
    guards: Partial<ChangeGuards>,
    isDryRun: boolean,
) {
    return client.call({
        method: OperatorMethod.Post,
        path: formatPath("changes"),
        query: { "dry-run": isDryRun ? "true" : undefined },
        body: { ...guards, changes: changes.map(toJson) },
        isRepeatable: true,
    });
}

type Answer = Awaited<ReturnType<OperatorClient["call"]>>;

/** Determines the outcome of a change whose answer was lost. */
async function resolveOutcome(
    terminal: Terminal,
    client: OperatorClient,
    writeId: string,
    answer: Answer,
): Promise<Answer> {
    if (answer.isOk || answer.error.verdict !== ExecutionVerdict.MayHaveRun) {
        return answer;
    }
    for (let query = 0; query < maxOutcomeQueries; query++) {
        await terminal.clock.sleepUntil(terminal.clock.monotonicNow() + outcomeQueryIntervalMilliseconds);
        const outcome = await queryOutcome(client, writeId);
        if (outcome) {
            return outcome;
        }
    }
    throw createFailureError(addWriteIdAdvice(answer.error, writeId));
}

/** Returns the accepted change with this write id; undefined if there is none so far, or if the query fails. */
async function queryOutcome(client: OperatorClient, writeId: string): Promise<Answer | undefined> {
    const path = formatPath("changes", writeId);
    const outcome = await client.call({ method: OperatorMethod.Get, path, isRepeatable: true });
    const known = outcomeSchema.safeParse(outcome.unwrapOr({}));
    return known.success && known.data.state === ChangeState.Accepted ? outcome : undefined;
}

function printPublished(terminal: Terminal, flags: PublishFlags, writeId: string, answer: Answer): PublishedChange {
    const published = readAs(answerSchema, answer);
    print(terminal, flags, { writeId, ...published }, () => formatPublished(published, writeId));
    return published;
}

function addWriteIdAdvice(failure: Failure, writeId: string): Failure {
    const advice = `repeat the command with --write-id ${writeId}, which applies the change at most once`;
    return { ...failure, message: `${failure.message}; it may have been accepted: ${advice}` };
}

function formatPublished({ generation, inForceAt, notConfirmedBy = [] }: PublishedChange, writeId: string): string {
    const pending = notConfirmedBy.length === 0 ? "" : `, not confirmed by ${notConfirmedBy.join(", ")}`;
    const confirmation = inForceAt === undefined ? "" : `; in force at ${inForceAt.join(", ") || "none yet"}${pending}`;
    return `Accepted as generation ${generation}${confirmation} (write id ${writeId}).\n`;
}
